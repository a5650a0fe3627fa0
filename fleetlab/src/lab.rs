//! Runs a scenario: simulated workers and the front ends' gossip sockets behind relays, the wrenseam processes, the
//! load, and the faults at their times. All of it runs on loopback, and the run ends without intervention.
mod cold;
mod endpoints;
mod front_end;
mod observe;
mod outcome;
mod timeline;

pub use cold::ColdWorker;
pub use outcome::Outcome;

use crate::coroutine::spawn;
use crate::error::LabError;
use crate::faults::Faults;
use crate::load_generator::{self, LoadSettings, Targets};
use crate::metrics::Metrics;
use crate::relay::{self, GossipSockets, RelayCounts, RelaySettings};
use crate::scenario::Scenario;
use crate::worker::{self, WorkerSettings};
use endpoints::ListedWorker;
use front_end::FrontEnd;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

/// Quota of the tenant where the scenario states none, in calls per second: high enough not to limit the load.
const UNBOUNDED_QUOTA: f64 = 100_000.0;
/// Time limit for the front ends to form a fleet; the run fails after it.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time allowed for the load beyond its duration, in seconds.
const LOAD_MARGIN_S: u64 = 60;
/// Stack size of a coroutine in words of 8 bytes: 256 KiB.
const COROUTINE_STACK_WORDS: usize = 0x8000;

/// Whether a thread or coroutine of the lab has panicked: the results then show a fault of the lab, not the behaviour
/// of the front ends, so the run fails.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// State of the lab during a run.
struct Lab {
    scenario: Scenario,
    program: PathBuf,
    folder: PathBuf,
    faults: Arc<RwLock<Faults>>,
    metrics: Arc<Metrics>,
    relay_counts: Arc<Mutex<RelayCounts>>,
    workers: Vec<ListedWorker>,
    fronts: Vec<FrontEnd>,
    /// Addresses at which the front ends accept KServe requests.
    targets: Targets,
    /// Address of each front end's gossip relay, by index.
    gossip_relays: Vec<SocketAddr>,
    gossip_sockets: GossipSockets,
}

/// Runs a scenario with the wrenseam program at `program`. Configuration files and logs are written into `folder`.
///
/// # Errors
/// A port could not be bound, a file not written or a process not started; a front end did not listen, the fleet did
/// not form or did not agree in time, the load did not end, or the lab panicked.
pub fn run(scenario: &Scenario, program: &Path, folder: &Path) -> Result<Outcome, LabError> {
    let folder = create_folder(folder)?;
    record_panics();
    configure_coroutines();
    let mut lab = Lab::new(scenario, program, folder);
    lab.start_workers()?;
    lab.start_gossip_relays()?;
    lab.start_front_ends()?;
    let joined_s = if scenario.fleet {
        Some(lab.wait_until_joined(JOIN_TIMEOUT)?)
    } else {
        None
    };
    let load_ended = lab.start_load();
    lab.run_timeline()?;
    let agreement = lab.wait_until_agreed()?;
    lab.wait_for_load(&load_ended)?;
    if PANICKED.load(Ordering::Acquire) {
        return Err(LabError::Panicked);
    }
    lab.finish(joined_s, agreement)
}

/// Creates the folder of a run and returns its absolute path. The path must be absolute: wrenseam resolves a relative
/// path in a configuration file against the directory of that file.
fn create_folder(folder: &Path) -> Result<PathBuf, LabError> {
    std::fs::create_dir_all(folder)
        .and_then(|()| folder.canonicalize())
        .map_err(LabError::at(folder))
}

/// Installs a panic hook that sets [`PANICKED`] and then calls the previous hook.
fn record_panics() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICKED.store(true, Ordering::Release);
        previous_hook(info);
    }));
}

/// Configures `may` with one scheduler thread that is not pinned to a core. With two threads, a connect could complete
/// on one thread before the other had registered its wait: `may` panicked, and the sockets of that thread, half of all,
/// stopped working. A pinned thread is delayed by whatever else runs on its core.
fn configure_coroutines() {
    may::config()
        .set_workers(1)
        .set_stack_size(COROUTINE_STACK_WORDS);
    may::config().set_worker_pin(false);
}

impl Lab {
    fn new(scenario: &Scenario, program: &Path, folder: PathBuf) -> Lab {
        let faults = Faults::new(scenario.fronts, scenario.workers);
        Lab {
            scenario: scenario.clone(),
            program: program.to_owned(),
            folder,
            faults: Arc::new(RwLock::new(faults)),
            metrics: Arc::new(Metrics::new(scenario.seconds)),
            relay_counts: Arc::default(),
            workers: Vec::new(),
            fronts: Vec::new(),
            targets: Targets::default(),
            gossip_relays: Vec::new(),
            gossip_sockets: Arc::new(RwLock::new(vec![None; scenario.fronts])),
        }
    }

    fn relay_settings(&self) -> RelaySettings {
        RelaySettings {
            faults: self.faults.clone(),
            counts: self.relay_counts.clone(),
        }
    }

    /// Starts the workers, each behind a relay, and writes the endpoint list.
    fn start_workers(&mut self) -> Result<(), LabError> {
        let seed = self.scenario.seed;
        let settings = WorkerSettings {
            work_ms: self.scenario.work_ms,
            seed,
            faults: self.faults.clone(),
            metrics: self.metrics.clone(),
        };
        for index in 0..self.scenario.workers {
            let worker = worker::start(index, settings.clone())?;
            let relay_seed = seed ^ (index as u64) << 8;
            let address =
                relay::start_worker_relay(index, worker, self.relay_settings(), relay_seed)?;
            self.workers.push(ListedWorker {
                address,
                restart: None,
            });
        }
        self.write_endpoints()
    }

    /// Starts a relay in front of each front end's gossip socket.
    fn start_gossip_relays(&mut self) -> Result<(), LabError> {
        for index in 0..self.scenario.fronts {
            let seed = self.scenario.seed ^ (index as u64) << 16;
            let sockets = self.gossip_sockets.clone();
            let address = relay::start_gossip_relay(index, sockets, self.relay_settings(), seed)?;
            self.gossip_relays.push(address);
        }
        Ok(())
    }

    /// Starts the clock and the load. The returned receiver gets a message when the load has ended.
    fn start_load(&self) -> Receiver<()> {
        let scenario = &self.scenario;
        let load = LoadSettings {
            rate_per_s: scenario.rate_per_s,
            seconds: scenario.seconds,
            wait_ms: scenario.wait_ms,
            attempts: scenario.client_attempts,
            seed: scenario.seed,
            fragile: scenario.is_fragile(),
        };
        let targets = self.targets.clone();
        let metrics = self.metrics.clone();
        let (ended, load_ended) = channel();
        self.metrics.clock.resume();
        spawn(move || {
            load_generator::run(load, targets, metrics);
            let _ = ended.send(()); // fails if the lab has ended with an error
        });
        load_ended
    }

    fn wait_for_load(&self, load_ended: &Receiver<()>) -> Result<(), LabError> {
        let within_s = self.scenario.seconds + LOAD_MARGIN_S;
        load_ended
            .recv_timeout(Duration::from_secs(within_s))
            .map_err(|_| LabError::LoadDidNotEnd { within_s })
    }

    /// Returns the tenant's quota, in calls per second over all workers.
    fn quota_per_s(&self) -> f64 {
        self.scenario.quota_per_s.unwrap_or(UNBOUNDED_QUOTA)
    }
}
