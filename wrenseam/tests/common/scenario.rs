//! Scenarios, and their interpreter. A scenario has a line a step:
//!
//!     client send CLASS KEY BODY WAIT_MS     a request; key `-` is none
//!     client expect served BODY | refused | failed | nothing
//!     client send part | endless             a request that stops midway; one whose body does not end
//!     client open N                          so many more connections that say nothing
//!     client expect closed                   the connection ends
//!     client close | abort                   leaves; gives the last request up (v2: by leaving)
//!     client flood                           from another connection, what means nothing, without end
//!     worker expect CLASS KEY BODY [same]    the next call at any worker; `same`: in the hall of the last
//!     worker expect nothing                  no call comes
//!     worker send ok BODY | full | miss | error | half     answers the last call; `half` ends midway
//!     worker send stall | spoilt             an answer that stops midway; one whose check does not match
//!     orders hold | load | answer            no worker answers orders or questions; nor orders to load, and of
//!                                            what is asked none stands; what was held back is answered, as all is
//!     worker hush                            says nothing more on the last call's connection
//!     worker expect closed                   the last call's connection ends
//!     worker close                           ends the last call's connection
//!     board expect LAST                      the next call at the board named now, telling this last event
//!     board send ID WORKER STATE             an event on the connection of the last call
//!     board chatter                          comments on it from now on, and tells nothing more
//!     board close                            ends it
//!     list expect WORKER STATE               the program comes to hold this of a worker, or `absent`
//!     program reload [broken]                names the other board (a file that cannot be read); SIGHUP
//!     wait MS
use super::clients::{connect, flood, record, Client};
use super::program::Stage;
use super::workers::Call;
use super::{Speech, PATIENCE, QUIET};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Stage {
    /// Runs a scenario through one front; what clients and workers saw, line by line.
    pub fn play(&self, front: Speech, scenario: &str) -> Vec<String> {
        let address = if front == Speech::Platform {
            self.front
        } else {
            self.kserve
        };
        let mut client = Client {
            speech: front,
            stream: connect(address),
            last: 0,
        };
        let (mut last, mut seen): (Option<Call>, Vec<String>) = (None, Vec::new());
        let (mut told, mut silent): (Option<TcpStream>, Vec<TcpStream>) = (None, Vec::new());
        for line in scenario.lines().map(str::trim).filter(|l| !l.is_empty()) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let context = format!("{front:?}: {line}");
            match words[..] {
                ["client", "send", class, key, body, wait] => client.send(class, key, body, wait),
                ["client", "send", "part"] => client.part(),
                ["client", "send", "endless"] => client.endless(),
                ["client", "open", n] => {
                    let n: usize = n.parse().expect("a number");
                    silent.extend((0..n).map(|_| connect(address)));
                    client = Client {
                        speech: front,
                        stream: connect(address),
                        last: 0,
                    };
                }
                ["client", "expect", "closed"] => client.closed(&context),
                ["client", "flood"] => flood(front, address),
                ["client", "abort"] if front == Speech::Platform => {
                    client
                        .stream
                        .write_all(&record(2, client.last, &[]))
                        .expect("written");
                }
                ["client", "close" | "abort"] => {
                    client.stream.shutdown(Shutdown::Both).expect("open")
                }
                ["client", "expect", "nothing"] => client.nothing(&context),
                ["client", "expect", ref wanted @ ..] => {
                    let got = client.answer(&context);
                    assert_eq!(got, wanted.join(" "), "{context}");
                    seen.push(format!("client {got}"));
                }
                ["worker", "expect", "nothing"] => {
                    assert!(
                        self.calls.recv_timeout(QUIET).is_err(),
                        "{context}: a call came"
                    );
                }
                ["orders", what] => {
                    let what = ["answer", "hold", "load"]
                        .iter()
                        .position(|w| *w == what)
                        .expect("a word");
                    self.orders.store(what as u8, Ordering::Release);
                }
                ["worker", "hush"] => last
                    .as_ref()
                    .expect(&context)
                    .hush
                    .store(true, Ordering::Release),
                ["worker", "expect", "closed"] => last.as_ref().expect(&context).closed(&context),
                ["worker", "expect", class, key, body, ref hall @ ..] => {
                    let call = self.calls.recv_timeout(PATIENCE).expect(&context);
                    let got = [&call.class[..], &call.key, &call.body];
                    assert_eq!(got, [class, key, body], "{context}");
                    if hall == ["same"] {
                        assert_eq!(Some(call.hall), last.map(|l| l.hall), "{context}");
                    }
                    seen.push(format!("worker {}", got.join(" ")));
                    last = Some(call);
                }
                ["worker", "send", ref answer @ ..] => {
                    last.as_ref().expect(&context).answer(answer)
                }
                ["worker", "close"] => {
                    last.as_ref()
                        .expect(&context)
                        .stream
                        .shutdown(Shutdown::Both)
                        .expect("open");
                }
                ["board", "expect", last] => {
                    let calls = &self.boards[self.board.get()].1;
                    let (got, stream) = calls.recv_timeout(PATIENCE).expect(&context);
                    assert_eq!(got, last, "{context}");
                    told = Some(stream);
                }
                ["board", "send", id, worker, state] => {
                    let event = format!(
                        r#"{{"instanceId":"{worker}","hostPort":"127.0.0.1:9","zone":"hall-a","machineType":"std","cell":0,"lifecycle":"{state}","startedAtMs":0}}"#
                    );
                    let event =
                        format!(r#"{{"rev":{id},"pool":{{"reset":false,"instances":[{event}]}}}}"#);
                    let event = format!("id: {id}\ndata: {event}\n\n");
                    told.as_ref()
                        .expect(&context)
                        .write_all(event.as_bytes())
                        .expect("written");
                }
                ["board", "chatter"] => {
                    let mut to = told.as_ref().expect(&context).try_clone().expect("cloned");
                    std::thread::spawn(move || {
                        while to.write_all(b": here\n\n").is_ok() {
                            std::thread::sleep(Duration::from_millis(100));
                        }
                    });
                }
                ["board", "close"] => told
                    .as_ref()
                    .expect(&context)
                    .shutdown(Shutdown::Both)
                    .expect("open"),
                ["list", "expect", worker, state] => self.listed(worker, state, &context),
                ["program", "reload", ref how @ ..] => self.reload(how == ["broken"]),
                ["program", "term"] => self.signal("-TERM"),
                ["wait", ms] => {
                    std::thread::sleep(Duration::from_millis(ms.parse().expect("a number")))
                }
                _ => panic!("no such step: {line}"),
            }
        }
        seen
    }
}
