//! The program as a child that ends with its parent.
use super::{failed, wait_until, FrontEndOptions, ResourceUsage};
use crate::ExperimentError;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One front end: a process that ends with this value, and with its parent should that be killed.
pub struct FrontEndProcess {
    child: Child,
    folder: PathBuf,
    /// Bytes of its log read so far.
    read: usize,
    /// When it was started.
    pub started_at: Instant,
    /// Where v2 clients connect.
    pub kserve: SocketAddr,
    /// The read-only administration.
    pub admin: SocketAddr,
    /// Its gossip socket and the operators' operator_address, where the fleet is on.
    pub gossip: Option<SocketAddr>,
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
        .find(|p| p.is_file());
    beside.ok_or(ExperimentError::Failed(
        "no program `wrenseam` beside this one: build it by `cargo build --release -p wrenseam`"
            .to_owned(),
    ))
}

/// A folder of its own under the system's, for the files of one process.
fn folder() -> Result<PathBuf, ExperimentError> {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("scalelab-{}-{run}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(failed)?;
    Ok(folder)
}

impl FrontEndProcess {
    /// Starts it and does not wait: where it listens is known after [`FrontEndProcess::wait_for_listeners`].
    ///
    /// # Errors
    /// Its files cannot be written, or it cannot be started.
    pub fn spawn(told: &FrontEndOptions) -> Result<FrontEndProcess, ExperimentError> {
        use std::os::unix::process::CommandExt;
        let folder = folder()?;
        let write = |name: &str, text: &str| -> Result<PathBuf, ExperimentError> {
            std::fs::write(folder.join(name), text).map_err(failed)?;
            Ok(folder.join(name))
        };
        let log = std::fs::File::create(folder.join("log")).map_err(failed)?;
        let mut command = Command::new(binary()?);
        command
            .env("NODE_CONFIG", write("config.json", &told.config())?)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env(
                "WRENSEAM_KSERVE",
                write(
                    "kserve.json",
                    r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0"}"#,
                )?,
            )
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(fleet) = &told.fleet {
            command
                .env("WRENSEAM_FLEET", write("fleet.json", fleet)?)
                .env("NODE_ADMIN", "127.0.0.1:0");
        }
        // SAFETY: between fork and exec only prctl is called, which is safe to call there.
        unsafe {
            command.pre_exec(|| {
                nix::sys::prctl::set_pdeathsig(nix::sys::signal::SIGKILL)
                    .map_err(std::io::Error::from)
            });
        }
        let started_at = Instant::now();
        let child = command.spawn().map_err(failed)?;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(FrontEndProcess {
            child,
            folder,
            read: 0,
            started_at,
            kserve: nowhere,
            admin: nowhere,
            gossip: None,
            operator_address: None,
        })
    }

    /// Waits wait_until it listens everywhere.
    ///
    /// # Errors
    /// It does not within [`WAIT_TIMEOUT`].
    pub fn wait_for_listeners(&mut self) -> Result<(), ExperimentError> {
        let log = self.folder.join("log");
        wait_until("a front end listens", Duration::from_millis(2), || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let at = |what: &str| {
                let line = text.lines().find(|l| l.contains(what))?;
                line.rsplit_once(" listens on ")?
                    .1
                    .parse::<SocketAddr>()
                    .ok()
            };
            let (Some(kserve), Some(admin)) =
                (at("KServe v2 listens"), at("administration listens"))
            else {
                return false;
            };
            (self.kserve, self.admin) = (kserve, admin);
            (self.gossip, self.operator_address) = (at("gossip listens"), at("door listens"));
            true
        })
    }

    /// Starts it and waits wait_until it takes clients.
    ///
    /// # Errors
    /// It cannot be started or does not come up.
    pub fn start(told: &FrontEndOptions) -> Result<FrontEndProcess, ExperimentError> {
        let mut program = FrontEndProcess::spawn(told)?;
        program.wait_for_listeners()?;
        wait_until("a front end is ready", Duration::from_millis(5), || {
            program.is_ready()
        })?;
        Ok(program)
    }

    /// Whether it takes clients now.
    pub fn is_ready(&self) -> bool {
        ready(self.admin)
    }

    /// A gauge of its telemetry, where the operator_address is on.
    pub fn gauge(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.operator_address?).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(b"telemetry\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(':'))?;
        line.split('|').next()?.parse().ok()
    }

    /// What it has taken.
    ///
    /// # Errors
    /// It has ended.
    pub fn usage(&self) -> Result<ResourceUsage, ExperimentError> {
        let own = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(own.join("status")).map_err(failed)?;
        let figure = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok())
        };
        let tasks = std::fs::read_dir(own.join("task")).map_err(failed)?;
        let spent = |task: &Path| {
            let text = std::fs::read_to_string(task.join("schedstat")).ok()?;
            let name = std::fs::read_to_string(task.join("comm")).ok()?;
            Some((
                name.trim() == "core",
                text.split_whitespace().next()?.parse::<u64>().ok()?,
            ))
        };
        let tasks: Vec<_> = tasks.flatten().filter_map(|t| spent(&t.path())).collect();
        let sum = |core: bool| tasks.iter().filter(|t| t.0 || !core).map(|t| t.1).sum();
        let gone = || ExperimentError::Failed("a front end has ended by itself".to_owned());
        Ok(ResourceUsage {
            measured_at: Instant::now(),
            cpu_time: Duration::from_nanos(sum(false)),
            core_thread_cpu_time: Duration::from_nanos(sum(true)),
            resident_kib: figure("VmRSS:").ok_or_else(gone)?,
            peak_resident_kib: figure("VmHWM:").ok_or_else(gone)?,
            descriptors: std::fs::read_dir(own.join("fd")).map_or(0, Iterator::count),
        })
    }

    /// What its log says that was not read here before.
    pub fn new_log_lines(&mut self) -> String {
        let text = std::fs::read(self.folder.join("log")).unwrap_or_default();
        let whole = text
            .iter()
            .rposition(|&b| b == b'\n')
            .map_or(0, |end| end + 1);
        let news = String::from_utf8_lossy(&text[self.read.min(whole)..whole]).into_owned();
        self.read = whole;
        news
    }

    /// Waits wait_until its log says this, counted from where it was last read.
    ///
    /// # Errors
    /// It does not within [`WAIT_TIMEOUT`].
    pub fn wait_for_log(&mut self, what: &str) -> Result<(), ExperimentError> {
        wait_until(what, Duration::from_millis(10), || {
            self.new_log_lines().contains(what)
        })
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for FrontEndProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whether the administration at this address says that clients are taken.
pub fn ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut head = [0; 12];
    asked.is_ok() && stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
}
