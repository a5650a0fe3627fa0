//! Golden bytes of the files that a process leaves in `$TMPDIR` for the process that replaces it. The fixtures were
//! written by this version of the program. A later version must be able to read them, since both run side by side
//! during a replacement.
mod common;

use common::{http_get, Harness, Protocol};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use wrenseam::front::admin::{exclusions_path, read_exclusions};
use wrenseam::handover::Handover;

/// The file of excluded worker ids: `w0` and `w2`.
const EXCLUDED: &str = include_str!("fixtures/wrenseam-excluded");
const EXCLUDED_FILE: &str = "wrenseam-excluded";
/// The file that names the active process: process id 4242 with seed 0x2a.
const PROCESS: &str = include_str!("fixtures/wrenseam-process-t");
const PROCESS_FILE: &str = "wrenseam-process-t";
const FIXTURE_PROCESS_ID: u32 = 4242;
/// How long a test waits for an expected log line or state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn excluded_workers() -> BTreeSet<String> {
    ["w0", "w2"].map(str::to_owned).into()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).expect("a file")
}

/// A second process of the program, with the configuration of a harness's process and a `$TMPDIR` of its own.
struct Successor {
    child: Child,
    log: Receiver<String>,
    admin: SocketAddr,
    folder: PathBuf,
}

impl Successor {
    /// Starts the process with copies of the fixtures in its `$TMPDIR`, as if another process had left them.
    fn new(harness: &Harness) -> Successor {
        let folder = harness.folder().join("successor");
        std::fs::create_dir_all(&folder).expect("a folder");
        for name in [EXCLUDED_FILE, PROCESS_FILE] {
            std::fs::copy(fixture(name), folder.join(name)).expect("copied");
        }
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", harness.folder().join("config.json"))
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("WRENSEAM_KSERVE", harness.folder().join("kserve.json"))
            .env("TMPDIR", &folder)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (log_lines, log) = channel();
        std::thread::spawn(move || {
            let mut lines = lines.map_while(Result::ok);
            lines.all(|line| log_lines.send(line).is_ok())
        });
        let admin = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut successor = Successor {
            child,
            log,
            admin,
            folder,
        };
        let line = successor.wait_for_line("administration listens on ");
        successor.admin = line
            .rsplit(' ')
            .next()
            .expect("a word")
            .parse()
            .expect("an address");
        successor
    }

    /// Waits for the next log line that contains this text.
    fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_TIMEOUT);
            let line = line
                .unwrap_or_else(|_| panic!("no log line with {text:?} within {WAIT_TIMEOUT:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Successor {
    fn drop(&mut self) {
        let _ = self.child.kill(); // fails if the process has exited already
        let _ = self.child.wait();
    }
}

#[test]
fn exclusions_are_written_as_in_the_fixture() {
    let harness = Harness::new(Protocol::Platform);
    for worker in ["w2", "w0"] {
        assert_eq!(
            harness.admin_command(&format!("exclude {worker}\n")),
            format!("YES excluded {worker}\n")
        );
    }
    assert_eq!(read(&harness.folder().join(EXCLUDED_FILE)), EXCLUDED);
}

#[test]
fn exclusions_are_read_from_the_fixture() {
    assert_eq!(
        read_exclusions(&fixture(EXCLUDED_FILE)).expect("read"),
        excluded_workers()
    );
    assert_eq!(exclusions_path(), std::env::temp_dir().join(EXCLUDED_FILE));
}

/// A running process applies the exclusions that another process writes to the file.
#[test]
fn exclusions_of_another_process_are_applied() {
    let harness = Harness::new(Protocol::Platform);
    std::fs::copy(fixture(EXCLUDED_FILE), harness.folder().join(EXCLUDED_FILE)).expect("copied");
    harness.wait_for_endpoint("w0", "draining", "excluded by another process");
    harness.wait_for_endpoint("w2", "draining", "excluded by another process");
    harness.wait_for_endpoint("w1", "ready", "not excluded");
}

#[test]
fn a_process_names_itself_as_in_the_fixture() {
    let harness = Harness::new(Protocol::Platform);
    let written = read(&harness.folder().join(PROCESS_FILE));
    let expected = PROCESS.replace(&FIXTURE_PROCESS_ID.to_string(), &harness.pid().to_string());
    assert_eq!(written, expected);
}

/// A process that starts while the file names another process, as the fixture does, becomes active only at its third
/// poll.
#[test]
fn a_process_takes_over_from_the_one_in_the_fixture_after_three_polls() {
    let own = "4243-2a";
    let mut handover = Handover::new(own.to_owned(), Some(PROCESS));
    let standby = [(); 3].map(|()| handover.observe(Some(own)));
    assert_eq!(standby, [true, true, false]);
    assert!(
        handover.observe(Some(PROCESS)),
        "on standby once the file names the fixture's process again"
    );
    assert!(
        !Handover::new(PROCESS.to_owned(), Some(PROCESS)).is_standby(),
        "the fixture's process does not wait for itself"
    );
}

/// A process that starts with the fixtures in its `$TMPDIR` applies the exclusions, names itself in the file, becomes
/// active, and goes on standby when the file names another process again.
#[test]
fn a_successor_reads_and_replaces_the_fixtures() {
    let harness = Harness::new(Protocol::Platform);
    let mut successor = Successor::new(&harness);
    let path = successor.folder.join(PROCESS_FILE);
    let own = PROCESS.replace(
        &FIXTURE_PROCESS_ID.to_string(),
        &successor.child.id().to_string(),
    );
    assert_eq!(read(&path), own);
    let since = Instant::now();
    let mut state = http_get(successor.admin, "/v1/state");
    while !state.contains(r#""name":"w0""#) {
        assert!(since.elapsed() < WAIT_TIMEOUT, "{state}");
        state = http_get(successor.admin, "/v1/state");
    }
    let draining = state.matches(r#""state":"draining""#).count();
    assert_eq!(draining, excluded_workers().len(), "{state}");
    successor.wait_for_line("admin: active, this process sends to workers in slow start");
    std::fs::write(&path, PROCESS).expect("written");
    successor.wait_for_line("admin: standby, a new process sends to workers in slow start");
    assert_eq!(read(&successor.folder.join(EXCLUDED_FILE)), EXCLUDED);
}
