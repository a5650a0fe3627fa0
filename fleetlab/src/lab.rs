//! A run: stand-in workers behind relays, N processes of the program with their gossip behind relays,
//! the gateways' load, and the faults on their timeline. Everything is on loopback and ends by itself.
mod endpoints;
mod front_end;
mod observe;
mod outcome;

pub use outcome::Outcome;

use crate::coroutine::spawn;
use crate::faults::Faults;
use crate::fleet_view::{fleet_figures, until_agreed};
use crate::load_generator::{self, LoadSettings};
use crate::metrics::Metrics;
use crate::relay::{self, Real, RelayCounts};
use crate::scenario::{Fault, Scenario};
use crate::worker;
use front_end::Front;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Calls a second of the one tenant, where the scenario names none: no bound.
const QUOTA: f64 = 100_000.0;

/// What a cold worker of the lab can do for certain, and when it is warm: as in the settings below, s.
const COLD: (f64, f64, f64) = (0.2, 17.0, 2.0);

/// A front end that has not ended so long after SIGTERM is given up.
const LEAVES: Duration = Duration::from_secs(10);

/// Whether a thread or coroutine of the lab panicked: the figures then tell of the lab, not of the front ends.
static PANICKED: AtomicBool = AtomicBool::new(false);

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
    let metrics = Arc::new(Metrics::new(s.seconds));
    let done = Arc::new(Mutex::new(RelayCounts::default()));
    let io = |e: std::io::Error| e.to_string();
    let mut links = Vec::new();
    for w in 0..s.workers {
        let at =
            worker::start(w, s.work_ms, s.seed, faults.clone(), metrics.clone()).map_err(io)?;
        links.push(
            relay::link(
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
            .push(relay::gossip(f, real.clone(), faults.clone(), seed, done.clone()).map_err(io)?);
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
    let load = LoadSettings {
        rate_per_s: s.rate_per_s,
        seconds: s.seconds,
        wait_ms: s.wait_ms,
        attempts: s.client_attempts,
        seed: s.seed,
        fragile: s.is_fragile(),
    };
    let (ended, driving) = channel();
    let (k, t) = (kserve.clone(), metrics.clone());
    metrics.clock.go_on();
    spawn(move || {
        load_generator::drive(load, k, t);
        let _ = ended.send(());
    });
    // The faults' timeline, on this thread; kills and restarts are of processes, the rest of links.
    let mut timeline = s.faults.clone();
    timeline.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut died = Vec::new();
    let mut killed = vec![false; s.fronts];
    let mut ahead = &timeline[..];
    while let Some(fault) = ahead.first() {
        while metrics.clock.now().0 < fault.at_s {
            std::thread::sleep(Duration::from_millis(5));
        }
        eprintln!("lab: {:.2} s: {}", metrics.clock.now().0, fault.kind);
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
                for (f, front) in metrics.clock.held(|| lab.restart(&fronts))? {
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
                    lab.started[w] = Some((metrics.clock.real_s(), unix));
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
        .map(|(w, at)| (w, metrics.worst(w, at, allowed)))
        .collect();
    let wronged = lab.wronged()?;
    Ok(Outcome {
        metrics,
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
}
