//! What the relays do to each datagram and connection: decided here without I/O, from the
//! faults in force and a uniform number in [0, 1) that the caller draws.
use crate::scenario::{Fault, FaultKind};

/// What becomes of one gossip datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramAction {
    /// Sent on.
    Pass,
    /// Lost.
    Drop,
    /// Sent twice.
    Duplicate,
    /// Delayed by so many ms, then sent (later datagrams may overtake it).
    Delay(u64),
}

/// What becomes of one new connection from a front end to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionAction {
    /// Relayed.
    Pass,
    /// Closed at once.
    Reset,
    /// Accepted, read, and never answered until the run ends.
    BlackHole,
}

/// What a worker does with a complete call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It serves the call.
    Serve,
    /// It serves it and answers a second time.
    Twice,
    /// It is at its capacity: the call never ran, and Retry-After says when to come back.
    Full,
    /// The call runs, but a proxy before the worker says that nothing is available.
    Unavailable,
    /// The call runs, and the connection is reset without an answer.
    Reset,
    /// The call runs, and the worker sends nothing more while it reads on.
    HalfClose,
    /// The call runs, and nothing is heard of it.
    Silent,
}

/// The replies of a worker that spoils a call, equally likely.
const SPOILT: [Reply; 6] = [
    Reply::Twice,
    Reply::Full,
    Reply::Unavailable,
    Reply::Reset,
    Reply::HalfClose,
    Reply::Silent,
];

impl Reply {
    /// Whether the answer proves that the call never ran.
    pub fn never_ran(self) -> bool {
        self == Reply::Full
    }
}

/// A one-way link between two front ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Link {
    from: usize,
    to: usize,
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The group each front end is in: gossip passes only within a group. All 0 while healed.
    groups: Vec<usize>,
    deaf: Vec<bool>,
    mute: Vec<bool>,
    /// One-way links that are cut.
    cut: Vec<Link>,
    drop: f64,
    duplicate: f64,
    delay_ms: u64,
    reset: f64,
    /// Part of the chunks between a front end and a worker at which the connection is reset.
    sever: f64,
    /// Part of the calls that workers spoil.
    spoil: f64,
    /// Workers that accept connections and never answer.
    black_holes: Vec<bool>,
    /// Workers that have just started: what reaches them is counted.
    cold: Vec<bool>,
    /// By how much workers are slowed: a factor of their work time.
    pub slow: f64,
}

impl Faults {
    /// None in force, for `fronts` front ends and `workers` workers.
    pub fn new(fronts: usize, workers: usize) -> Faults {
        Faults {
            groups: vec![0; fronts],
            deaf: vec![false; fronts],
            mute: vec![false; fronts],
            black_holes: vec![false; workers],
            cold: vec![false; workers],
            slow: 1.0,
            ..Faults::default()
        }
    }

    /// Puts a fault in force; those of processes are the caller's.
    pub fn apply(&mut self, fault: &Fault) {
        let Some(kind) = fault.known_kind() else {
            return;
        };
        match kind {
            FaultKind::Slow => self.slow = fault.factor.unwrap_or(1.0),
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
                self.cut.extend(ends.map(|(from, to)| Link { from, to }));
            }
            FaultKind::Deaf => set(&mut self.deaf, fault.front, true),
            FaultKind::Mute => set(&mut self.mute, fault.front, true),
            FaultKind::Heal => {
                let cold = std::mem::take(&mut self.cold);
                *self = Faults {
                    slow: self.slow,
                    cold,
                    ..Faults::new(self.groups.len(), self.black_holes.len())
                };
            }
            FaultKind::Cold => set(&mut self.cold, fault.worker, true),
            FaultKind::Drop => self.drop = fault.ratio.unwrap_or(0.0),
            FaultKind::Duplicate => self.duplicate = fault.ratio.unwrap_or(0.0),
            FaultKind::Delay => self.delay_ms = fault.ms.unwrap_or(0),
            FaultKind::Sever => self.sever = fault.ratio.unwrap_or(0.0),
            FaultKind::Spoil => self.spoil = fault.ratio.unwrap_or(0.0),
            FaultKind::Reset => self.reset = fault.ratio.unwrap_or(0.0),
            FaultKind::Blackhole => set(&mut self.black_holes, fault.worker, true),
            FaultKind::Kill
            | FaultKind::Restart
            | FaultKind::Leave
            | FaultKind::Stop
            | FaultKind::Continue => {}
        }
    }

    /// A datagram from front end `from` to front end `to` (None: a sender the lab does not know).
    pub fn datagram(&self, from: Option<usize>, to: usize, chance: f64) -> DatagramAction {
        let group = |front: usize| self.groups.get(front).copied();
        let lost = |from: usize| {
            group(from) != group(to)
                || is_set(&self.mute, from)
                || self.cut.contains(&Link { from, to })
        };
        if from.is_some_and(lost) || is_set(&self.deaf, to) || chance < self.drop {
            DatagramAction::Drop
        } else if chance < self.drop + self.duplicate {
            DatagramAction::Duplicate
        } else if self.delay_ms > 0 {
            DatagramAction::Delay(self.delay_ms)
        } else {
            DatagramAction::Pass
        }
    }

    /// Whether a worker has been started anew.
    pub fn is_cold(&self, worker: usize) -> bool {
        is_set(&self.cold, worker)
    }

    /// What a worker does with a call.
    pub fn reply(&self, chance: f64) -> Reply {
        if chance >= self.spoil {
            return Reply::Serve;
        }
        let which = (chance / self.spoil * SPOILT.len() as f64) as usize;
        SPOILT[which.min(SPOILT.len() - 1)]
    }

    /// Whether a connection to a worker is reset at a chunk that passes on it.
    pub fn severs(&self, chance: f64) -> bool {
        chance < self.sever
    }

    /// A new connection to worker `worker`.
    pub fn connection(&self, worker: usize, chance: f64) -> ConnectionAction {
        if is_set(&self.black_holes, worker) {
            ConnectionAction::BlackHole
        } else if chance < self.reset {
            ConnectionAction::Reset
        } else {
            ConnectionAction::Pass
        }
    }
}

/// Whether the entry of a front end or worker is set.
fn is_set(entries: &[bool], which: usize) -> bool {
    entries.get(which).copied().unwrap_or(false)
}

/// Sets the entry of a front end or worker, if a fault names one that there is.
fn set<T>(entries: &mut [T], which: Option<usize>, value: T) {
    if let Some(entry) = which.and_then(|index| entries.get_mut(index)) {
        *entry = value;
    }
}
