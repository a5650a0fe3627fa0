//! The faults of a scenario: their kinds, and the fields of the file.
use miniserde::Deserialize;
use std::collections::BTreeMap;

/// The kinds of faults. Names in backquotes are the fields of [`Fault`] that a kind needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// All workers take `factor` times as long for a call.
    Slow,
    /// Gossip between `fronts` and all other front ends is lost, or between each of the named `groups` and all front
    /// ends outside it.
    Partition,
    /// Gossip `from` one front end `to` another is lost, in this direction only.
    Cut,
    /// All gossip to `front` is lost; what it sends arrives.
    Deaf,
    /// All gossip from `front` is lost; what is sent to it arrives.
    Mute,
    /// Ends all faults except `slow`, `cold` and those of processes (`kill`, `leave`, `stop`).
    Heal,
    /// A `ratio` of gossip datagrams is lost.
    Drop,
    /// A `ratio` of gossip datagrams is sent twice.
    Duplicate,
    /// Gossip datagrams are delayed by `ms`; `0` ends the delay.
    Delay,
    /// A `ratio` of new connections to workers is closed at once.
    Reset,
    /// Connections to workers are closed, each at a `ratio` of the chunks of data that are forwarded on it.
    Sever,
    /// A `ratio` of calls is answered incorrectly: twice, with a 503, or not at all (see
    /// [`crate::faults::Reply`]).
    Spoil,
    /// New connections to `worker` are accepted, and nothing is ever answered on them.
    Blackhole,
    /// `worker` counts as started now: the endpoint list states this start time, and the calls that reach it are
    /// recorded.
    Cold,
    /// Front end `front` is killed with SIGKILL.
    Kill,
    /// Front end `front` is started again; no effect if the lab has not ended it.
    Restart,
    /// Front end `front` is shut down with SIGTERM, and the lab waits until it has exited.
    Leave,
    /// Front end `front` is suspended with SIGSTOP.
    Stop,
    /// Front end `front` is resumed with SIGCONT.
    Continue,
}

impl FaultKind {
    /// Returns the kind that a scenario file names so; `None` if the name is unknown.
    pub fn from_name(name: &str) -> Option<FaultKind> {
        let kind = match name {
            "slow" => FaultKind::Slow,
            "partition" => FaultKind::Partition,
            "cut" => FaultKind::Cut,
            "deaf" => FaultKind::Deaf,
            "mute" => FaultKind::Mute,
            "heal" => FaultKind::Heal,
            "drop" => FaultKind::Drop,
            "duplicate" => FaultKind::Duplicate,
            "delay" => FaultKind::Delay,
            "reset" => FaultKind::Reset,
            "sever" => FaultKind::Sever,
            "spoil" => FaultKind::Spoil,
            "blackhole" => FaultKind::Blackhole,
            "cold" => FaultKind::Cold,
            "kill" => FaultKind::Kill,
            "restart" => FaultKind::Restart,
            "leave" => FaultKind::Leave,
            "stop" => FaultKind::Stop,
            "continue" => FaultKind::Continue,
            _ => return None,
        };
        Some(kind)
    }
}

/// A fault of a scenario. [`FaultKind`] says which fields each kind needs; the names of the fields are the keys of the
/// file.
#[derive(Deserialize, Clone, Debug)]
pub struct Fault {
    /// Time at which it is applied, in seconds of the run: from the start of the load, pauses not counted.
    pub at_s: f64,
    /// Name of its kind.
    pub kind: String,
    /// Factor by which the work time of calls is multiplied; 1 ends the slowdown.
    pub factor: Option<f64>,
    /// Indices of the front ends that are partitioned from the others.
    pub fronts: Option<Vec<usize>>,
    /// Indices of front ends by the name of their group; the front ends in no group form one more group.
    pub groups: Option<BTreeMap<String, Vec<usize>>>,
    /// Index of the front end whose datagrams are lost.
    pub from: Option<usize>,
    /// Index of the front end that these datagrams are sent to.
    pub to: Option<usize>,
    /// Fraction of the datagrams, connections, chunks or calls that are affected, 0 to 1.
    pub ratio: Option<f64>,
    /// Delay of datagrams in milliseconds.
    pub ms: Option<u64>,
    /// Index of a worker.
    pub worker: Option<usize>,
    /// Index of a front end.
    pub front: Option<usize>,
}

impl Fault {
    /// Returns the kind; `None` if its name is unknown, which [`super::Scenario::check`] rules out.
    pub fn known_kind(&self) -> Option<FaultKind> {
        FaultKind::from_name(&self.kind)
    }
}
