//! Scenario files (JSON): the number of front ends and workers, the load, and the faults with their times.
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

/// Maximum number of front ends: a run must fit on one machine.
pub const MAX_FRONTS: usize = 1024;
/// Maximum number of workers: a run must fit on one machine.
pub const MAX_WORKERS: usize = 1024;
/// Maximum duration of the load in seconds: bounds the duration of a run.
pub const MAX_SECONDS: u64 = 600;
/// Maximum rate of the load in requests per second.
pub const MAX_RATE: f64 = 5000.0;
/// Interval in ms at which a front end probes a peer, where the scenario does not state `probe_ms`.
pub const DEFAULT_PROBE_MS: u64 = 200;
/// Time in ms after which a suspected peer is declared down, where the scenario does not state `suspect_ms`.
pub const DEFAULT_SUSPECT_MS: u64 = 600;

/// Maximum number of attempts of a client's request.
const MAX_ATTEMPTS: f64 = 10.0;
/// Maximum of `work_ms`, `wait_ms` and `suspect_ms`, in ms.
const MAX_TIME_MS: f64 = 60_000.0;
/// Minimum of `probe_ms` and `suspect_ms`, in ms.
const MIN_GOSSIP_MS: f64 = 10.0;
/// Maximum of `probe_ms`, in ms.
const MAX_PROBE_MS: f64 = 10_000.0;
/// Maximum of `agree_within_s`, in seconds.
const MAX_AGREE_S: f64 = 120.0;
/// Maximum of `quota_per_s`, in calls per second.
const MAX_QUOTA: f64 = 1e6;
/// Maximum delay of a datagram, in ms.
const MAX_DELAY_MS: f64 = 10_000.0;
/// Minimum factor of the fault `slow`.
const MIN_FACTOR: f64 = 0.01;
/// Maximum factor of the fault `slow`.
const MAX_FACTOR: f64 = 1000.0;
/// The values of `effect`.
const EFFECTS: [&str; 2] = ["retryable", "fragile"];

/// A scenario. The names of the fields are the keys of the file.
#[derive(Deserialize, Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario, for the report.
    pub name: String,
    /// Seed of the requests' times, of the choice of front ends, and of the random choices of faults.
    pub seed: u64,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Number of front ends, each a wrenseam process.
    pub fronts: usize,
    /// Number of simulated workers.
    pub workers: usize,
    /// Whether the front ends form a fleet: they gossip and share their retry budget. `false`: each runs without peers.
    pub fleet: bool,
    /// Requests per second of all clients together, retries not counted (open loop, Poisson).
    pub rate_per_s: f64,
    /// Time in ms that a worker takes for one call, without the fault `slow`.
    pub work_ms: u64,
    /// Maximum wait that each request allows, in ms (`wait_ms` in its KServe v2 parameters).
    pub wait_ms: u64,
    /// Maximum number of attempts per request, the first one included. An attempt that was not served is retried at
    /// once at a randomly selected front end, as clients do in a retry storm.
    pub client_attempts: u32,
    /// The faults, in any order of their times.
    pub faults: Vec<Fault>,
    /// Quota of the tenant, in calls per second over all workers (default 100,000: in effect no limit).
    pub quota_per_s: Option<f64>,
    /// Interval in ms at which a front end probes a peer (default 200).
    pub probe_ms: Option<u64>,
    /// Time in ms after which a suspected peer is declared down (default 600).
    pub suspect_ms: Option<u64>,
    /// Time limit in seconds, from the last fault, for all running front ends to have the same and correct view of the
    /// fleet; the run fails otherwise (default: not checked).
    pub agree_within_s: Option<f64>,
    /// Effect of the calls' class: `retryable` (the default), or `fragile` for calls that must never run twice. Clients
    /// retry a fragile call only after a rejection, and the run fails if a call reaches a worker completely again
    /// after it may have run.
    pub effect: Option<String>,
    /// Whether the settings of each front end state its index and the number of front ends (default: no index, and one
    /// front end).
    pub numbered: Option<bool>,
}

/// A reason why a scenario is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not JSON, or a key is missing or has a value of the wrong type.
    #[error("not a scenario in JSON (see docs/fleetlab.md)")]
    Malformed,
    /// A value is outside its permitted range.
    #[error("'{name}' is {value}, not within {low} to {high}")]
    OutOfBounds {
        /// Key of the value.
        name: &'static str,
        /// The value; not a number, or the maximum of its type, where a fault lacks it.
        value: f64,
        /// Minimum that is permitted.
        low: f64,
        /// Maximum that is permitted.
        high: f64,
    },
    /// `effect` has an unknown value.
    #[error("'effect' is {0}, not retryable or fragile")]
    UnknownEffect(String),
    /// The `kind` of a fault is unknown.
    #[error("unknown kind of fault: '{0}'")]
    UnknownFaultKind(String),
}

impl Scenario {
    /// Whether the calls must never run twice (`effect` is `fragile`).
    pub fn is_fragile(&self) -> bool {
        self.effect.as_deref() == Some("fragile")
    }

    /// Parses and validates the text of a scenario file.
    ///
    /// # Errors
    /// The text is not a scenario in JSON, or [`Scenario::check`] fails.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = json::from_str(text).map_err(|_| ScenarioError::Malformed)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Validates the scenario: every value is within its range, and faults name existing kinds, front ends and workers.
    ///
    /// # Errors
    /// The first value or fault that is invalid.
    pub fn check(&self) -> Result<(), ScenarioError> {
        if let Some(effect) = &self.effect {
            if !EFFECTS.contains(&effect.as_str()) {
                return Err(ScenarioError::UnknownEffect(effect.clone()));
            }
        }
        self.check_ranges()?;
        self.faults
            .iter()
            .try_for_each(|fault| self.check_fault(fault))
    }

    fn check_ranges(&self) -> Result<(), ScenarioError> {
        let probe_ms = self.probe_ms.unwrap_or(DEFAULT_PROBE_MS) as f64;
        let suspect_ms = self.suspect_ms.unwrap_or(DEFAULT_SUSPECT_MS) as f64;
        let agree_within_s = self.agree_within_s.unwrap_or(0.0);
        let quota_per_s = self.quota_per_s.unwrap_or(0.0);
        check_range("fronts", self.fronts as f64, 1.0, MAX_FRONTS as f64)?;
        check_range("workers", self.workers as f64, 1.0, MAX_WORKERS as f64)?;
        check_range("seconds", self.seconds as f64, 1.0, MAX_SECONDS as f64)?;
        check_range("rate_per_s", self.rate_per_s, 0.0, MAX_RATE)?;
        let client_attempts = f64::from(self.client_attempts);
        check_range("client_attempts", client_attempts, 1.0, MAX_ATTEMPTS)?;
        check_range("work_ms", self.work_ms as f64, 0.0, MAX_TIME_MS)?;
        check_range("wait_ms", self.wait_ms as f64, 1.0, MAX_TIME_MS)?;
        check_range("probe_ms", probe_ms, MIN_GOSSIP_MS, MAX_PROBE_MS)?;
        check_range("suspect_ms", suspect_ms, MIN_GOSSIP_MS, MAX_TIME_MS)?;
        check_range("agree_within_s", agree_within_s, 0.0, MAX_AGREE_S)?;
        check_range("quota_per_s", quota_per_s, 0.0, MAX_QUOTA)
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), ScenarioError> {
        check_range("at_s", fault.at_s, 0.0, self.seconds as f64)?;
        let kind = fault
            .known_kind()
            .ok_or_else(|| ScenarioError::UnknownFaultKind(fault.kind.clone()))?;
        match kind {
            FaultKind::Slow => check_range(
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
            | FaultKind::Spoil => check_range("ratio", fault.ratio.unwrap_or(f64::NAN), 0.0, 1.0),
            FaultKind::Delay => {
                let ms = fault.ms.unwrap_or(u64::MAX) as f64;
                check_range("ms", ms, 0.0, MAX_DELAY_MS)
            }
            FaultKind::Blackhole | FaultKind::Cold => {
                let worker = fault.worker.unwrap_or(usize::MAX) as f64;
                check_range("worker", worker, 0.0, self.workers as f64 - 1.0)
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
        check_range("front", front, 0.0, self.fronts as f64 - 1.0)
    }
}

/// Fails if the value is not finite or outside the range.
fn check_range(name: &'static str, value: f64, low: f64, high: f64) -> Result<(), ScenarioError> {
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
