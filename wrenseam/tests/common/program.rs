//! The program as a process: its environment, its log, its signals and its end.
use super::support::sockets::connect;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Lines, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// The policy's settings in the configuration of each test.
pub(crate) const POLICY_SETTINGS: &str = r#"{"balancers":1,"classes":[
 {"effect":"retryable","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1},
 {"effect":"dedup","goal-time":400,"key-scope":"zone","memory-span":5000,"name":"tile-order","worth":3}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":70}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// A variable of the program's environment.
pub(crate) type Variable<'a> = (&'a str, &'a OsStr);

/// A process of the program. It is killed when this is dropped.
pub(crate) struct Program {
    child: Child,
    /// The log, until the rest of it is forwarded.
    log: Option<Lines<BufReader<ChildStderr>>>,
}

impl Program {
    /// Starts the program on a free port, with its temporary files in `folder`.
    pub(crate) fn start(folder: &Path, config: &Path, environment: &[Variable]) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", folder)
            .envs(environment.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        Program {
            child,
            log: Some(log),
        }
    }

    /// The next address on which the log says that the program listens.
    pub(crate) fn next_listen_address(&mut self) -> SocketAddr {
        let log = self.log.as_mut().expect("a log that is not forwarded yet");
        loop {
            let line = log.next().expect("a line of the log").expect("text");
            if let Some((_, address)) = line.split_once(" listens on ") {
                return address.parse().expect("an address");
            }
        }
    }

    /// Reads the rest of the log, so that it cannot fill up, and shows it with a failed test.
    pub(crate) fn forward_log(&mut self, label: String) {
        let log = self.log.take().expect("a log that is not forwarded yet");
        std::thread::spawn(move || {
            for line in log.map_while(Result::ok) {
                eprintln!("  {label}: {line}");
            }
        });
    }

    /// The id of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named as `kill` wants it.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the end of the process; whether it ended well.
    pub(crate) fn wait(&mut self) -> bool {
        self.child.wait().expect("it ends").success()
    }

    /// Ends the process at once, as a crash would.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
    }

    /// Whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("asked").is_none()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder of their own for the files of this run.
pub(crate) fn create_run_folder(prefix: &str) -> PathBuf {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("{prefix}{}-{run}", std::process::id());
    create_folder(&Path::new(env!("CARGO_TARGET_TMPDIR")).join(name))
}

/// Creates a folder, which may be there already.
pub(crate) fn create_folder(path: &Path) -> PathBuf {
    std::fs::create_dir_all(path).expect("a folder for the files");
    path.to_path_buf()
}

/// Writes a file; its path.
pub(crate) fn write_file(path: PathBuf, text: &str) -> PathBuf {
    std::fs::write(&path, text).expect("written");
    path
}

/// Sends a command line to an admin endpoint; what came back until the connection ended.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn admin_command(address: SocketAddr, line: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(line.as_bytes()).expect("written");
    let mut reply = String::new();
    let _ = stream.read_to_string(&mut reply); // it may be reset
    reply
}
