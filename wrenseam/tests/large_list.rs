//! A start before the largest lists of workers: how soon the front end takes clients and what memory that takes. Sizes and
//! times are printed: `cargo test --release -p wrenseam --test large_list -- --nocapture --test-threads 1`.
mod common;

use common::{connect, fastcgi, fastcgi_answer};
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 256;
const READY: Duration = Duration::from_secs(10);

/// The whole list as one event's data.
fn list(workers: usize) -> String {
    let one = |n: usize| {
        format!(
            r#"{{"instanceId":"s-{n:08x}","hostPort":"127.{}.{}.9:8443","zone":"hall-a","machineType":"std","cell":{},"lifecycle":"ready","weight":4,"startedAtMs":0}}"#,
            1 + n / 250,
            n % 250,
            n / 16
        )
    };
    let all: Vec<String> = (0..workers).map(one).collect();
    format!(
        r#"{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
        all.join(",")
    )
}

/// A stand-in board that answers each call with the head and then, in turn, with these bytes, and stays.
fn board(answers: Vec<Vec<u8>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (seen, calls) = channel();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        let mut answers = answers.into_iter();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 512];
            let n = stream.read(&mut head).unwrap_or(0);
            let _ = seen.send(String::from_utf8_lossy(&head[..n]).into_owned());
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            let _ = stream.write_all(&answers.next().unwrap_or_default()); // it may hang up before the end
            kept.push(stream);
        }
    });
    (address, calls)
}

/// The program, its log line by line, and where it listens.
struct Program(Child, Receiver<String>, SocketAddr, SocketAddr);

impl Program {
    fn start(name: &str, memory_mb: usize, board: SocketAddr, known: &str) -> Program {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("list-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let config = folder.join("config.json");
        let settings = common::SETTINGS;
        let told = format!(
            r#"{{"name":"t","seed":"2a","admin":"127.0.0.1:0","limits":{{"memory_mb":{memory_mb},"sockets":1024}},"settings":{settings},"board":"{board}","known":{{"rev":0,"notices":[{known}]}}}}"#
        );
        std::fs::write(&config, told).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (log, read) = channel();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .all(|line| log.send(line).is_ok())
        });
        let listens = || loop {
            let line = read.recv_timeout(READY).expect("a line of the log");
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().expect("an address");
            }
        };
        let (front, door) = (listens(), listens());
        Program(child, read, front, door)
    }

    /// Waits until the front takes it in, and it has all workers.
    fn ready(&self, workers: usize) {
        let since = Instant::now();
        let health = fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b"");
        loop {
            let mut stream: TcpStream = connect(self.2);
            stream.write_all(&health).expect("written");
            if fastcgi_answer(&mut stream).is_ok_and(|a| a.head.contains(" 200 ")) {
                break;
            }
            assert!(
                since.elapsed() < READY,
                "not ready after {:?}",
                since.elapsed()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.members(), workers);
    }

    fn members(&self) -> usize {
        let told = common::admin_command(self.3, "telemetry\n");
        let told = told
            .lines()
            .find_map(|l| l.strip_prefix("app.members:"))
            .expect("told")
            .to_owned();
        told.split('|')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a number")
    }

    /// MB that it took at the most.
    fn peak(&self) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .expect("told");
        line.trim()
            .trim_end_matches(" kB")
            .parse::<f64>()
            .expect("a number")
            / 1024.0
    }

    /// Waits for a line of the log that holds these words.
    fn says(&self, words: &str) {
        let since = Instant::now();
        loop {
            match self.1.recv_timeout(READY) {
                Ok(line) if line.contains(words) => return,
                Ok(_) if since.elapsed() < READY => {}
                Ok(_) | Err(RecvTimeoutError::Timeout) => panic!("no word of '{words}'"),
                Err(RecvTimeoutError::Disconnected) => panic!("it ended"),
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Told by the board, or by the configuration of a restart.
#[rstest]
fn a_start_before_the_largest_lists_is_ready_in_time(
    #[values(1_000, 4_000, 10_000, 20_000)] workers: usize,
    #[values("board", "known")] by: &str,
) {
    let list = list(workers);
    let event = format!("id: 1\ndata: {list}\n\n").into_bytes();
    let (board, _calls) = board(if by == "board" { vec![event] } else { vec![] });
    let since = Instant::now();
    let known = if by == "known" { &list } else { "" };
    let program = Program::start(&format!("{by}-{workers}"), MEMORY_MB, board, known);
    program.ready(workers);
    let (ready, peak) = (since.elapsed(), program.peak());
    eprintln!(
        "{workers} workers by {by}, {} bytes: ready after {ready:?}, at most {peak:.0} MB",
        list.len()
    );
    assert!(ready < READY, "ready after {ready:?}");
    assert!(peak < MEMORY_MB as f64, "{peak:.0} MB");
}

/// An event without end is refused with a line of the log, the former list stays, and the board is asked again; memory
/// is that of the bound, not of what was sent.
#[test]
fn an_event_beyond_the_bound_leaves_the_former_list() {
    let (workers, whole) = (4_000, list(4_000));
    let endless = [b"id: 2\ndata: ".to_vec(), vec![b'x'; 64 << 20]].concat();
    let next = format!(
        "id: 2\ndata: {}\n\n",
        whole
            .replace(r#""rev":1"#, r#""rev":2"#)
            .replace("s-00000000", "s-new")
    );
    let (board, calls) = board(vec![
        format!("id: 1\ndata: {whole}\n\n").into_bytes(),
        endless,
        next.into_bytes(),
    ]);
    let program = Program::start("endless", MEMORY_MB, board, "");
    program.ready(workers);
    // The first call ends once it has told nothing for some seconds; the second brings what has no end.
    program.says("an event is too long");
    assert_eq!(program.members(), workers);
    let lasts = calls.iter().take(3).map(|c| c.contains("Last-Event-ID: 1"));
    assert_eq!(lasts.collect::<Vec<_>>(), [false, true, true]);
    program.says("endpoint s-new: Ready");
    assert_eq!(program.members(), workers, "one new, one gone");
    let peak = program.peak();
    assert!(peak < MEMORY_MB as f64 / 2.0, "{peak:.0} MB");
}
