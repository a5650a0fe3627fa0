//! A run: stand-in workers behind relays, N processes of the program with their gossip behind relays,
//! the gateways' load, and the faults on their timeline. Everything is on loopback and ends by itself.
use crate::faults::Faults;
use crate::gateway::{self, Load};
use crate::proxy::{self, Done, Real};
use crate::scenario::{Fault, Scenario};
use crate::tally::Tally;
use crate::worker::{self, go};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Calls a second of the one tenant, where the scenario names none: no bound.
const QUOTA: f64 = 100_000.0;

/// What a cold worker of the lab can do for certain, and when it is warm: as in the settings below, s.
const COLD: (f64, f64, f64) = (0.2, 17.0, 2.0);

/// A front end that writes nothing for so long before it listens is given up, as a fleet that does not form.
const LISTENS: Duration = Duration::from_secs(10);

/// Whether a thread or coroutine of the lab panicked: the figures then tell of the lab, not of the front ends.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// The settings every front end of the lab is given: the classes the gateways use, one tenant.
const SETTINGS: &str = r#"{"balancers":$FRONTS,$INDEX"classes":[
 {"effect":"retryable","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":$QUOTA}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// One process of the program.
struct Front {
    child: Ended,
    door: SocketAddr,
    kserve: SocketAddr,
    /// Its gossip socket, kept across a restart.
    gossip: Option<SocketAddr>,
}

/// A front end that has been started, and the lines of its log.
struct Starting {
    f: usize,
    child: Ended,
    lines: Receiver<String>,
}

/// A child that ends with whoever holds it.
struct Ended(Option<Child>);

impl Drop for Ended {
    /// Whoever waits for the lab's output would else wait for what it leaves running, should it end by an error.
    fn drop(&mut self) {
        self.end();
    }
}

impl Ended {
    fn end(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill(); // it may have ended already
            let _ = child.wait();
        }
    }
}

/// Copies a process's log into a file, so that its pipe never fills, and hands on each line for as long as anybody
/// listens; a thread, for a pipe blocks and is no socket of may's.
fn follow(log: ChildStderr, file: PathBuf) -> Receiver<String> {
    let (told, lines) = channel();
    std::thread::spawn(move || {
        let Ok(mut out) = std::fs::OpenOptions::new().create(true).append(true).open(file) else { return };
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = writeln!(out, "{line}");
            let _ = told.send(line); // nobody listens any more once it stands
        }
    });
    lines
}

/// What a run leaves: the tally, each front end's fleet figures at the end, the relays' work.
pub struct Outcome {
    pub tally: Arc<Tally>,
    /// Per front end: (name, value) of its `app.fleet.*` figures read at the end of the load.
    pub figures: Vec<Vec<(String, u64)>>,
    pub done: Done,
    /// Front ends that ended by themselves, not by a `kill`.
    pub died: Vec<usize>,
    /// Per worker started anew: the most that any second brought it, as a part of what the rule allows.
    pub cold: Vec<(usize, f64)>,
    /// Seconds until every front end counted all others alive, before the load (None: fleet off).
    pub joined_s: Option<f64>,
}

/// The lab's whole state while a run goes on.
struct Lab {
    scenario: Scenario,
    program: PathBuf,
    folder: PathBuf,
    fronts: Vec<Front>,
    relays: Vec<SocketAddr>,
    real: Real,
    endpoints: PathBuf,
    /// The workers' addresses, and when each started anew: real s of the run and Unix ms.
    links: Vec<SocketAddr>,
    started: Vec<Option<(f64, u128)>>,
}

/// Runs a scenario with the program at `program`, writing its files into `folder`.
///
/// # Errors
/// A port, a file or a process could not be had; a front end did not start.
pub fn run(scenario: &Scenario, program: &Path, folder: &Path) -> Result<Outcome, String> {
    // Absolute from here on: the program looks for the files that its files name beside those.
    let folder = &std::fs::create_dir_all(folder)
        .and_then(|()| folder.canonicalize())
        .map_err(|e| format!("{}: {e}", folder.display()))?;
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |why| {
        PANICKED.store(true, Ordering::Release);
        before(why);
    }));
    // With two, a connect that one thread waits for could be over in the other before the wait was written down: `may`
    // then panicked, and with that thread half of the sockets were dead.
    may::config().set_workers(1).set_stack_size(0x8000);
    may::config().set_worker_pin(false); // a thread tied to a core waits for whatever else runs there
    let s = scenario.clone();
    let faults = Arc::new(RwLock::new(Faults::new(s.fronts, s.workers)));
    let tally = Arc::new(Tally::new(s.seconds));
    let done = Arc::new(Mutex::new(Done::default()));
    let io = |e: std::io::Error| e.to_string();
    let mut links = Vec::new();
    for w in 0..s.workers {
        let at = worker::start(w, s.work_ms, faults.clone(), tally.clone()).map_err(io)?;
        links.push(proxy::link(w, at, faults.clone(), s.seed ^ (w as u64) << 8, done.clone()).map_err(io)?);
    }
    let real: Real = Arc::new(RwLock::new(vec![None; s.fronts]));
    let mut relays = Vec::new();
    for f in 0..s.fronts {
        let seed = s.seed ^ (f as u64) << 16;
        relays.push(proxy::gossip(f, real.clone(), faults.clone(), seed, done.clone()).map_err(io)?);
    }
    let endpoints = folder.join("endpoints.json");
    let mut lab = Lab {
        scenario: s.clone(),
        program: program.to_owned(),
        folder: folder.to_owned(),
        fronts: Vec::new(),
        relays,
        real,
        endpoints,
        started: vec![None; links.len()],
        links,
    };
    lab.list()?;
    for f in 0..s.fronts {
        let front = lab.stands(lab.launch(f, None)?)?;
        lab.fronts.push(front);
    }
    let joined_s = if s.fleet { Some(lab.joined(Duration::from_secs(10))?) } else { None };
    let kserve = Arc::new(RwLock::new(lab.fronts.iter().map(|f| f.kserve).collect::<Vec<_>>()));
    let load = Load {
        rate_per_s: s.rate_per_s,
        seconds: s.seconds,
        wait_ms: s.wait_ms,
        attempts: s.client_attempts,
        seed: s.seed,
    };
    let (ended, driving) = channel();
    let (k, t) = (kserve.clone(), tally.clone());
    tally.clock.go_on();
    go(move || {
        gateway::drive(load, k, t);
        let _ = ended.send(());
    });
    // The faults' timeline, on this thread; kills and restarts are of processes, the rest of links.
    let mut timeline = s.faults.clone();
    timeline.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut died = Vec::new();
    let mut killed = vec![false; s.fronts];
    let mut ahead = &timeline[..];
    while let Some(fault) = ahead.first() {
        while tally.clock.now().0 < fault.at_s {
            std::thread::sleep(Duration::from_millis(5));
        }
        eprintln!("lab: {:.2} s: {}", tally.clock.now().0, fault.kind);
        let with_it = |o: &&Fault| o.kind == fault.kind && o.kind == "restart" && o.at_s == fault.at_s;
        let together = ahead.iter().take_while(with_it).count().max(1);
        let fronts: Vec<usize> = ahead[..together].iter().filter_map(|o| o.front).collect();
        ahead = &ahead[together..];
        match fault.kind.as_str() {
            "kill" => {
                for f in fronts {
                    lab.fronts[f].child.end();
                    killed[f] = true;
                }
            }
            "restart" => {
                for (f, front) in tally.clock.held(|| lab.restart(&fronts))? {
                    kserve.write().map_err(|_| "poisoned")?[f] = front.kserve;
                    lab.fronts[f] = front;
                    killed[f] = false;
                }
            }
            _ => {
                faults.write().map_err(|_| "poisoned")?.apply(fault);
                if let ("cold", Some(w)) = (fault.kind.as_str(), fault.worker) {
                    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
                    lab.started[w] = Some((tally.clock.real_s(), unix));
                    lab.list()?;
                }
            }
        }
    }
    let within = Duration::from_secs(s.seconds + 60);
    driving.recv_timeout(within).map_err(|_| format!("the load did not end in {} s", within.as_secs()))?;
    if PANICKED.load(Ordering::Acquire) {
        return Err("a thread of the lab panicked: what it carried is lost".to_owned());
    }
    let mut figures = Vec::new();
    for (f, front) in lab.fronts.iter_mut().enumerate() {
        let alive = front.child.0.as_mut().is_some_and(|c| c.try_wait().ok().flatten().is_none());
        if !alive && !killed[f] {
            died.push(f);
        }
        figures.push(if alive { fleet_figures(front.door) } else { Vec::new() });
    }
    for front in &mut lab.fronts {
        front.child.end();
    }
    let done = std::mem::take(&mut *done.lock().map_err(|_| "poisoned")?);
    let quota = s.quota_per_s.unwrap_or(QUOTA) / s.workers as f64;
    let allowed = |age: f64| match age {
        age if age >= COLD.1 => f64::INFINITY, // it is warm, and there is no rule any more
        age => COLD.2 * (COLD.0 + (1.0 - COLD.0) * (age / COLD.1).max(0.0)) * quota,
    };
    let started = lab.started.iter().enumerate().filter_map(|(w, at)| at.map(|at| (w, at.0)));
    let cold = started.map(|(w, at)| (w, tally.worst(w, at, allowed))).collect();
    Ok(Outcome { tally, figures, done, died, cold, joined_s })
}

impl Lab {
    /// Writes the list of workers, each with its start where it has started anew.
    fn list(&self) -> Result<(), String> {
        let localities: Vec<String> = self
            .links
            .iter()
            .zip(&self.started)
            .enumerate()
            .map(|(w, (a, started))| {
                let hall = if w % 2 == 0 { "hall-a" } else { "hall-b" };
                let started = started.map_or(0, |s| s.1);
                format!(
                    r#"{{"locality":{{"zone":"{hall}"}},"lb_endpoints":[{{"metadata":{{"filter_metadata":{{"wrenseam":{{"started_at_ms":{started}}}}}}},"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{}}}}}}}}}]}}"#,
                    a.port()
                )
            })
            .collect();
        let text = format!(
            r#"{{"resources":[{{"cluster_name":"lab-workers","endpoints":[{}]}}]}}"#,
            localities.join(",")
        );
        std::fs::write(&self.endpoints, text).map_err(|e| e.to_string())
    }

    /// The settings of a front end, by the scenario.
    fn settings(&self, f: usize) -> String {
        let s = &self.scenario;
        let numbered = s.numbered.unwrap_or(false);
        let index = if numbered { format!("\"index\":{f},") } else { String::new() };
        SETTINGS
            .replace("$FRONTS", &(if numbered { s.fronts } else { 1 }).to_string())
            .replace("$INDEX", &index)
            .replace("$QUOTA", &s.quota_per_s.unwrap_or(QUOTA).to_string())
    }

    /// Starts those of these front ends that do not run, all at once, joining by way of one that does.
    fn restart(&self, fronts: &[usize]) -> Result<Vec<(usize, Front)>, String> {
        let runs = |&o: &usize| self.fronts[o].child.0.is_some();
        let by = (0..self.fronts.len()).find(runs);
        let starting = fronts.iter().filter(|f| !runs(f)).map(|&f| self.launch(f, by));
        let starting = starting.collect::<Result<Vec<_>, _>>()?;
        starting.into_iter().map(|s| Ok((s.f, self.stands(s)?))).collect()
    }

    /// Starts front end `f`, joining by way of `by`'s relay (else the first's, unless it is the first).
    fn launch(&self, f: usize, by: Option<usize>) -> Result<Starting, String> {
        let s = &self.scenario;
        let write = |name: String, text: String| -> Result<PathBuf, String> {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map_err(|e| e.to_string())?;
            Ok(path)
        };
        let config = write(
            format!("config-{f}.json"),
            format!(
                r#"{{"name":"lab{f}","seed":"{:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":1024}},"settings":{},"known":{{"rev":0,"notices":[]}}}}"#,
                s.seed.wrapping_add(f as u64),
                self.settings(f)
            ),
        )?;
        let kserve = write(
            format!("kserve-{f}.json"),
            format!(r#"{{"listen":"127.0.0.1:0","endpoints":"{}"}}"#, self.endpoints.display()),
        )?;
        let tmp = self.folder.join(format!("tmp-{f}"));
        std::fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &tmp)
            .env("WRENSEAM_KSERVE", &kserve)
            .stderr(Stdio::piped());
        let known = self.fronts.get(f).and_then(|old| old.gossip);
        if s.fleet {
            let seed = by.or((f > 0).then_some(0)).map(|b| format!(r#""{}""#, self.relays[b]));
            let listen = known.map_or("127.0.0.1:0".to_owned(), |a| a.to_string());
            let fleet = write(
                format!("fleet-{f}.json"),
                format!(
                    r#"{{"listen":"{listen}","advertise":"{}","seeds":[{}],"cluster":"lab","expected":{},"probe_ms":200,"suspect_ms":600,"capacity":64,"shed_order":["tile-render"]}}"#,
                    self.relays[f],
                    seed.unwrap_or_default(),
                    s.fronts
                ),
            )?;
            command.env("WRENSEAM_FLEET", fleet);
        }
        let mut child = Ended(Some(command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?));
        let log = child.0.as_mut().and_then(|c| c.stderr.take()).ok_or("no log")?;
        let lines = follow(log, self.folder.join(format!("front-{f}.log")));
        Ok(Starting { f, child, lines })
    }

    /// Waits until a front end listens everywhere.
    fn stands(&self, starting: Starting) -> Result<Front, String> {
        let Starting { f, child, lines } = starting;
        let (mut door, mut front, mut gossip) = (None, None, None);
        let mut last_line = "nothing".to_owned();
        while door.is_none() || front.is_none() || (self.scenario.fleet && gossip.is_none()) {
            let line = lines.recv_timeout(LISTENS).map_err(|e| match e {
                RecvTimeoutError::Timeout => {
                    format!("front end {f} says nothing and does not listen; it said last: {last_line}")
                }
                RecvTimeoutError::Disconnected => {
                    format!("front end {f} ended before it listened; it said last: {last_line}")
                }
            })?;
            let address = || line.rsplit_once(" listens on ").and_then(|(_, a)| a.parse().ok());
            if line.contains("the operators' door listens on") {
                door = address();
            } else if line.contains("KServe v2 listens on") {
                front = address();
            } else if line.contains("gossip listens on") {
                gossip = address();
            }
            last_line = line;
        }
        if let Some(g) = gossip {
            self.real.write().map_err(|_| "poisoned")?[f] = Some(g);
        }
        Ok(Front { child, door: door.ok_or("no door")?, kserve: front.ok_or("no front")?, gossip })
    }

    /// Waits until every front end counts all others alive; how long it took, s.
    fn joined(&self, within: Duration) -> Result<f64, String> {
        let since = Instant::now();
        let want = self.fronts.len() as u64 - 1;
        loop {
            let counts = self.fronts.iter().map(|f| figure(&fleet_figures(f.door), "peers"));
            let counts: Vec<Option<u64>> = counts.collect();
            if counts.iter().all(|&c| c == Some(want)) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > within {
                return Err(format!("the fleet did not form in {} s: {counts:?} peers", within.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A figure by its short name (`peers` for `app.fleet.peers`).
pub fn figure(figures: &[(String, u64)], name: &str) -> Option<u64> {
    figures.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
}

/// The `app.fleet.*` figures at a front end's door, and its `app.requests`-like totals kept as named.
fn fleet_figures(door: SocketAddr) -> Vec<(String, u64)> {
    let Ok(mut stream) = TcpStream::connect_timeout(&door, Duration::from_secs(1)) else {
        return Vec::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = stream.write_all(b"telemetry\n");
    let mut told = String::new();
    let mut chunk = [0u8; 4096];
    while !told.contains("END") {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => told.push_str(&String::from_utf8_lossy(&chunk[..n])),
            _ => break,
        }
    }
    told.lines()
        .filter_map(|l| {
            let (name, rest) = l.strip_prefix("app.fleet.")?.split_once(':')?;
            Some((name.to_owned(), rest.split('|').next()?.parse().ok()?))
        })
        .collect()
}
