//! Decides what the relays do with each datagram and connection, and how workers answer each call, from the active
//! faults and a uniform random number in [0, 1) that the caller draws (`chance`). No I/O.
use crate::scenario::{Fault, FaultKind};

/// What a relay does with a gossip datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramAction {
    /// Forwards it.
    Pass,
    /// Drops it.
    Drop,
    /// Forwards it twice.
    Duplicate,
    /// Forwards it after this many ms; later datagrams may overtake it.
    Delay(u64),
}

/// What a relay does with a new connection from a front end to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionAction {
    /// Connects to the worker and forwards the bytes in both directions.
    Pass,
    /// Closes it at once.
    Reset,
    /// Keeps it open and reads it, but never answers.
    BlackHole,
}

/// How a worker answers a call that it has read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Serves the call.
    Serve,
    /// Serves the call and sends the response twice.
    Twice,
    /// Rejects the call as over capacity: it did not run, and Retry-After says when to try again.
    Full,
    /// Runs the call, but the response is that of a proxy without an available worker.
    Unavailable,
    /// Runs the call, and closes the connection without a response.
    Reset,
    /// Runs the call, and closes only its sending direction of the connection, without a response.
    HalfClose,
    /// Runs the call, and sends no response; the connection stays open.
    Silent,
}

/// The replies to the calls that the fault `spoil` affects; all are equally likely.
const SPOILED_REPLIES: [Reply; 6] = [
    Reply::Twice,
    Reply::Full,
    Reply::Unavailable,
    Reply::Reset,
    Reply::HalfClose,
    Reply::Silent,
];

impl Reply {
    /// Whether the reply proves that the call did not run.
    pub fn never_ran(self) -> bool {
        self == Reply::Full
    }
}

/// One direction of the gossip between two front ends, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Link {
    from: usize,
    to: usize,
}

/// The faults of the network and the workers that are active.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Partition group of each front end: gossip passes only within a group. All are in group 0 without a partition.
    groups: Vec<usize>,
    /// For each front end, whether all gossip to it is lost.
    deaf: Vec<bool>,
    /// For each front end, whether all gossip from it is lost.
    mute: Vec<bool>,
    /// Links on which all gossip is lost.
    cut_links: Vec<Link>,
    /// Fraction of datagrams that are dropped.
    drop_ratio: f64,
    /// Fraction of datagrams that are sent twice.
    duplicate_ratio: f64,
    /// Delay of every datagram that is neither dropped nor sent twice, in ms; 0: none.
    delay_ms: u64,
    /// Fraction of new connections to workers that are closed at once.
    reset_ratio: f64,
    /// Fraction of the chunks between front ends and workers at which the connection is closed.
    sever_ratio: f64,
    /// Fraction of calls that workers answer incorrectly.
    spoil_ratio: f64,
    /// For each worker, whether its new connections are accepted and never answered.
    black_holes: Vec<bool>,
    /// For each worker, whether it counts as restarted: calls that reach it are recorded.
    cold: Vec<bool>,
    /// Factor by which the work time of all workers is multiplied; 1 without the fault `slow`.
    pub slow_factor: f64,
}

impl Faults {
    /// Creates a state without active faults, for `fronts` front ends and `workers` workers.
    pub fn new(fronts: usize, workers: usize) -> Faults {
        Faults {
            groups: vec![0; fronts],
            deaf: vec![false; fronts],
            mute: vec![false; fronts],
            black_holes: vec![false; workers],
            cold: vec![false; workers],
            slow_factor: 1.0,
            ..Faults::default()
        }
    }

    /// Activates a fault, or ends those that `heal` ends. Faults of processes and unknown kinds have no effect here.
    pub fn apply(&mut self, fault: &Fault) {
        let Some(kind) = fault.known_kind() else {
            return;
        };
        match kind {
            FaultKind::Slow => self.slow_factor = fault.factor.unwrap_or(1.0),
            FaultKind::Partition => {
                let groups = fault.groups.iter().flat_map(|groups| groups.values());
                for (group, fronts) in fault.fronts.iter().chain(groups).enumerate() {
                    for &front in fronts {
                        set(&mut self.groups, Some(front), group + 1);
                    }
                }
            }
            FaultKind::Cut => {
                let ends = fault.from.zip(fault.to);
                self.cut_links
                    .extend(ends.map(|(from, to)| Link { from, to }));
            }
            FaultKind::Deaf => set(&mut self.deaf, fault.front, true),
            FaultKind::Mute => set(&mut self.mute, fault.front, true),
            FaultKind::Heal => {
                let cold = std::mem::take(&mut self.cold);
                *self = Faults {
                    slow_factor: self.slow_factor,
                    cold,
                    ..Faults::new(self.groups.len(), self.black_holes.len())
                };
            }
            FaultKind::Cold => set(&mut self.cold, fault.worker, true),
            FaultKind::Drop => self.drop_ratio = fault.ratio.unwrap_or(0.0),
            FaultKind::Duplicate => self.duplicate_ratio = fault.ratio.unwrap_or(0.0),
            FaultKind::Delay => self.delay_ms = fault.ms.unwrap_or(0),
            FaultKind::Sever => self.sever_ratio = fault.ratio.unwrap_or(0.0),
            FaultKind::Spoil => self.spoil_ratio = fault.ratio.unwrap_or(0.0),
            FaultKind::Reset => self.reset_ratio = fault.ratio.unwrap_or(0.0),
            FaultKind::Blackhole => set(&mut self.black_holes, fault.worker, true),
            FaultKind::Kill
            | FaultKind::Restart
            | FaultKind::Leave
            | FaultKind::Stop
            | FaultKind::Continue => {}
        }
    }

    /// Decides about a datagram from front end `from` to front end `to`. `None`: the sender's address is not that of a
    /// known gossip socket.
    pub fn datagram(&self, from: Option<usize>, to: usize, chance: f64) -> DatagramAction {
        let group = |front: usize| self.groups.get(front).copied();
        let lost = |from: usize| {
            group(from) != group(to)
                || is_set(&self.mute, from)
                || self.cut_links.contains(&Link { from, to })
        };
        if from.is_some_and(lost) || is_set(&self.deaf, to) || chance < self.drop_ratio {
            DatagramAction::Drop
        } else if chance < self.drop_ratio + self.duplicate_ratio {
            DatagramAction::Duplicate
        } else if self.delay_ms > 0 {
            DatagramAction::Delay(self.delay_ms)
        } else {
            DatagramAction::Pass
        }
    }

    /// Whether a worker counts as restarted, by the fault `cold`.
    pub fn is_cold(&self, worker: usize) -> bool {
        is_set(&self.cold, worker)
    }

    /// Decides how a worker answers a call.
    pub fn reply(&self, chance: f64) -> Reply {
        if chance >= self.spoil_ratio {
            return Reply::Serve;
        }
        let index = (chance / self.spoil_ratio * SPOILED_REPLIES.len() as f64) as usize;
        SPOILED_REPLIES[index.min(SPOILED_REPLIES.len() - 1)]
    }

    /// Whether a connection to a worker is closed at a chunk that is forwarded on it.
    pub fn severs(&self, chance: f64) -> bool {
        chance < self.sever_ratio
    }

    /// Decides about a new connection to worker `worker`.
    pub fn connection(&self, worker: usize, chance: f64) -> ConnectionAction {
        if is_set(&self.black_holes, worker) {
            ConnectionAction::BlackHole
        } else if chance < self.reset_ratio {
            ConnectionAction::Reset
        } else {
            ConnectionAction::Pass
        }
    }
}

/// Whether the entry of a front end or worker is set; `false` for an index that does not exist.
fn is_set(entries: &[bool], index: usize) -> bool {
    entries.get(index).copied().unwrap_or(false)
}

/// Sets the entry of a front end or worker; no effect without an index or with one that does not exist.
fn set<T>(entries: &mut [T], index: Option<usize>, value: T) {
    if let Some(entry) = index.and_then(|index| entries.get_mut(index)) {
        *entry = value;
    }
}
