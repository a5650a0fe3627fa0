//! The program as a process: its files, its start, what it is told by signals and at its door, and its end.
use super::clients::{connect, get};
use super::discovery::{board, Board};
use super::workers::{worker, Call};
use super::{Speech, PATIENCE};
use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::json::{list, object, parse, text};

/// The running program and its stand-in workers, two in each of two halls.
pub struct Stage {
    pub(super) child: Child,
    pub front: SocketAddr,
    pub kserve: SocketAddr,
    pub admin: SocketAddr,
    /// The operators' door.
    pub door: SocketAddr,
    pub(super) calls: Receiver<Call>,
    pub(super) boards: [Board; 2],
    pub(super) board: Cell<usize>,
    pub(super) config: (PathBuf, String),
    /// What workers do with orders.
    pub(super) orders: Arc<AtomicU8>,
}

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
    pub(super) fn reload(&self, broken: bool) {
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
