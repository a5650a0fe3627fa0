//! A run: stand-in workers behind relays, N processes of the program with their gossip behind relays,
//! the load, and the faults on their timeline. Everything is on loopback and ends by itself.
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

/// Calls a second of the one tenant, where the scenario names none: no bound.
const UNBOUNDED_QUOTA: f64 = 100_000.0;
/// A fleet that does not form within this is given up.
const FORMS_WITHIN: Duration = Duration::from_secs(10);
/// How long the load may take beyond its seconds.
const LOAD_MARGIN_S: u64 = 60;
/// The stack of a coroutine, in words: 256 KiB.
const STACK_WORDS: usize = 0x8000;

/// Whether a thread or coroutine of the lab panicked: the figures then tell of the lab, not of the front ends.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// The lab's state while a run goes on.
struct Lab {
    scenario: Scenario,
    program: PathBuf,
    folder: PathBuf,
    faults: Arc<RwLock<Faults>>,
    metrics: Arc<Metrics>,
    relay_counts: Arc<Mutex<RelayCounts>>,
    workers: Vec<ListedWorker>,
    fronts: Vec<FrontEnd>,
    /// Where each front end accepts clients.
    targets: Targets,
    /// The address of each front end's gossip relay.
    gossip_relays: Vec<SocketAddr>,
    gossip_sockets: GossipSockets,
}

/// Runs a scenario with the program at `program`, writing its files into `folder`.
///
/// # Errors
/// A port, a file or a process could not be had; a front end did not start, the fleet did not form or did not agree, or
/// the load did not end.
pub fn run(scenario: &Scenario, program: &Path, folder: &Path) -> Result<Outcome, LabError> {
    let folder = create_folder(folder)?;
    note_panics();
    configure_coroutines();
    let mut lab = Lab::new(scenario, program, folder);
    lab.start_workers()?;
    lab.start_gossip_relays()?;
    lab.start_front_ends()?;
    let joined_s = if scenario.fleet {
        Some(lab.wait_until_joined(FORMS_WITHIN)?)
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
    lab.end(joined_s, agreement)
}

/// Creates the folder of a run. Its path is absolute from here on: the program looks for the files that its files name
/// beside those.
fn create_folder(folder: &Path) -> Result<PathBuf, LabError> {
    std::fs::create_dir_all(folder)
        .and_then(|()| folder.canonicalize())
        .map_err(LabError::at(folder))
}

/// Notes from now on whether a thread or coroutine panics.
fn note_panics() {
    let hook_before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICKED.store(true, Ordering::Release);
        hook_before(info);
    }));
}

/// One scheduler thread, tied to no core. With two, a connect that one thread waits for could be over in the other
/// before the wait was written down: `may` then panicked, and with that thread half of the sockets were dead. A
/// thread tied to a core waits for whatever else runs there.
fn configure_coroutines() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS);
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

    /// Starts the workers, each behind a relay, and lists them.
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

    /// Starts a relay in front of each front end's gossip.
    fn start_gossip_relays(&mut self) -> Result<(), LabError> {
        for index in 0..self.scenario.fronts {
            let seed = self.scenario.seed ^ (index as u64) << 16;
            let sockets = self.gossip_sockets.clone();
            let address = relay::start_gossip_relay(index, sockets, self.relay_settings(), seed)?;
            self.gossip_relays.push(address);
        }
        Ok(())
    }

    /// Starts the load; what it returns gets a message when the load has ended.
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
            let _ = ended.send(()); // the lab may have ended by an error
        });
        load_ended
    }

    fn wait_for_load(&self, load_ended: &Receiver<()>) -> Result<(), LabError> {
        let within_s = self.scenario.seconds + LOAD_MARGIN_S;
        load_ended
            .recv_timeout(Duration::from_secs(within_s))
            .map_err(|_| LabError::LoadDidNotEnd { within_s })
    }

    /// Calls a second that the tenant's quota allows over all workers.
    fn quota_per_s(&self) -> f64 {
        self.scenario.quota_per_s.unwrap_or(UNBOUNDED_QUOTA)
    }
}
