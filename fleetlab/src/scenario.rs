//! A scenario file (JSON): how many front ends and workers, the load, and the faults on a timeline.
//!
//! ```json
//! {"name":"storm","seed":7,"seconds":10,"fronts":3,"workers":4,"fleet":true,
//!  "rate_per_s":150,"work_ms":30,"wait_ms":400,"client_attempts":3,
//!  "faults":[{"at_s":3,"kind":"slow","factor":3}]}
//! ```
use miniserde::{json, Deserialize};
use std::collections::BTreeMap;

/// Bounds that keep a run on one machine and finite: fronts, workers, seconds, requests a second.
pub const MAX_FRONTS: usize = 1024;
pub const MAX_WORKERS: usize = 1024;
pub const MAX_SECONDS: u64 = 600;
pub const MAX_RATE: f64 = 5000.0;

/// One fault, applied at `at_s` seconds after the load begins.
///
/// Kinds: `slow` (workers take `factor` times as long), `partition` (the gossip of `fronts` is cut from
/// the others', or that of each of the named `groups` from all outside it), `cut` (gossip `from` one front end `to`
/// another is lost, one way), `deaf` and `mute` (no gossip reaches `front`, or leaves it), `heal` (gossip and worker
/// links as at first), `drop` (a `ratio` of datagrams lost),
/// `duplicate` (a `ratio` sent twice), `delay` (datagrams held `ms`), `reset` (a `ratio` of new
/// connections to workers reset), `sever` (at a `ratio` of the chunks that pass a worker connection it is reset), `spoil` (a
/// `ratio` of calls answered twice, refused, or run and not answered for certain), `blackhole` (connections to `worker` accepted and never answered),
/// `kill` and `restart` (of front end `front`), `leave` (SIGTERM, its exit awaited), `stop` and `continue` (SIGSTOP,
/// SIGCONT), `cold` (`worker` has just started: front ends that start from
/// now on are told so, and what reaches it is counted).
#[derive(Deserialize, Clone, Debug)]
pub struct Fault {
    pub at_s: f64,
    pub kind: String,
    pub factor: Option<f64>,
    pub fronts: Option<Vec<usize>>,
    /// Front ends by the name of their group; those in none are a group of their own.
    pub groups: Option<BTreeMap<String, Vec<usize>>>,
    pub from: Option<usize>,
    pub to: Option<usize>,
    pub ratio: Option<f64>,
    pub ms: Option<u64>,
    pub worker: Option<usize>,
    pub front: Option<usize>,
}

/// A whole scenario.
#[derive(Deserialize, Clone, Debug)]
pub struct Scenario {
    pub name: String,
    /// Seeds the load's times, the choice of front ends and the faults' dice.
    pub seed: u64,
    /// Length of the load, s.
    pub seconds: u64,
    pub fronts: usize,
    pub workers: usize,
    /// Whether the front ends gossip and share budgets (false: each alone, as before the fleet).
    pub fleet: bool,
    /// First attempts a second, all gateways together (open loop, Poisson).
    pub rate_per_s: f64,
    /// A worker's time for one call, ms, before `slow`.
    pub work_ms: u64,
    /// The wait each request allows, ms (`wait_ms` of KServe v2 parameters).
    pub wait_ms: u64,
    /// Attempts a stand-in gateway makes of one request, the first included: 500s and 503s are retried
    /// at once on another front end, as a client in a storm does.
    pub client_attempts: u32,
    pub faults: Vec<Fault>,
    /// Calls a second that the tenants' shares allow over all workers (default 100,000: no bound).
    pub quota_per_s: Option<f64>,
    /// How often a front end probes a peer, and after how long a suspect is declared down, ms (default 200 and 600).
    pub probe_ms: Option<u64>,
    pub suspect_ms: Option<u64>,
    /// Within how many seconds after the last fault all front ends that run have to hold the same view of the fleet,
    /// and the right one (default: not looked at).
    pub agree_within_s: Option<f64>,
    /// What a repeat of a call may do: `retryable` (the default) or `fragile`, which must never run twice: gateways
    /// repeat it after a refusal only, and the run fails if a call comes whole to workers again.
    pub effect: Option<String>,
    /// Whether each front end is told how many there are and which it is (default: each as if alone).
    pub numbered: Option<bool>,
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
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let s: Scenario =
            json::from_str(text).map_err(|_| "not a scenario (see fleetlab's page)".to_owned())?;
        s.check()?;
        Ok(s)
    }

    /// Whether the figures are within bounds and the faults name what is there.
    ///
    /// # Errors
    /// The first figure or fault that is not.
    pub fn check(&self) -> Result<(), String> {
        let within = |what: &str, n: f64, low: f64, high: f64| {
            if n.is_finite() && (low..=high).contains(&n) {
                Ok(())
            } else {
                Err(format!("'{what}' is {n}, not within {low} to {high}"))
            }
        };
        if let Some(effect) = self
            .effect
            .as_deref()
            .filter(|e| !["retryable", "fragile"].contains(e))
        {
            return Err(format!("'effect' is {effect}, not retryable or fragile"));
        }
        within("fronts", self.fronts as f64, 1.0, MAX_FRONTS as f64)?;
        within("workers", self.workers as f64, 1.0, MAX_WORKERS as f64)?;
        within("seconds", self.seconds as f64, 1.0, MAX_SECONDS as f64)?;
        within("rate_per_s", self.rate_per_s, 0.0, MAX_RATE)?;
        within(
            "client_attempts",
            f64::from(self.client_attempts),
            1.0,
            10.0,
        )?;
        within("work_ms", self.work_ms as f64, 0.0, 60_000.0)?;
        within("wait_ms", self.wait_ms as f64, 1.0, 60_000.0)?;
        within(
            "probe_ms",
            self.probe_ms.unwrap_or(200) as f64,
            10.0,
            10_000.0,
        )?;
        within(
            "suspect_ms",
            self.suspect_ms.unwrap_or(600) as f64,
            10.0,
            60_000.0,
        )?;
        within(
            "agree_within_s",
            self.agree_within_s.unwrap_or(0.0),
            0.0,
            120.0,
        )?;
        within("quota_per_s", self.quota_per_s.unwrap_or(0.0), 0.0, 1e6)?;
        for f in &self.faults {
            within("at_s", f.at_s, 0.0, self.seconds as f64)?;
            let front = |i: usize| within("front", i as f64, 0.0, self.fronts as f64 - 1.0);
            match f.kind.as_str() {
                "slow" => within("factor", f.factor.unwrap_or(f64::NAN), 0.01, 1000.0)?,
                "partition" => {
                    let grouped = f.groups.iter().flat_map(BTreeMap::values).flatten();
                    f.fronts
                        .iter()
                        .flatten()
                        .chain(grouped)
                        .try_for_each(|&i| front(i))?;
                }
                "cut" => {
                    front(f.from.unwrap_or(usize::MAX))?;
                    front(f.to.unwrap_or(usize::MAX))?;
                }
                "drop" | "duplicate" | "reset" | "sever" | "spoil" => {
                    within("ratio", f.ratio.unwrap_or(f64::NAN), 0.0, 1.0)?
                }
                "delay" => within("ms", f.ms.unwrap_or(u64::MAX) as f64, 0.0, 10_000.0)?,
                "blackhole" | "cold" => within(
                    "worker",
                    f.worker.unwrap_or(usize::MAX) as f64,
                    0.0,
                    self.workers as f64 - 1.0,
                )?,
                "kill" | "restart" | "leave" | "stop" | "continue" | "deaf" | "mute" => {
                    front(f.front.unwrap_or(usize::MAX))?
                }
                "heal" => {}
                other => return Err(format!("no fault is called '{other}'")),
            }
        }
        Ok(())
    }
}
