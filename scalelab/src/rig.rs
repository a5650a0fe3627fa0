//! What experiments on real processes share: the program as a child that ends with its parent, a stand-in notice
//! board, v2 clients, and what a process takes, as the kernel counts it.
use crate::Fault;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Front ends of the size to plan with: what every process is told as `balancers`.
pub const FRONTS: usize = 660;
/// Longest that anything is waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// The class and tenant of all calls.
pub const CLASS: &str = "tile-render";
const STACK: usize = 128 * 1024;
const ZONES: [&str; 7] = [
    "east-1", "east-2", "east-3", "east-4", "west-1", "west-2", "west-3",
];

/// Locks, whoever panicked with it.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(e: impl std::fmt::Display) -> Fault {
    Fault::Failed(e.to_string())
}

/// Starts a thread with a small stack.
pub fn thread(run: impl FnOnce() + Send + 'static) -> Result<std::thread::JoinHandle<()>, Fault> {
    std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(run)
        .map_err(failed)
}

/// Waits until `done`, looking every `step`.
///
/// # Errors
/// It is not so within [`PATIENCE`].
pub fn until(what: &str, step: Duration, mut done: impl FnMut() -> bool) -> Result<(), Fault> {
    let since = Instant::now();
    while !done() {
        if since.elapsed() > PATIENCE {
            return Err(Fault::Failed(format!("{what}: not within {PATIENCE:?}")));
        }
        std::thread::sleep(step);
    }
    Ok(())
}

/// An instance as the notice board tells it.
pub fn instance(id: u64, address: &str, state: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{state}","weight":4,"startedAtMs":0}}"#,
        ZONES[id as usize % ZONES.len()],
        id % 16
    )
}

/// An event of the notice board.
pub fn event(rev: u64, whole: bool, instances: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"pool":{{"generation":7,"reset":{whole},"instances":[{}]}}}}"#,
        instances.join(",")
    )
}

/// A list of workers at which nobody listens, for front ends that are not called.
pub fn hollow(workers: u64) -> Vec<String> {
    (0..workers)
        .map(|w| {
            instance(
                w,
                &format!("127.{}.{}.{}:8443", 1 + (w >> 16), (w >> 8) & 255, w & 255),
                "ready",
            )
        })
        .collect()
}

/// The list in events of at most `part` instances, numbered from 1.
pub fn parts(list: &[String], part: usize) -> Vec<(u64, String)> {
    let number = |n: usize| n as u64 + 1;
    list.chunks(part)
        .enumerate()
        .map(|(n, some)| (number(n), event(number(n), n == 0, some)))
        .collect()
}

/// What one front end is told at its start.
pub struct Told {
    /// The events of the list that stand in its configuration, and the number of the last.
    pub known: (u64, Vec<String>),
    /// The notice board.
    pub board: Option<SocketAddr>,
    /// How many front ends share the workers, and which this is.
    pub fronts: usize,
    pub index: usize,
    /// Its limit of descriptors.
    pub sockets: usize,
    /// The whole of the fleet's file, where it is on.
    pub fleet: Option<String>,
    pub seed: u64,
}

impl Default for Told {
    fn default() -> Self {
        let (known, board, fleet) = ((0, Vec::new()), None, None);
        Told {
            known,
            board,
            fronts: FRONTS,
            index: 0,
            sockets: 1024,
            fleet,
            seed: 1,
        }
    }
}

impl Told {
    fn config(&self) -> String {
        let (rev, notices) = &self.known;
        let board = self
            .board
            .map_or(String::new(), |b| format!(r#""board":"{b}","#));
        format!(
            r#"{{"name":"n{index}","listen":"127.0.0.1:0","seed":"{seed:x}",{board}"limits":{{"memory_mb":192,"sockets":{sockets}}},
            "known":{{"rev":{rev},"notices":[{notices}]}},
            "settings":{{"balancers":{fronts},"index":{index},"classes":[{{"effect":"retryable","goal-time":400,"name":"{CLASS}","worth":1}}],
            "failure-domains":["{zones}"],"flavors":["std"],"tenants":[{{"name":"acme","portion":1,"quota-per-s":100000}}],
            "family-info":{{"free-loads":4,"keep":8000,"load-span":5000,"loads-per-request":0.15,"load-wait":4000,"machine-mb":[30000],"orders":true,"tells-warm":true,"tells-crowd":true,"when-absent":"load"}},
            "limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":1000,"streams-per-conn":100}},
            "rules":{{"cold-from":0.2,"fall":1000,"fall-multiple":2,"warm-within":17000}}}}}}"#,
            index = self.index,
            seed = self.seed,
            sockets = self.sockets,
            notices = notices.join(","),
            fronts = self.fronts,
            zones = ZONES.join("\",\"")
        )
    }
}

/// What a process took so far, and holds now.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// Processor time of all its threads, and that of the core's alone.
    pub cpu: Duration,
    pub core: Duration,
    /// Resident memory, KiB: now, and the most so far.
    pub rss: u64,
    pub most: u64,
    pub descriptors: usize,
}

impl Usage {
    /// Share of one core, in percent, since `before`.
    pub fn share(&self, before: &Usage) -> f64 {
        100.0 * (self.cpu - before.cpu).as_secs_f64() / (self.at - before.at).as_secs_f64()
    }

    /// The same of the core's thread alone.
    pub fn core_share(&self, before: &Usage) -> f64 {
        100.0 * (self.core - before.core).as_secs_f64() / (self.at - before.at).as_secs_f64()
    }
}

/// One front end: a process that ends with this value, and with its parent should that be killed.
pub struct Program {
    child: Child,
    folder: PathBuf,
    /// Bytes of its log read so far.
    read: usize,
    /// When it was started.
    pub since: Instant,
    /// Where v2 clients connect.
    pub kserve: SocketAddr,
    /// The read-only administration.
    pub admin: SocketAddr,
    /// Its gossip socket and the operators' door, where the fleet is on.
    pub gossip: Option<SocketAddr>,
    pub door: Option<SocketAddr>,
}

/// The program: `wrenseam` beside this one, or where tests find it.
///
/// # Errors
/// It is not there: the text says how it is built.
pub fn binary() -> Result<PathBuf, Fault> {
    let own = std::env::current_exe().map_err(failed)?;
    let beside = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("wrenseam"))
        .find(|p| p.is_file());
    beside.ok_or(Fault::Failed(
        "no program `wrenseam` beside this one: build it by `cargo build --release -p wrenseam`"
            .to_owned(),
    ))
}

/// A folder of its own under the system's, for the files of one process.
fn folder() -> Result<PathBuf, Fault> {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("scalelab-{}-{run}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(failed)?;
    Ok(folder)
}

impl Program {
    /// Starts it and does not wait: where it listens is known after [`Program::listening`].
    ///
    /// # Errors
    /// Its files cannot be written, or it cannot be started.
    pub fn spawn(told: &Told) -> Result<Program, Fault> {
        use std::os::unix::process::CommandExt;
        let folder = folder()?;
        let write = |name: &str, text: &str| -> Result<PathBuf, Fault> {
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
        let since = Instant::now();
        let child = command.spawn().map_err(failed)?;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Program {
            child,
            folder,
            read: 0,
            since,
            kserve: nowhere,
            admin: nowhere,
            gossip: None,
            door: None,
        })
    }

    /// Waits until it listens everywhere.
    ///
    /// # Errors
    /// It does not within [`PATIENCE`].
    pub fn listening(&mut self) -> Result<(), Fault> {
        let log = self.folder.join("log");
        until("a front end listens", Duration::from_millis(2), || {
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
            (self.gossip, self.door) = (at("gossip listens"), at("door listens"));
            true
        })
    }

    /// Starts it and waits until it takes clients.
    ///
    /// # Errors
    /// It cannot be started or does not come up.
    pub fn start(told: &Told) -> Result<Program, Fault> {
        let mut program = Program::spawn(told)?;
        program.listening()?;
        until("a front end is ready", Duration::from_millis(5), || {
            program.is_ready()
        })?;
        Ok(program)
    }

    /// Whether it takes clients now.
    pub fn is_ready(&self) -> bool {
        ready(self.admin)
    }

    /// A gauge of its telemetry, where the door is on.
    pub fn gauge(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.door?).ok()?;
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
    pub fn usage(&self) -> Result<Usage, Fault> {
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
        let gone = || Fault::Failed("a front end has ended by itself".to_owned());
        Ok(Usage {
            at: Instant::now(),
            cpu: Duration::from_nanos(sum(false)),
            core: Duration::from_nanos(sum(true)),
            rss: figure("VmRSS:").ok_or_else(gone)?,
            most: figure("VmHWM:").ok_or_else(gone)?,
            descriptors: std::fs::read_dir(own.join("fd")).map_or(0, Iterator::count),
        })
    }

    /// What its log says that was not read here before.
    pub fn news(&mut self) -> String {
        let text = std::fs::read(self.folder.join("log")).unwrap_or_default();
        let whole = text
            .iter()
            .rposition(|&b| b == b'\n')
            .map_or(0, |end| end + 1);
        let news = String::from_utf8_lossy(&text[self.read.min(whole)..whole]).into_owned();
        self.read = whole;
        news
    }

    /// Waits until its log says this, counted from where it was last read.
    ///
    /// # Errors
    /// It does not within [`PATIENCE`].
    pub fn says(&mut self, what: &str) -> Result<(), Fault> {
        until(what, Duration::from_millis(10), || {
            self.news().contains(what)
        })
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Program {
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

/// A stand-in notice board.
pub struct Board {
    pub address: SocketAddr,
    inside: Arc<Inside>,
}

#[derive(Default)]
struct Inside {
    told: Mutex<News>,
    changed: Condvar,
    /// Bytes of events, events and calls so far.
    bytes: AtomicU64,
    events: AtomicU64,
    calls: AtomicU64,
    /// Calls that were ended at once, while it was down.
    turned_away: AtomicU64,
}

#[derive(Default)]
struct News {
    /// Numbers and texts of what a caller is told that is behind.
    events: Vec<(u64, Arc<str>)>,
    /// Raised when all connections are to end.
    cut: u64,
    down: bool,
}

impl Board {
    /// Starts it with these events to tell.
    ///
    /// # Errors
    /// No port or thread can be had.
    pub fn start(events: Vec<(u64, String)>) -> Result<Board, Fault> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let events = events
            .into_iter()
            .map(|(rev, text)| (rev, text.into()))
            .collect();
        let told = Mutex::new(News {
            events,
            ..News::default()
        });
        let inside = Arc::new(Inside {
            told,
            ..Inside::default()
        });
        let of = inside.clone();
        thread(move || {
            for stream in listener.incoming().flatten() {
                let of = of.clone();
                let _ = thread(move || drop(of.serve(stream)));
            }
        })?;
        Ok(Board { address, inside })
    }

    /// Tells one more event.
    pub fn tell(&self, rev: u64, text: String) {
        lock(&self.inside.told).events.push((rev, text.into()));
        self.inside.changed.notify_all();
    }

    /// Ends all connections and takes none until it is up again; from then on whoever is behind is told `instead`.
    pub fn cut(&self, instead: Vec<(u64, String)>) {
        let mut told = lock(&self.inside.told);
        told.events = instead
            .into_iter()
            .map(|(rev, text)| (rev, text.into()))
            .collect();
        (told.cut, told.down) = (told.cut + 1, true);
        self.inside.changed.notify_all();
    }

    /// Takes connections again.
    pub fn up(&self) {
        lock(&self.inside.told).down = false;
    }

    /// Bytes of events written so far, all callers together.
    pub fn bytes(&self) -> u64 {
        self.inside.bytes.load(Ordering::Relaxed)
    }

    /// Events written so far.
    pub fn events(&self) -> u64 {
        self.inside.events.load(Ordering::Relaxed)
    }

    /// Calls that it ended at once, as it was down.
    pub fn turned_away(&self) -> u64 {
        self.inside.turned_away.load(Ordering::Relaxed)
    }

    /// Calls that it took.
    pub fn calls(&self) -> u64 {
        self.inside.calls.load(Ordering::Relaxed)
    }
}

impl Inside {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut at, mut head) = (0, BufReader::new(stream.try_clone()?));
        let cut = lock(&self.told).cut;
        loop {
            let mut line = String::new();
            if head.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(last) = line.strip_prefix("Last-Event-ID: ") {
                at = last.trim().parse().unwrap_or(0);
            }
            if line.trim().is_empty() {
                break;
            }
        }
        if lock(&self.told).down {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            return stream.shutdown(Shutdown::Both);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        loop {
            let mut told = lock(&self.told);
            if told.cut == cut && !told.events.iter().any(|e| e.0 > at) {
                let wait = self.changed.wait_timeout(told, Duration::from_secs(1));
                told = wait.unwrap_or_else(PoisonError::into_inner).0;
            }
            if told.cut != cut {
                return stream.shutdown(Shutdown::Both);
            }
            let due: Vec<_> = told.events.iter().filter(|e| e.0 > at).cloned().collect();
            drop(told);
            if due.is_empty() {
                stream.write_all(b":\n\n")?;
            }
            for (rev, text) in due {
                let text = format!("id: {rev}\ndata: {text}\n\n");
                stream.write_all(text.as_bytes())?;
                self.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
                self.events.fetch_add(1, Ordering::Relaxed);
                at = rev;
            }
        }
    }
}

/// A kept connection of a v2 client.
pub struct Caller {
    stream: TcpStream,
}

/// Calls numbered so far: each has an id of its own.
static CALLS: AtomicU64 = AtomicU64::new(0);

impl Caller {
    /// Connects to the v2 front.
    ///
    /// # Errors
    /// No connection comes up.
    pub fn connect(to: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        Ok(Caller { stream })
    }

    /// Calls a function that takes so long to load; the answer's status.
    ///
    /// # Errors
    /// The connection ends before a whole answer.
    pub fn call(&mut self, function: u64, load: Duration) -> std::io::Result<u16> {
        let id = (CALLS.fetch_add(1, Ordering::Relaxed) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let body = format!(
            r#"{{"id":"{id:016x}","parameters":{{"class":"{CLASS}","tenant":"acme","wait_ms":3000,"memory_mb":500,"lanes":4,"load_ms":{}}},"inputs":[]}}"#,
            load.as_millis()
        );
        let text = format!(
            "POST /v2/models/{function:016x}/infer HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())?;
        let (mut got, mut chunk) = (Vec::new(), [0u8; 1024]);
        loop {
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            got.extend_from_slice(&chunk[..n]);
            let text = String::from_utf8_lossy(&got);
            let Some((head, rest)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let named = |l: &str| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length:")?
                    .trim()
                    .parse()
                    .ok()
            };
            let length: usize = head.lines().find_map(named).unwrap_or(0);
            if rest.len() >= length {
                let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok());
                return status.ok_or(std::io::ErrorKind::InvalidData.into());
            }
        }
    }
}
