//! The program as a child process that ends with its parent.
use super::{failed, wait_until, FrontEndOptions, ResourceUsage};
use crate::ExperimentError;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How often the log of a process that starts is read: short, as the time of a start is measured.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often a process that starts is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often the log is read for a text that is to come.
const LOG_TEXT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for an answer of the admin endpoints.
const ADMIN_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";
const LOG_FILE: &str = "log";
const KSERVE_CONFIG: &str = r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0"}"#;

/// One front end: a process that ends with this value, and with its parent should that be killed.
pub struct FrontEndProcess {
    child: Child,
    folder: PathBuf,
    /// Bytes of its log read so far.
    log_offset: usize,
    /// When it was started.
    pub started_at: Instant,
    /// Where v2 clients connect.
    pub kserve: SocketAddr,
    /// The read-only admin endpoint.
    pub admin: SocketAddr,
    /// Its gossip socket, where gossip is on.
    pub gossip: Option<SocketAddr>,
    /// The operators' admin endpoint, where gossip is on.
    pub operator_address: Option<SocketAddr>,
}

/// The program: `wrenseam` beside this one, or where tests find it.
///
/// # Errors
/// It is not there: the text says how it is built.
pub fn binary() -> Result<PathBuf, ExperimentError> {
    let own = std::env::current_exe().map_err(failed)?;
    let beside = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("wrenseam"))
        .find(|path| path.is_file());
    beside.ok_or(ExperimentError::Failed(
        "no program `wrenseam` beside this one: build it by `cargo build --release -p wrenseam`"
            .to_owned(),
    ))
}

/// A folder of its own under the system's, for the files of one process.
fn create_folder() -> Result<PathBuf, ExperimentError> {
    static FOLDERS: AtomicU64 = AtomicU64::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("scalelab-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder).map_err(failed)?;
    Ok(folder)
}

fn write_file(folder: &Path, name: &str, text: &str) -> Result<PathBuf, ExperimentError> {
    let path = folder.join(name);
    fs::write(&path, text).map_err(failed)?;
    Ok(path)
}

/// The command that starts a front end with its files in this folder.
fn command(folder: &Path, options: &FrontEndOptions) -> Result<Command, ExperimentError> {
    let config = write_file(folder, "config.json", &options.config())?;
    let kserve = write_file(folder, "kserve.json", KSERVE_CONFIG)?;
    let log = File::create(folder.join(LOG_FILE)).map_err(failed)?;
    let mut command = Command::new(binary()?);
    command
        .env("NODE_CONFIG", config)
        .env("NODE_LISTEN", ANY_PORT)
        .env("WRENSEAM_KSERVE", kserve)
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    if let Some(fleet) = &options.fleet {
        command
            .env("WRENSEAM_FLEET", write_file(folder, "fleet.json", fleet)?)
            .env("NODE_ADMIN", ANY_PORT);
    }
    // SAFETY: between fork and exec only prctl is called, which is safe to call there.
    unsafe {
        command.pre_exec(|| {
            nix::sys::prctl::set_pdeathsig(nix::sys::signal::SIGKILL).map_err(std::io::Error::from)
        });
    }
    Ok(command)
}

/// The address on the log line that contains `text`.
fn logged_address(log: &str, text: &str) -> Option<SocketAddr> {
    let line = log.lines().find(|line| line.contains(text))?;
    let (_, address) = line.rsplit_once(" listens on ")?;
    address.parse().ok()
}

impl FrontEndProcess {
    /// Starts it and does not wait: where it listens is known after [`FrontEndProcess::wait_for_listeners`].
    ///
    /// # Errors
    /// Its files cannot be written, or it cannot be started.
    pub fn spawn(options: &FrontEndOptions) -> Result<FrontEndProcess, ExperimentError> {
        let folder = create_folder()?;
        let mut command = command(&folder, options)?;
        let started_at = Instant::now();
        let child = command.spawn().map_err(failed)?;
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(FrontEndProcess {
            child,
            folder,
            log_offset: 0,
            started_at,
            kserve: unknown,
            admin: unknown,
            gossip: None,
            operator_address: None,
        })
    }

    /// Waits until it listens everywhere.
    ///
    /// # Errors
    /// It does not within [`super::WAIT_TIMEOUT`].
    pub fn wait_for_listeners(&mut self) -> Result<(), ExperimentError> {
        let path = self.folder.join(LOG_FILE);
        wait_until("a front end listens", LOG_POLL_INTERVAL, || {
            let log = fs::read_to_string(&path).unwrap_or_default();
            let kserve = logged_address(&log, "KServe v2 listens");
            let admin = logged_address(&log, "administration listens");
            let (Some(kserve), Some(admin)) = (kserve, admin) else {
                return false;
            };
            self.kserve = kserve;
            self.admin = admin;
            self.gossip = logged_address(&log, "gossip listens");
            self.operator_address = logged_address(&log, "door listens");
            true
        })
    }

    /// Starts it and waits until it takes clients.
    ///
    /// # Errors
    /// It cannot be started or does not come up.
    pub fn start(options: &FrontEndOptions) -> Result<FrontEndProcess, ExperimentError> {
        let mut process = FrontEndProcess::spawn(options)?;
        process.wait_for_listeners()?;
        wait_until("a front end is ready", READY_POLL_INTERVAL, || {
            process.is_ready()
        })?;
        Ok(process)
    }

    /// Whether it takes clients now.
    pub fn is_ready(&self) -> bool {
        ready(self.admin)
    }

    /// A gauge of its telemetry, where the operators' endpoint is on.
    pub fn gauge(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.operator_address?).ok()?;
        stream.set_read_timeout(Some(ADMIN_READ_TIMEOUT)).ok()?;
        stream.write_all(b"telemetry\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        value.split('|').next()?.parse().ok()
    }

    /// What it has used.
    ///
    /// # Errors
    /// It has ended.
    pub fn usage(&self) -> Result<ResourceUsage, ExperimentError> {
        ResourceUsage::read(self.id())
    }

    /// The complete lines of its log that were not read here before.
    pub fn new_log_lines(&mut self) -> String {
        let log = fs::read(self.folder.join(LOG_FILE)).unwrap_or_default();
        let end = log
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |last| last + 1);
        let start = self.log_offset.min(end);
        self.log_offset = end;
        String::from_utf8_lossy(&log[start..end]).into_owned()
    }

    /// Waits until its log contains this text, from where it was last read.
    ///
    /// # Errors
    /// It does not within [`super::WAIT_TIMEOUT`].
    pub fn wait_for_log(&mut self, text: &str) -> Result<(), ExperimentError> {
        wait_until(text, LOG_TEXT_POLL_INTERVAL, || {
            self.new_log_lines().contains(text)
        })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for FrontEndProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the admin endpoint at this address says that clients are taken.
pub fn ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ADMIN_READ_TIMEOUT));
    let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut status_line = [0; 12];
    sent.is_ok() && stream.read_exact(&mut status_line).is_ok() && status_line.ends_with(b"200")
}
