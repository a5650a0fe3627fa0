//! Startup with the largest lists of workers: the time until the front end is ready for clients, and its peak memory.
//! Both are printed: `cargo test --release -p wrenseam --test large_list -- --nocapture --test-threads 1`.
mod common;

use common::{connect, fastcgi_request, read_fastcgi_answer};
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 256;
/// Within this time a started program must be ready, and an awaited log line must be written.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The data of an event with the complete list of this many workers.
fn list_event(workers: usize) -> String {
    let instance = |n: usize| {
        format!(
            r#"{{"instanceId":"s-{n:08x}","hostPort":"127.{}.{}.9:8443","zone":"hall-a","machineType":"std","cell":{},"lifecycle":"ready","weight":4,"startedAtMs":0}}"#,
            1 + n / 250,
            n % 250,
            n / 16
        )
    };
    let instances: Vec<String> = (0..workers).map(instance).collect();
    format!(
        r#"{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
        instances.join(",")
    )
}

/// A simulated discovery service. It responds to each request with a head and the next of these bodies, and keeps the
/// connection open. Returns its address and the heads of the requests that it receives.
fn discovery_service(bodies: Vec<Vec<u8>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (received, requests) = channel();
    std::thread::spawn(move || {
        let mut open_streams = Vec::new();
        let mut bodies = bodies.into_iter();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 512];
            let n = stream.read(&mut head).unwrap_or(0);
            let _ = received.send(String::from_utf8_lossy(&head[..n]).into_owned());
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            // The program may close the connection before it has read everything.
            let _ = stream.write_all(&bodies.next().unwrap_or_default());
            open_streams.push(stream);
        }
    });
    (address, requests)
}

/// The program, the lines of its log, and the addresses of its FastCGI front and its admin endpoint.
struct Program(Child, Receiver<String>, SocketAddr, SocketAddr);

impl Program {
    fn start(name: &str, memory_mb: usize, discovery: SocketAddr, known: &str) -> Program {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("list-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let config = folder.join("config.json");
        let settings = common::POLICY_SETTINGS;
        let content = format!(
            r#"{{"name":"t","seed":"2a","admin":"127.0.0.1:0","limits":{{"memory_mb":{memory_mb},"sockets":1024}},"settings":{settings},"board":"{discovery}","known":{{"rev":0,"notices":[{known}]}}}}"#
        );
        std::fs::write(&config, content).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (log, log_lines) = channel();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .all(|line| log.send(line).is_ok())
        });
        let next_address = || loop {
            let line = log_lines
                .recv_timeout(READY_TIMEOUT)
                .expect("a line of the log");
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().expect("an address");
            }
        };
        let (front, admin) = (next_address(), next_address());
        Program(child, log_lines, front, admin)
    }

    /// Waits until the FastCGI front reports readiness; the program must have this many workers then.
    fn wait_until_ready(&self, workers: usize) {
        let since = Instant::now();
        let health = fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b"");
        loop {
            let mut stream: TcpStream = connect(self.2);
            stream.write_all(&health).expect("written");
            if read_fastcgi_answer(&mut stream).is_ok_and(|a| a.head.contains(" 200 ")) {
                break;
            }
            assert!(
                since.elapsed() < READY_TIMEOUT,
                "not ready after {:?}",
                since.elapsed()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.members(), workers);
    }

    fn members(&self) -> usize {
        let telemetry = common::admin_command(self.3, "telemetry\n");
        let members = telemetry
            .lines()
            .find_map(|line| line.strip_prefix("app.members:"))
            .expect("a line app.members")
            .to_owned();
        members
            .split('|')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a number")
    }

    /// Peak resident memory of the program, in MB.
    fn peak_memory(&self) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a line VmHWM");
        line.trim()
            .trim_end_matches(" kB")
            .parse::<f64>()
            .expect("a number")
            / 1024.0
    }

    /// Waits for a line of the log that contains this text.
    fn wait_for_log(&self, text: &str) {
        let since = Instant::now();
        loop {
            match self.1.recv_timeout(READY_TIMEOUT) {
                Ok(line) if line.contains(text) => return,
                Ok(_) if since.elapsed() < READY_TIMEOUT => {}
                Ok(_) | Err(RecvTimeoutError::Timeout) => panic!("no log line with '{text}'"),
                Err(RecvTimeoutError::Disconnected) => panic!("the program ended"),
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

/// The list comes from the discovery service, or from the known events in the configuration, as at a restart.
#[rstest]
fn a_program_with_the_largest_lists_is_ready_in_time(
    #[values(1_000, 4_000, 10_000, 20_000)] workers: usize,
    #[values("discovery", "known")] source: &str,
) {
    let list = list_event(workers);
    let event = format!("id: 1\ndata: {list}\n\n").into_bytes();
    let bodies = if source == "discovery" {
        vec![event]
    } else {
        vec![]
    };
    let (discovery, _requests) = discovery_service(bodies);
    let since = Instant::now();
    let known = if source == "known" { &list } else { "" };
    let program = Program::start(&format!("{source}-{workers}"), MEMORY_MB, discovery, known);
    program.wait_until_ready(workers);
    let (ready, peak) = (since.elapsed(), program.peak_memory());
    eprintln!(
        "{workers} workers from {source}, {} bytes: ready after {ready:?}, peak memory {peak:.0} MB",
        list.len()
    );
    assert!(ready < READY_TIMEOUT, "ready after {ready:?}");
    assert!(peak < MEMORY_MB as f64, "{peak:.0} MB");
}

/// An event that exceeds the maximum size is rejected with a log line, the former list stays, and the events are
/// requested again. Memory is bounded by the maximum size, not by what is sent.
#[test]
fn an_event_beyond_the_maximum_size_leaves_the_former_list() {
    let (workers, list) = (4_000, list_event(4_000));
    let oversized = [b"id: 2\ndata: ".to_vec(), vec![b'x'; 64 << 20]].concat();
    let next = format!(
        "id: 2\ndata: {}\n\n",
        list.replace(r#""rev":1"#, r#""rev":2"#)
            .replace("s-00000000", "s-new")
    );
    let (discovery, requests) = discovery_service(vec![
        format!("id: 1\ndata: {list}\n\n").into_bytes(),
        oversized,
        next.into_bytes(),
    ]);
    let program = Program::start("oversized", MEMORY_MB, discovery, "");
    program.wait_until_ready(workers);
    // The first request ends once it has brought nothing for some seconds; the second brings the oversized event.
    program.wait_for_log("an event is too long");
    assert_eq!(program.members(), workers);
    let after_event_1 = requests
        .iter()
        .take(3)
        .map(|head| head.contains("Last-Event-ID: 1"));
    assert_eq!(after_event_1.collect::<Vec<_>>(), [false, true, true]);
    program.wait_for_log("endpoint s-new: Ready");
    assert_eq!(program.members(), workers, "one worker is new, one is gone");
    let peak = program.peak_memory();
    assert!(peak < MEMORY_MB as f64 / 2.0, "{peak:.0} MB");
}
