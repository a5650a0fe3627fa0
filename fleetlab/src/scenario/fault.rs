//! The faults of a scenario.
use miniserde::Deserialize;
use std::collections::BTreeMap;

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Workers take `factor` times as long.
    Slow,
    /// The gossip of `fronts` is cut from the others', or that of each of the named `groups` from all outside it.
    Partition,
    /// Gossip `from` one front end `to` another is lost, one way.
    Cut,
    /// No gossip reaches `front`.
    Deaf,
    /// No gossip leaves `front`.
    Mute,
    /// Gossip and worker links are as at first.
    Heal,
    /// A `ratio` of datagrams is lost.
    Drop,
    /// A `ratio` of datagrams is sent twice.
    Duplicate,
    /// Datagrams are delayed by `ms`.
    Delay,
    /// A `ratio` of new connections to workers is reset.
    Reset,
    /// At a `ratio` of the chunks that pass a worker connection it is reset.
    Sever,
    /// A `ratio` of calls is answered twice, rejected, or run and not answered for certain.
    Spoil,
    /// Connections to `worker` are accepted and never answered.
    Blackhole,
    /// `worker` has just started: front ends that start from now on get its start time, and what reaches it is counted.
    Cold,
    /// Front end `front` is ended by SIGKILL.
    Kill,
    /// Front end `front` is started again.
    Restart,
    /// Front end `front` is ended by SIGTERM, its exit awaited.
    Leave,
    /// Front end `front` gets SIGSTOP.
    Stop,
    /// Front end `front` gets SIGCONT.
    Continue,
}

impl FaultKind {
    /// The kind of this name in a scenario file.
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

/// One fault, applied at `at_s` seconds after the load begins. Which fields a kind needs is said at [`FaultKind`].
#[derive(Deserialize, Clone, Debug)]
pub struct Fault {
    /// When, in seconds of the run.
    pub at_s: f64,
    /// The name of its kind.
    pub kind: String,
    /// How many times as long work takes.
    pub factor: Option<f64>,
    /// Several front ends.
    pub fronts: Option<Vec<usize>>,
    /// Front ends by the name of their group; those in none are a group of their own.
    pub groups: Option<BTreeMap<String, Vec<usize>>>,
    /// The front end whose gossip is cut.
    pub from: Option<usize>,
    /// The front end that it does not reach.
    pub to: Option<usize>,
    /// The part of datagrams, connections, chunks or calls, 0 to 1.
    pub ratio: Option<f64>,
    /// Milliseconds.
    pub ms: Option<u64>,
    /// One worker.
    pub worker: Option<usize>,
    /// One front end.
    pub front: Option<usize>,
}

impl Fault {
    /// Its kind, if there is one of its name: a scenario that was checked has no others.
    pub fn known_kind(&self) -> Option<FaultKind> {
        FaultKind::from_name(&self.kind)
    }
}
