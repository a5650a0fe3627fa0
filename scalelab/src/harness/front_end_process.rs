//! A front end as a child process, which ends with its parent.
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

/// Interval at which the log of a starting process is read: short, as the time of the start is measured.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a starting process is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the log is read while waiting for a text.
const LOG_TEXT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for data from an admin endpoint.
const ADMIN_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";
/// Name of the file that gets the process's standard error.
const LOG_FILE: &str = "log";
/// Content of the configuration file of the v2 listener and the read-only admin endpoint.
const KSERVE_CONFIG: &str = r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0"}"#;

/// A front end process. It is killed when this value is dropped, and also when its parent is killed.
pub struct FrontEndProcess {
    child: Child,
    /// Its configuration and log files; removed on drop.
    folder: PathBuf,
    /// Bytes of its log read so far.
    log_offset: usize,
    /// When it was started.
    pub started_at: Instant,
    /// Address of its v2 listener.
    pub kserve: SocketAddr,
    /// Address of its read-only admin endpoint.
    pub admin: SocketAddr,
    /// Address of its gossip socket; `None` without gossip.
    pub gossip: Option<SocketAddr>,
    /// Address of its admin endpoint for operators; `None` without gossip.
    pub operator_address: Option<SocketAddr>,
}

/// Path of the `wrenseam` executable: in the directory of this executable, or one level up, where it is for tests.
///
/// # Errors
/// There is none: the message says how to build it.
pub fn front_end_executable() -> Result<PathBuf, ExperimentError> {
    let own = std::env::current_exe().map_err(failed)?;
    let beside = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("wrenseam"))
        .find(|path| path.is_file());
    beside.ok_or(ExperimentError::Failed(
        "executable `wrenseam` not found next to this one: build it with `cargo build --release -p wrenseam`"
            .to_owned(),
    ))
}

/// Creates a folder in the system's temporary folder for the files of one process.
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

/// Writes the configuration files to this folder and returns the command that starts the front end.
fn command(folder: &Path, options: &FrontEndOptions) -> Result<Command, ExperimentError> {
    let config = write_file(folder, "config.json", &options.config())?;
    let kserve = write_file(folder, "kserve.json", KSERVE_CONFIG)?;
    let log = File::create(folder.join(LOG_FILE)).map_err(failed)?;
    let mut command = Command::new(front_end_executable()?);
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
    // SAFETY: the closure runs between fork and exec and only calls prctl, which is async-signal-safe.
    unsafe {
        command.pre_exec(|| {
            nix::sys::prctl::set_pdeathsig(nix::sys::signal::SIGKILL).map_err(std::io::Error::from)
        });
    }
    Ok(command)
}

/// The address at the end of the log line that contains `text`.
fn logged_address(log: &str, text: &str) -> Option<SocketAddr> {
    let line = log.lines().find(|line| line.contains(text))?;
    let (_, address) = line.rsplit_once(" listens on ")?;
    address.parse().ok()
}

impl FrontEndProcess {
    /// Starts a process and does not wait for it: its addresses are known after
    /// [`FrontEndProcess::wait_for_listeners`].
    ///
    /// # Errors
    /// Its files cannot be written, or the process cannot be started.
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

    /// Waits until the process listens on all addresses, and reads them from its log.
    ///
    /// # Errors
    /// It does not within [`super::WAIT_TIMEOUT`].
    pub fn wait_for_listeners(&mut self) -> Result<(), ExperimentError> {
        let path = self.folder.join(LOG_FILE);
        wait_until("the front end to listen", LOG_POLL_INTERVAL, || {
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

    /// Starts a process and waits until it is ready for clients.
    ///
    /// # Errors
    /// It cannot be started, or is not ready within [`super::WAIT_TIMEOUT`].
    pub fn start(options: &FrontEndOptions) -> Result<FrontEndProcess, ExperimentError> {
        let mut process = FrontEndProcess::spawn(options)?;
        process.wait_for_listeners()?;
        wait_until("the front end to be ready", READY_POLL_INTERVAL, || {
            process.is_ready()
        })?;
        Ok(process)
    }

    /// Whether it is ready for clients.
    pub fn is_ready(&self) -> bool {
        is_ready(self.admin)
    }

    /// Reads a gauge of its telemetry; `None` without the operators' endpoint, without a response, or for an unknown
    /// gauge.
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

    /// Reads its resource usage.
    ///
    /// # Errors
    /// The process has ended.
    pub fn usage(&self) -> Result<ResourceUsage, ExperimentError> {
        ResourceUsage::read(self.id())
    }

    /// The complete lines of its log since the previous call.
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

    /// Waits until the part of its log that [`FrontEndProcess::new_log_lines`] has not returned yet contains this text.
    ///
    /// # Errors
    /// It does not within [`super::WAIT_TIMEOUT`].
    pub fn wait_for_log(&mut self, text: &str) -> Result<(), ExperimentError> {
        wait_until(
            &format!("the log line {text:?}"),
            LOG_TEXT_POLL_INTERVAL,
            || self.new_log_lines().contains(text),
        )
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for FrontEndProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // fails if it has ended already
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the read-only admin endpoint at this address reports that its front end is ready for clients.
pub fn is_ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ADMIN_READ_TIMEOUT));
    let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut status_line = [0; 12];
    sent.is_ok() && stream.read_exact(&mut status_line).is_ok() && status_line.ends_with(b"200")
}
