//! The one helper of the tests: starts the program, plays stand-in clients and workers written from the
//! specifications, and runs scenarios. A scenario has a line a step:
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
#![allow(dead_code)]
use base64::{engine::general_purpose::STANDARD, Engine};
use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use wrenseam_policy::json::{list, object, parse, part, text};

use std::time::{Duration, Instant};

pub const FUNCTION: &str = "7f3a9c21e0b4d655";
const PATIENCE: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Speech {
    Platform,
    Kserve,
}

/// A call as a stand-in worker saw it.
pub struct Call {
    speech: Speech,
    hall: usize,
    id: u64,
    class: String,
    key: String,
    body: String,
    stream: TcpStream,
    hush: Arc<AtomicBool>,
}

/// The running program and its stand-in workers, two in each of two halls.
pub struct Stage {
    child: Child,
    pub front: SocketAddr,
    pub kserve: SocketAddr,
    pub admin: SocketAddr,
    /// The operators' door.
    pub door: SocketAddr,
    calls: Receiver<Call>,
    boards: [Board; 2],
    board: Cell<usize>,
    config: (PathBuf, String),
    /// What workers do with orders.
    orders: Arc<AtomicU8>,
}

/// A stand-in notice board: where it listens, and its calls with the last event that each told.
type Board = (SocketAddr, Receiver<(String, TcpStream)>);

pub const SETTINGS: &str = r#"{"balancers":1,"classes":[
 {"effect":"retryable","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1},
 {"effect":"dedup","goal-time":400,"key-scope":"zone","memory-span":5000,"name":"tile-order","worth":3}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":70}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

impl Stage {
    pub fn new(speech: Speech) -> Stage {
        Stage::with(speech, &[])
    }

    /// With a configuration in which each first word reads as the second.
    pub fn with(speech: Speech, changes: &[(&str, &str)]) -> Stage {
        let orders: Arc<AtomicU8> = Arc::default();
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the files");
        let (seen, calls) = channel();
        let workers: Vec<SocketAddr> = (0..4)
            .map(|n| worker(speech, n / 2, seen.clone(), orders.clone()))
            .collect();
        let hall = |n: usize| if n < 2 { "hall-a" } else { "hall-b" };
        let (mut notices, mut localities) = (Vec::new(), Vec::new());
        for (n, address) in workers.iter().enumerate() {
            let (hall, port) = (hall(n), address.port());
            notices.push(format!(
                r#"{{"instanceId":"w{n}","hostPort":"{address}","zone":"{hall}","machineType":"std","cell":{},"lifecycle":"ready","startedAtMs":0}}"#,
                n / 2
            ));
            localities.push(format!(
                r#"{{"locality":{{"zone":"{hall}"}},"lb_endpoints":[{{"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
            ));
        }
        let (known, endpoints) = match speech {
            Speech::Platform => (notices.join(","), String::new()),
            Speech::Kserve => (String::new(), localities.join(",")),
        };
        let write = |name: &str, text: String| {
            std::fs::write(folder.join(name), text).expect("a file");
            folder.join(name)
        };
        let told = format!(
            r#"{{"name":"t","seed":"2a","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{SETTINGS},
                "board":"BOARD","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"reset":true,"instances":[{known}]}}}}]}}}}"#
        );
        let told = changes.iter().fold(told, |told, (from, to)| {
            assert!(told.contains(from), "{from}");
            told.replacen(from, to, 1)
        });
        let boards = [board(), board()];
        let config = write(
            "config.json",
            told.replace("BOARD", &boards[0].0.to_string()),
        );
        write(
            "endpoints.json",
            format!(
                r#"{{"resources":[{{"cluster_name":"tile-workers","endpoints":[{endpoints}]}}]}}"#
            ),
        );
        let kserve = write(
            "kserve.json",
            r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0","endpoints":"endpoints.json"}"#
                .to_owned(),
        );
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &folder)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("WRENSEAM_KSERVE", kserve)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut listens = || loop {
            let line = lines.next().expect("a line of the log").expect("text");
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().expect("an address");
            }
        };
        let (front, kserve, admin, door) = (listens(), listens(), listens(), listens());
        // The rest of the log is read, so that it cannot fill up, and shown with a failed test.
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| eprintln!("  program: {line}"))
        });
        let (board, config) = (Cell::new(0), (config, told));
        let stage = Stage {
            child,
            front,
            kserve,
            admin,
            door,
            calls,
            boards,
            board,
            config,
            orders,
        };
        while !get(stage.admin, "/healthz").starts_with("HTTP/1.1 200") {
            std::thread::sleep(Duration::from_millis(10));
        }
        stage
    }

    /// Sends SIGTERM and waits for the program's end.
    pub fn stop(&mut self) -> bool {
        self.signal("-TERM");
        self.child.wait().expect("it ends").success()
    }

    /// The program's process number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill runs")
            .success());
    }

    /// Names the other board in the configuration, or leaves no readable one, and has it read again.
    fn reload(&self, broken: bool) {
        let text = if broken {
            "{".to_owned()
        } else {
            self.board.set(1 - self.board.get());
            self.config
                .1
                .replace("BOARD", &self.boards[self.board.get()].0.to_string())
        };
        std::fs::write(&self.config.0, text).expect("written");
        self.signal("-HUP");
    }

    /// Answers the next call, of this class, at any worker; false if none comes within a second.
    pub fn answered(&self, class: &str) -> bool {
        let Ok(call) = self.calls.recv_timeout(Duration::from_secs(1)) else {
            return false;
        };
        assert_eq!(call.class, class);
        call.answer(&["ok", "DONE"]);
        true
    }

    /// The ids of the calls that have come to any worker since they were last asked for.
    pub fn calls_come(&self) -> Vec<u64> {
        self.calls.try_iter().map(|call| call.id).collect()
    }

    /// The folder of this stage's files, which is the program's TMPDIR too.
    pub fn folder(&self) -> PathBuf {
        self.config.0.parent().expect("a folder").to_path_buf()
    }

    /// Waits until the administration API shows this state of a worker.
    pub fn listed(&self, worker: &str, state: &str, context: &str) {
        let since = Instant::now();
        loop {
            let told = get(self.admin, "/v1/state");
            let json = parse(told.split_once("\r\n\r\n").expect("a body").1).expect("JSON");
            let named = |e: &&miniserde::json::Object| text(e, "name") == Some(worker);
            let shown = list(object(&json).expect("an object"), "endpoints");
            let found = shown.iter().filter_map(object).find(named);
            if found.map_or(Some("absent"), |e| text(e, "state")) == Some(state) {
                return;
            }
            assert!(since.elapsed() < PATIENCE, "{context}: {told}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

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

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
    }
}

/// One call at the operators' door: the line sent, what came back until the close.
pub fn door(address: SocketAddr, line: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(line.as_bytes()).expect("written");
    let mut told = String::new();
    let _ = stream.read_to_string(&mut told);
    told
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

/// An HTTP answer to a GET, whole.
pub fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n"
    )
    .expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn exactly(stream: &mut impl Read, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Head and body of an HTTP message.
fn message(stream: &mut impl Read) -> std::io::Result<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(exactly(stream, 1)?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |l| l.parse().expect("length"));
    Ok((head, exactly(stream, length)?))
}

/// The text that a body carries: of a v2 JSON body its first tensor's, else the bytes.
fn content(body: &[u8]) -> String {
    let plain = String::from_utf8_lossy(body).into_owned();
    let Ok(json) = parse(&plain) else {
        return plain;
    };
    let Some(fields) = object(&json) else {
        return plain;
    };
    let tensors = if fields.contains_key("inputs") {
        list(fields, "inputs")
    } else {
        list(fields, "outputs")
    };
    let Some(tensor) = tensors.first().and_then(object) else {
        return plain;
    };
    let data = list(tensor, "data")
        .first()
        .and_then(wrenseam_policy::json::as_text)
        .expect("data")
        .to_owned();
    let coded = part(tensor, "parameters").and_then(|p| text(p, "content_type")) == Some("base64");
    if coded {
        String::from_utf8(STANDARD.decode(data).expect("base64")).expect("text")
    } else {
        data
    }
}

pub struct Client {
    speech: Speech,
    stream: TcpStream,
    /// The FastCGI id of its last request.
    last: u16,
}

/// Sends what is passed over, at full speed for as long as it is taken, at most 10 s.
fn flood(front: Speech, address: SocketAddr) {
    let mut to = connect(address);
    let bytes = match front {
        Speech::Platform => record(2, 9, &[]).repeat(8_000), // gives up what was never asked
        Speech::Kserve => b"\r\n".repeat(32_000),
    };
    let until = Instant::now() + PATIENCE;
    std::thread::spawn(move || while Instant::now() < until && to.write_all(&bytes).is_ok() {});
}

/// A FastCGI record.
pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let [i0, i1] = id.to_be_bytes();
    let [c0, c1] = (content.len() as u16).to_be_bytes();
    [&[1, kind, i0, i1, c0, c1, 0, 0], content].concat()
}

/// A whole FastCGI request with these parameters.
pub fn fastcgi(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let pair = |(name, value): &(&str, &str)| {
        [
            &[name.len() as u8, value.len() as u8],
            name.as_bytes(),
            value.as_bytes(),
        ]
        .concat()
    };
    let params: Vec<u8> = params.iter().flat_map(pair).collect();
    let mut out = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(record(4, id, &params));
    out.extend(record(4, id, &[]));
    for piece in body.chunks(8_000) {
        out.extend(record(5, id, piece));
    }
    out.extend(record(5, id, &[]));
    out
}

/// Reads one FastCGI answer: its head and body, and the protocol status.
pub fn fastcgi_answer(stream: &mut TcpStream) -> std::io::Result<(String, Vec<u8>, u8)> {
    let mut out = Vec::new();
    loop {
        let header = exactly(stream, 8)?;
        let content = exactly(
            stream,
            usize::from(u16::from_be_bytes([header[4], header[5]])),
        )?;
        exactly(stream, header[6].into())?;
        match header[1] {
            6 => out.extend(content),
            3 => {
                let text = String::from_utf8_lossy(&out).into_owned();
                let (head, _) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                let body = out[(head.len() + 4).min(out.len())..].to_vec();
                return Ok((head.to_owned(), body, content[4]));
            }
            kind => panic!("record {kind}"),
        }
    }
}

impl Client {
    fn send(&mut self, class: &str, key: &str, body: &str, wait: &str) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let (wire, path) = (format!("{id:016x}"), format!("/v1/{class}"));
        let bytes = match self.speech {
            Speech::Platform => {
                let mut params = vec![
                    ("SCRIPT_NAME", &path[..]),
                    ("HTTP_REQ_ID", &wire),
                    ("HTTP_REQ_WAIT_MS", wait),
                    ("HTTP_REQ_OWNER", "acme"),
                    ("HTTP_REQ_KEY", FUNCTION),
                    ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
                ];
                if key != "-" {
                    params.push(("HTTP_REQ_TOKEN", key));
                }
                self.last = id as u16;
                fastcgi(self.last, &params, body.as_bytes())
            }
            Speech::Kserve => {
                let token = if key == "-" {
                    String::new()
                } else {
                    format!(r#""token":"{key}","#)
                };
                let body = format!(
                    r#"{{"id":"{wire}","parameters":{{"class":"{class}","tenant":"acme","wait_ms":{wait},{token}"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let length = body.len();
                format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into_bytes()
            }
        };
        self.stream.write_all(&bytes).expect("written");
    }

    /// The first half of a request.
    fn part(&mut self) {
        let bytes = match self.speech {
            Speech::Platform => fastcgi(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"half"),
            Speech::Kserve => {
                b"POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nHost: t\r\n".to_vec()
            }
        };
        self.stream
            .write_all(&bytes[..bytes.len() - 8])
            .expect("written");
    }

    /// Sends a body until the connection takes no more of it, at most 60 MB.
    fn endless(&mut self) {
        let mut to = self.stream.try_clone().expect("cloned");
        let bytes = match self.speech {
            Speech::Platform => record(5, 1, &[7; 8_000]),
            Speech::Kserve => b"X-Endless: 1\r\n".repeat(500),
        };
        self.part();
        std::thread::spawn(move || (0..7_500).all(|_| to.write_all(&bytes).is_ok()));
    }

    fn closed(&mut self, context: &str) {
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) => assert_eq!(
                e.kind(),
                std::io::ErrorKind::ConnectionReset,
                "{context}: still open"
            ),
        }
    }

    /// The next final answer, in the scenario's words.
    fn answer(&mut self, context: &str) -> String {
        let (head, body, refused) = match self.speech {
            Speech::Platform => {
                let (head, body, status) = fastcgi_answer(&mut self.stream).expect(context);
                let refused = head.contains("Status: 503") || status == 2;
                assert!(
                    !refused || status == 2 || head.contains("Srv-Wait-Ms: "),
                    "{context}: no advice"
                );
                (head, body, refused)
            }
            Speech::Kserve => {
                let (head, body) = message(&mut self.stream).expect(context);
                let refused = head.starts_with("HTTP/1.1 503");
                assert!(
                    !refused || head.contains("Retry-After: "),
                    "{context}: no advice"
                );
                (head, body, refused)
            }
        };
        if head.contains(" 200 ") {
            return format!("served {}", content(&body));
        }
        if self.speech == Speech::Kserve {
            assert!(
                String::from_utf8_lossy(&body).starts_with(r#"{"error":""#),
                "{context}: {body:?}"
            );
        }
        if refused { "refused" } else { "failed" }.to_owned()
    }

    fn nothing(&mut self, context: &str) {
        self.stream.set_read_timeout(Some(QUIET)).expect("set");
        let got = self.stream.read(&mut [0; 64]);
        assert!(got.is_err(), "{context}: {got:?}");
        self.stream.set_read_timeout(Some(PATIENCE)).expect("set");
    }
}

/// Starts a stand-in worker: it answers orders by itself, as one on which a copy of everything stands.
fn worker(speech: Speech, hall: usize, seen: Sender<Call>, orders: Arc<AtomicU8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (seen, orders) = (seen.clone(), orders.clone());
            std::thread::spawn(move || match speech {
                Speech::Platform => frames(stream, hall, &seen, &orders),
                Speech::Kserve => infer(stream, hall, &seen, &orders),
            });
        }
    });
    address
}

fn board() -> Board {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (seen, calls) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let Ok((head, _)) = message(&mut stream) else {
                continue;
            };
            let last = head
                .lines()
                .find_map(|l| l.strip_prefix("Last-Event-ID: "))
                .expect("told")
                .to_owned();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            let _ = seen.send((last, stream));
        }
    });
    (address, calls)
}

fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let content = [fields.as_bytes(), body].concat();
    let mut out = vec![127, code];
    out.extend((fields.len() as u16).to_be_bytes());
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(id.to_be_bytes());
    out.extend(&content);
    out.extend(crc32fast::hash(&content).to_be_bytes());
    out
}

/// Waits while orders of this kind are held back; how many copies stand then.
fn stands(orders: &AtomicU8, load: bool) -> u32 {
    loop {
        match (orders.load(Ordering::Acquire), load) {
            (0, _) => return 1,
            (2, false) => return 0,
            _ => std::thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn frames(mut stream: TcpStream, hall: usize, seen: &Sender<Call>, orders: &Arc<AtomicU8>) {
    let hush = Arc::new(AtomicBool::new(false));
    while let Ok(header) = exactly(&mut stream, 16) {
        let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes(header[4..8].try_into().expect("four")) as usize;
        let id = u64::from_be_bytes(header[8..].try_into().expect("eight"));
        let Ok(content) = exactly(&mut stream, length + body + 4) else {
            return;
        };
        let (content_part, check) = content.split_at(length + body);
        assert_eq!(
            (header[0], check),
            (126, &crc32fast::hash(content_part).to_be_bytes()[..])
        );
        let fields = String::from_utf8_lossy(&content_part[..length]).into_owned();
        let field = |name: &str| {
            let found = fields
                .split(',')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or("-").to_owned()
        };
        match header[1] {
            _ if hush.load(Ordering::Acquire) => {}
            6 => {
                let load = field("slots_up") != "0";
                let (mut to, orders) = (stream.try_clone().expect("cloned"), orders.clone());
                let held = orders.load(Ordering::Acquire) != 0;
                let mut say = move || {
                    let fields = format!("slots_up={}", stands(&orders, load));
                    let _ = to.write_all(&frame(200, id, &fields, &[])); // it may have closed meanwhile
                };
                // Calls behind one that is held back come through.
                if held {
                    std::thread::spawn(say);
                } else {
                    say();
                }
            }
            2 => {
                assert_eq!(field("path"), FUNCTION);
                let (class, key, body) = (
                    field("queue"),
                    field("uniq"),
                    self::content(&content_part[length..]),
                );
                let stream = stream.try_clone().expect("cloned");
                let _ = seen.send(Call {
                    speech: Speech::Platform,
                    hall,
                    id,
                    class,
                    key,
                    body,
                    stream,
                    hush: hush.clone(),
                });
            }
            _ => {}
        }
    }
}

fn infer(mut stream: TcpStream, hall: usize, seen: &Sender<Call>, orders: &AtomicU8) {
    while let Ok((head, body)) = message(&mut stream) {
        let target = head.split(' ').nth(1).expect("a target").to_owned();
        let mut say = |body: &str| {
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            )
            .expect("written");
        };
        if target.starts_with("/v2/repository/") {
            stands(orders, target != "/v2/repository/index");
        }
        if target == "/v2/repository/index" {
            say(&format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#));
        } else if target.starts_with("/v2/repository/models/") {
            say(r#"{"parameters":{"slots_up":1}}"#);
        } else {
            assert_eq!(target, format!("/v2/models/{FUNCTION}/infer"));
            let json = parse(&String::from_utf8_lossy(&body)).expect("JSON");
            let told = part(object(&json).expect("an object"), "parameters").expect("parameters");
            let word = |name: &str| text(told, name).unwrap_or("-").to_owned();
            let (class, key, body) = (word("class"), word("token"), content(&body));
            let stream = stream.try_clone().expect("cloned");
            let _ = seen.send(Call {
                speech: Speech::Kserve,
                hall,
                id: 0,
                class,
                key,
                body,
                stream,
                hush: Arc::default(),
            });
        }
    }
}

impl Call {
    /// Waits for the end of the connection; what else comes there is for the worker to read.
    fn closed(&self, context: &str) {
        let since = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(
            since.elapsed() < PATIENCE,
            "{context}: it was open for long"
        );
    }

    fn answer(&self, answer: &[&str]) {
        let (code, status, body) = match *answer {
            ["ok", body] => (200, "200 OK", body),
            ["half" | "stall" | "spoilt"] => (200, "200 OK", "cut-short"),
            ["miss"] => (202, "404 Not Found", ""),
            ["full"] => (203, "503 Service Unavailable", ""),
            ["error"] => (204, "500 Internal Server Error", ""),
            _ => panic!("no such answer: {answer:?}"),
        };
        let bytes = match self.speech {
            Speech::Platform => frame(code, self.id, "detail=resident", body.as_bytes()),
            Speech::Kserve => {
                let data = format!(
                    r#"{{"parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let body = if code == 200 {
                    &data
                } else {
                    r#"{"error":"no"}"#
                };
                let told = if code == 203 {
                    "Retry-After: 1\r\n"
                } else {
                    ""
                };
                format!(
                    "HTTP/1.1 {status}\r\n{told}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .into_bytes()
            }
        };
        let (half, last) = (*answer == ["half"], bytes.len() - 1);
        let mut part = if half || *answer == ["stall"] {
            bytes[..last - 7].to_vec()
        } else {
            bytes
        };
        if *answer == ["spoilt"] {
            part[last] ^= 1;
        }
        (&self.stream).write_all(&part).expect("written");
        if half {
            self.stream.shutdown(Shutdown::Both).expect("open");
        }
    }
}

/// Several processes of the program with the fleet on, gossiping on loopback; no workers.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// One process of a fleet: its child, its door and its gossip address.
pub struct Node {
    child: Child,
    pub door: SocketAddr,
    pub gossip: SocketAddr,
}

impl Fleet {
    /// Starts `n` processes; each after the first joins by way of the first.
    pub fn new(n: usize) -> Fleet {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the files");
        let mut fleet = Fleet {
            nodes: Vec::new(),
            folder,
        };
        for i in 0..n {
            let seed = fleet.nodes.first().map(|n: &Node| n.gossip);
            let node = fleet.start(i, "127.0.0.1:0".parse().expect("an address"), seed);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&self, i: usize, gossip: SocketAddr, seed: Option<SocketAddr>) -> Node {
        let seeds = seed.map_or(String::new(), |s| format!(r#""{s}""#));
        let file = self.folder.join(format!("fleet-{i}.json"));
        let text = format!(
            r#"{{"listen":"{gossip}","seeds":[{seeds}],"cluster":"test","expected":1,"probe_ms":100,"suspect_ms":300,"capacity":10,"shed_order":["tile-render"]}}"#
        );
        std::fs::write(&file, text).expect("written");
        let config = self.folder.join(format!("config-{i}.json"));
        let told = format!(
            r#"{{"name":"f{i}","seed":"{i:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{SETTINGS},"known":{{"rev":0,"notices":[]}}}}"#
        );
        std::fs::write(&config, told).expect("written");
        let tmp = self.folder.join(format!("tmp-{i}"));
        std::fs::create_dir_all(&tmp).expect("a folder");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &tmp)
            .env("WRENSEAM_FLEET", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut gossip, mut door) = (None, None);
        while gossip.is_none() || door.is_none() {
            let line = lines.next().expect("a line of the log").expect("text");
            let address = || {
                line.rsplit_once(" listens on ")
                    .map(|(_, a)| a.parse().expect("an address"))
            };
            if line.contains("gossip listens on") {
                gossip = address();
            } else if line.contains("the operators' door listens on") {
                door = address();
            }
        }
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| eprintln!("  f{i}: {line}"))
        });
        Node {
            child,
            door: door.expect("read"),
            gossip: gossip.expect("read"),
        }
    }

    /// Ends process `i` at once, as a crash would.
    pub fn kill(&mut self, i: usize) {
        let _ = self.nodes[i].child.kill();
        let _ = self.nodes[i].child.wait();
    }

    /// Starts process `i` again at its gossip address, joining by way of process `by`.
    pub fn restart(&mut self, i: usize, by: usize) {
        let (gossip, seed) = (self.nodes[i].gossip, self.nodes[by].gossip);
        self.nodes[i] = self.start(i, gossip, Some(seed));
    }

    /// Whether process `i` still runs.
    pub fn running(&mut self, i: usize) -> bool {
        self.nodes[i].child.try_wait().expect("asked").is_none()
    }

    /// A figure of process `i`'s telemetry, by its name.
    pub fn figure(&self, i: usize, name: &str) -> Option<u64> {
        let told = door(self.nodes[i].door, "telemetry\n");
        told.lines()
            .find_map(|l| l.strip_prefix(name).and_then(|r| r.strip_prefix(':')))
            .and_then(|r| r.split('|').next())
            .and_then(|n| n.parse().ok())
    }

    /// Waits until process `i` counts `peers` alive; how long that took.
    pub fn until_peers(&self, i: usize, peers: u64, within: Duration) -> Duration {
        let since = Instant::now();
        loop {
            if self.figure(i, "app.fleet.peers") == Some(peers) {
                return since.elapsed();
            }
            assert!(
                since.elapsed() < within,
                "f{i} counts {:?} peers, not {peers}",
                self.figure(i, "app.fleet.peers")
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
    }
}
