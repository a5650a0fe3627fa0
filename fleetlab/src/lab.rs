//! A run: stand-in workers behind relays, N processes of the program with their gossip behind relays,
//! the gateways' load, and the faults on their timeline. Everything is on loopback and ends by itself.
use crate::faults::Faults;
use crate::gateway::{self, Load};
use crate::process::{follow, Process};
use crate::proxy::{self, Done, Real};
use crate::scenario::{Fault, Scenario};
use crate::tally::Tally;
use crate::views::{declared_down, figure, fleet_figures, until_agreed, Agreed, Figures};
use crate::worker::{self, go};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
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

/// A front end that has not ended so long after SIGTERM is given up.
const LEAVES: Duration = Duration::from_secs(10);

/// Whether a thread or coroutine of the lab panicked: the figures then tell of the lab, not of the front ends.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// The settings every front end of the lab is given: the classes the gateways use, one tenant.
const SETTINGS: &str = r#"{"balancers":$FRONTS,$INDEX"classes":[
 {"effect":"$EFFECT","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":$QUOTA}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// One process of the program.
struct Front {
    child: Process,
    admin: SocketAddr,
    kserve: SocketAddr,
    /// Its gossip socket, kept across a restart.
    gossip: Option<SocketAddr>,
}

/// A front end that has been started, and the lines of its log.
struct Starting {
    f: usize,
    child: Process,
    lines: Receiver<String>,
}

/// What a run leaves: the tally, each front end's fleet figures at the end, the relays' work.
pub struct Outcome {
    pub tally: Arc<Tally>,
    /// Per front end: (name, value) of its `app.fleet.*` figures read at the end of the load.
    pub figures: Vec<Figures>,
    pub done: Done,
    /// Front ends that ended by themselves, not by a `kill`.
    pub died: Vec<usize>,
    /// Per worker started anew: the most that any second brought it, as a part of what the rule allows.
    pub cold: Vec<(usize, f64)>,
    /// When all front ends agreed after the last fault, where the scenario asks for it.
    pub agreed: Option<Agreed>,
    /// Log lines in which a front end was declared down that was never in trouble itself.
    pub wronged: Vec<String>,
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
        let at = worker::start(w, s.work_ms, s.seed, faults.clone(), tally.clone()).map_err(io)?;
        links.push(
            proxy::link(
                w,
                at,
                faults.clone(),
                s.seed ^ (w as u64) << 8,
                done.clone(),
            )
            .map_err(io)?,
        );
    }
    let real: Real = Arc::new(RwLock::new(vec![None; s.fronts]));
    let mut relays = Vec::new();
    for f in 0..s.fronts {
        let seed = s.seed ^ (f as u64) << 16;
        relays
            .push(proxy::gossip(f, real.clone(), faults.clone(), seed, done.clone()).map_err(io)?);
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
    let joined_s = if s.fleet {
        Some(lab.joined(Duration::from_secs(10))?)
    } else {
        None
    };
    let kserve = Arc::new(RwLock::new(
        lab.fronts.iter().map(|f| f.kserve).collect::<Vec<_>>(),
    ));
    let load = Load {
        rate_per_s: s.rate_per_s,
        seconds: s.seconds,
        wait_ms: s.wait_ms,
        attempts: s.client_attempts,
        seed: s.seed,
        fragile: s.is_fragile(),
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
        let with_it =
            |o: &&Fault| o.kind == fault.kind && o.kind == "restart" && o.at_s == fault.at_s;
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
            "leave" => {
                for f in fronts {
                    lab.fronts[f].child.leave(LEAVES)?;
                    killed[f] = true;
                }
            }
            "stop" => lab.signal(&fronts, Signal::SIGSTOP)?,
            "continue" => lab.signal(&fronts, Signal::SIGCONT)?,
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
                    let unix = SystemTime::now()
                        .duration_since(UNIX_EPOCH)
                        .map_or(0, |d| d.as_millis());
                    lab.started[w] = Some((tally.clock.real_s(), unix));
                    lab.list()?;
                }
            }
        }
    }
    let last_fault = Instant::now();
    let agreed = match s.agree_within_s {
        Some(within) => Some(until_agreed(
            &lab.running(),
            last_fault,
            Duration::from_secs_f64(within),
        )?),
        None => None,
    };
    let within = Duration::from_secs(s.seconds + 60);
    driving
        .recv_timeout(within)
        .map_err(|_| format!("the load did not end in {} s", within.as_secs()))?;
    if PANICKED.load(Ordering::Acquire) {
        return Err("a thread of the lab panicked: what it carried is lost".to_owned());
    }
    let mut figures = Vec::new();
    for (f, front) in lab.fronts.iter_mut().enumerate() {
        let alive = front.child.runs();
        if !alive && !killed[f] {
            died.push(f);
        }
        figures.push(if alive {
            fleet_figures(front.admin)
        } else {
            Vec::new()
        });
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
    let started = lab
        .started
        .iter()
        .enumerate()
        .filter_map(|(w, at)| at.map(|at| (w, at.0)));
    let cold = started
        .map(|(w, at)| (w, tally.worst(w, at, allowed)))
        .collect();
    let wronged = lab.wronged()?;
    Ok(Outcome {
        tally,
        figures,
        done,
        died,
        cold,
        agreed,
        wronged,
        joined_s,
    })
}

impl Lab {
    /// Where front end `f`'s log goes.
    fn log(&self, f: usize) -> PathBuf {
        self.folder.join(format!("front-{f}.log"))
    }

    /// Sends a signal to these front ends.
    fn signal(&self, fronts: &[usize], signal: Signal) -> Result<(), String> {
        fronts
            .iter()
            .try_for_each(|&f| self.fronts[f].child.signal(signal))
    }

    /// The front ends that run, and where each tells its figures.
    fn running(&self) -> Vec<(usize, SocketAddr)> {
        let held = self
            .fronts
            .iter()
            .enumerate()
            .filter(|(_, front)| front.child.is_held());
        held.map(|(f, front)| (f, front.admin)).collect()
    }

    /// Log lines that declare a front end down of which no fault is told: it ran, heard and was heard all the time.
    fn wronged(&self) -> Result<Vec<String>, String> {
        let faults = &self.scenario.faults;
        let of_one = faults
            .iter()
            .flat_map(|fault| [fault.front, fault.from, fault.to])
            .flatten();
        let of_parts = faults.iter().filter(|fault| fault.kind == "partition");
        if of_parts.count() > 0 {
            return Ok(Vec::new()); // all were cut from some
        }
        let troubled: Vec<usize> = of_one.collect();
        let sound = (0..self.fronts.len()).filter(|f| !troubled.contains(f));
        let peers: Vec<SocketAddr> = sound.map(|f| self.relays[f]).collect();
        let logs: Vec<PathBuf> = (0..self.fronts.len()).map(|f| self.log(f)).collect();
        declared_down(&logs, &peers)
    }

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
        let index = if numbered {
            format!("\"index\":{f},")
        } else {
            String::new()
        };
        SETTINGS
            .replace(
                "$FRONTS",
                &(if numbered { s.fronts } else { 1 }).to_string(),
            )
            .replace("$INDEX", &index)
            .replace("$EFFECT", s.effect.as_deref().unwrap_or("retryable"))
            .replace("$QUOTA", &s.quota_per_s.unwrap_or(QUOTA).to_string())
    }

    /// Starts those of these front ends that do not run, all at once, joining by way of one that does.
    fn restart(&self, fronts: &[usize]) -> Result<Vec<(usize, Front)>, String> {
        let runs = |&o: &usize| self.fronts[o].child.is_held();
        let by = (0..self.fronts.len()).find(runs);
        let starting = fronts
            .iter()
            .filter(|f| !runs(f))
            .map(|&f| self.launch(f, by));
        let starting = starting.collect::<Result<Vec<_>, _>>()?;
        starting
            .into_iter()
            .map(|s| Ok((s.f, self.stands(s)?)))
            .collect()
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
            format!(
                r#"{{"listen":"127.0.0.1:0","endpoints":"{}"}}"#,
                self.endpoints.display()
            ),
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
            let seed = by
                .or((f > 0).then_some(0))
                .map(|b| format!(r#""{}""#, self.relays[b]));
            let listen = known.map_or("127.0.0.1:0".to_owned(), |a| a.to_string());
            let fleet = write(
                format!("fleet-{f}.json"),
                format!(
                    r#"{{"listen":"{listen}","advertise":"{}","seeds":[{}],"cluster":"lab","expected":{},"probe_ms":{},"suspect_ms":{},"capacity":64,"shed_order":["tile-render"]}}"#,
                    self.relays[f],
                    seed.unwrap_or_default(),
                    s.fronts,
                    s.probe_ms.unwrap_or(200),
                    s.suspect_ms.unwrap_or(600),
                ),
            )?;
            command.env("WRENSEAM_FLEET", fleet);
        }
        let mut child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        let log = child.stderr.take().ok_or("no log")?;
        let lines = follow(log, self.log(f));
        Ok(Starting {
            f,
            child: Process::new(child),
            lines,
        })
    }

    /// Waits until a front end listens everywhere.
    fn stands(&self, starting: Starting) -> Result<Front, String> {
        let Starting { f, child, lines } = starting;
        let (mut admin, mut front, mut gossip) = (None, None, None);
        let mut last_line = "nothing".to_owned();
        while admin.is_none() || front.is_none() || (self.scenario.fleet && gossip.is_none()) {
            let line = lines.recv_timeout(LISTENS).map_err(|e| match e {
                RecvTimeoutError::Timeout => {
                    format!(
                        "front end {f} says nothing and does not listen; it said last: {last_line}"
                    )
                }
                RecvTimeoutError::Disconnected => {
                    format!("front end {f} ended before it listened; it said last: {last_line}")
                }
            })?;
            let address = || {
                line.rsplit_once(" listens on ")
                    .and_then(|(_, a)| a.parse().ok())
            };
            if line.contains("the operators' door listens on") {
                admin = address();
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
        Ok(Front {
            child,
            admin: admin.ok_or("no admin listener")?,
            kserve: front.ok_or("no front")?,
            gossip,
        })
    }

    /// Waits until every front end counts all others alive; how long it took, s.
    fn joined(&self, within: Duration) -> Result<f64, String> {
        let since = Instant::now();
        let want = self.fronts.len() as u64 - 1;
        loop {
            let counts = self
                .fronts
                .iter()
                .map(|f| figure(&fleet_figures(f.admin), "peers"));
            let counts: Vec<Option<u64>> = counts.collect();
            if counts.iter().all(|&c| c == Some(want)) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > within {
                return Err(format!(
                    "the fleet did not form in {} s: {counts:?} peers",
                    within.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
