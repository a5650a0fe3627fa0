//! A scenario file (JSON): how many front ends and workers, the load, and the faults on a timeline.
//!
//! ```json
//! {"name":"storm","seed":7,"seconds":10,"fronts":3,"workers":4,"fleet":true,
//!  "rate_per_s":150,"work_ms":30,"wait_ms":400,"client_attempts":3,
//!  "faults":[{"at_s":3,"kind":"slow","factor":3}]}
//! ```
mod fault;

pub use fault::{Fault, FaultKind};

use miniserde::{json, Deserialize};
use std::collections::BTreeMap;

/// The most front ends: a run is to fit one machine.
pub const MAX_FRONTS: usize = 1024;
/// The most workers: a run is to fit one machine.
pub const MAX_WORKERS: usize = 1024;
/// The longest load, in seconds: a run is to end.
pub const MAX_SECONDS: u64 = 600;
/// The most requests a second.
pub const MAX_RATE: f64 = 5000.0;
/// How often a front end probes a peer where the scenario says nothing, ms.
pub const DEFAULT_PROBE_MS: u64 = 200;
/// After how long a suspect is declared down where the scenario says nothing, ms.
pub const DEFAULT_SUSPECT_MS: u64 = 600;

/// The most attempts of a request.
const MAX_ATTEMPTS: f64 = 10.0;
/// The longest work, wait or suspicion, ms.
const MAX_TIME_MS: f64 = 60_000.0;
/// The shortest probe period and suspicion, ms.
const MIN_GOSSIP_MS: f64 = 10.0;
/// The longest probe period, ms.
const MAX_PROBE_MS: f64 = 10_000.0;
/// The longest time to agree, s.
const MAX_AGREE_S: f64 = 120.0;
/// The largest quota, calls a second.
const MAX_QUOTA: f64 = 1e6;
/// The longest delay of a datagram, ms.
const MAX_DELAY_MS: f64 = 10_000.0;
/// The least and the most that `slow` multiplies by.
const MIN_FACTOR: f64 = 0.01;
const MAX_FACTOR: f64 = 1000.0;
/// What a repeat of a call may do.
const EFFECTS: [&str; 2] = ["retryable", "fragile"];

/// A complete scenario.
#[derive(Deserialize, Clone, Debug)]
pub struct Scenario {
    /// The run's name.
    pub name: String,
    /// Seeds the load's times, the choice of front ends and the faults' dice.
    pub seed: u64,
    /// Length of the load, s.
    pub seconds: u64,
    /// Processes of the program.
    pub fronts: usize,
    /// Stand-in workers.
    pub workers: usize,
    /// Whether the front ends gossip and share budgets (false: each alone, as before the fleet).
    pub fleet: bool,
    /// First attempts a second, all clients together (open loop, Poisson).
    pub rate_per_s: f64,
    /// A worker's time for one call, ms, before `slow`.
    pub work_ms: u64,
    /// The wait each request allows, ms (`wait_ms` of KServe v2 parameters).
    pub wait_ms: u64,
    /// Attempts a client makes of one request, the first included: 500s and 503s are retried
    /// at once on another front end, as a client in a storm does.
    pub client_attempts: u32,
    /// The faults, in any order.
    pub faults: Vec<Fault>,
    /// Calls a second that the tenants' shares allow over all workers (default 100,000: no bound).
    pub quota_per_s: Option<f64>,
    /// How often a front end probes a peer, ms (default 200).
    pub probe_ms: Option<u64>,
    /// After how long a suspect is declared down, ms (default 600).
    pub suspect_ms: Option<u64>,
    /// Within how many seconds after the last fault all front ends that run have to hold the same view of the fleet,
    /// and the right one (default: not looked at).
    pub agree_within_s: Option<f64>,
    /// What a repeat of a call may do: `retryable` (the default) or `fragile`, which must never run twice: clients
    /// retry it after a rejection only, and the run fails if a call reaches workers completely again.
    pub effect: Option<String>,
    /// Whether each front end gets its index and the number of front ends (default: each as if alone).
    pub numbered: Option<bool>,
}

/// Why a scenario cannot be run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not JSON of a scenario's form.
    #[error("not a scenario (see fleetlab's page)")]
    Form,
    /// A figure is out of bounds.
    #[error("'{name}' is {value}, not within {low} to {high}")]
    OutOfBounds {
        /// The key.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The least that is allowed.
        low: f64,
        /// The most that is allowed.
        high: f64,
    },
    /// An effect that there is not.
    #[error("'effect' is {0}, not retryable or fragile")]
    UnknownEffect(String),
    /// A kind of fault that there is not.
    #[error("no fault is called '{0}'")]
    UnknownFault(String),
}

impl Scenario {
    /// Whether a call must never run twice.
    pub fn is_fragile(&self) -> bool {
        self.effect.as_deref() == Some("fragile")
    }

    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// The text is not such JSON, a figure is out of bounds, or a fault names what is not there.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = json::from_str(text).map_err(|_| ScenarioError::Form)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether the figures are within bounds and the faults name what is there.
    ///
    /// # Errors
    /// The first figure or fault that is not.
    pub fn check(&self) -> Result<(), ScenarioError> {
        if let Some(effect) = &self.effect {
            if !EFFECTS.contains(&effect.as_str()) {
                return Err(ScenarioError::UnknownEffect(effect.clone()));
            }
        }
        self.check_figures()?;
        self.faults
            .iter()
            .try_for_each(|fault| self.check_fault(fault))
    }

    fn check_figures(&self) -> Result<(), ScenarioError> {
        let probe_ms = self.probe_ms.unwrap_or(DEFAULT_PROBE_MS) as f64;
        let suspect_ms = self.suspect_ms.unwrap_or(DEFAULT_SUSPECT_MS) as f64;
        let agree_within_s = self.agree_within_s.unwrap_or(0.0);
        let quota_per_s = self.quota_per_s.unwrap_or(0.0);
        within("fronts", self.fronts as f64, 1.0, MAX_FRONTS as f64)?;
        within("workers", self.workers as f64, 1.0, MAX_WORKERS as f64)?;
        within("seconds", self.seconds as f64, 1.0, MAX_SECONDS as f64)?;
        within("rate_per_s", self.rate_per_s, 0.0, MAX_RATE)?;
        let client_attempts = f64::from(self.client_attempts);
        within("client_attempts", client_attempts, 1.0, MAX_ATTEMPTS)?;
        within("work_ms", self.work_ms as f64, 0.0, MAX_TIME_MS)?;
        within("wait_ms", self.wait_ms as f64, 1.0, MAX_TIME_MS)?;
        within("probe_ms", probe_ms, MIN_GOSSIP_MS, MAX_PROBE_MS)?;
        within("suspect_ms", suspect_ms, MIN_GOSSIP_MS, MAX_TIME_MS)?;
        within("agree_within_s", agree_within_s, 0.0, MAX_AGREE_S)?;
        within("quota_per_s", quota_per_s, 0.0, MAX_QUOTA)
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), ScenarioError> {
        within("at_s", fault.at_s, 0.0, self.seconds as f64)?;
        let kind = fault
            .known_kind()
            .ok_or_else(|| ScenarioError::UnknownFault(fault.kind.clone()))?;
        match kind {
            FaultKind::Slow => within(
                "factor",
                fault.factor.unwrap_or(f64::NAN),
                MIN_FACTOR,
                MAX_FACTOR,
            ),
            FaultKind::Partition => {
                let grouped = fault.groups.iter().flat_map(BTreeMap::values).flatten();
                let mut fronts = fault.fronts.iter().flatten().chain(grouped);
                fronts.try_for_each(|&front| self.check_front(Some(front)))
            }
            FaultKind::Cut => {
                self.check_front(fault.from)?;
                self.check_front(fault.to)
            }
            FaultKind::Drop
            | FaultKind::Duplicate
            | FaultKind::Reset
            | FaultKind::Sever
            | FaultKind::Spoil => within("ratio", fault.ratio.unwrap_or(f64::NAN), 0.0, 1.0),
            FaultKind::Delay => {
                let ms = fault.ms.unwrap_or(u64::MAX) as f64;
                within("ms", ms, 0.0, MAX_DELAY_MS)
            }
            FaultKind::Blackhole | FaultKind::Cold => {
                let worker = fault.worker.unwrap_or(usize::MAX) as f64;
                within("worker", worker, 0.0, self.workers as f64 - 1.0)
            }
            FaultKind::Kill
            | FaultKind::Restart
            | FaultKind::Leave
            | FaultKind::Stop
            | FaultKind::Continue
            | FaultKind::Deaf
            | FaultKind::Mute => self.check_front(fault.front),
            FaultKind::Heal => Ok(()),
        }
    }

    fn check_front(&self, front: Option<usize>) -> Result<(), ScenarioError> {
        let front = front.unwrap_or(usize::MAX) as f64;
        within("front", front, 0.0, self.fronts as f64 - 1.0)
    }
}

fn within(name: &'static str, value: f64, low: f64, high: f64) -> Result<(), ScenarioError> {
    if value.is_finite() && (low..=high).contains(&value) {
        return Ok(());
    }
    Err(ScenarioError::OutOfBounds {
        name,
        value,
        low,
        high,
    })
}
