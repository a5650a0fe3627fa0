//! What the fault proxy does to each datagram and connection: decided here without I/O, from the
//! faults in force and a die the caller rolls (a uniform number in [0, 1)).
use crate::scenario::Fault;

/// What becomes of one gossip datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Datagram {
    Pass,
    Drop,
    /// Sent twice.
    Twice,
    /// Held so many ms, then sent (later datagrams may overtake it).
    Hold(u64),
}

/// What becomes of one new connection from a front end to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Connection {
    Pass,
    Reset,
    /// Accepted, read, and never answered until the run ends.
    BlackHole,
}

/// What a worker does with a call that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It serves the call.
    Serve,
    /// It serves it and answers a second time.
    Twice,
    /// It has no room: the call never ran, and it says when to come back.
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

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The set each front end is in: gossip passes only within a set. All 0 while healed.
    side: Vec<usize>,
    deaf: Vec<bool>,
    mute: Vec<bool>,
    /// One-way links that are cut: from, to.
    cut: Vec<(usize, usize)>,
    drop: f64,
    duplicate: f64,
    delay_ms: u64,
    reset: f64,
    /// Part of the chunks between a front end and a worker at which the connection is reset.
    sever: f64,
    /// Part of the calls that workers spoil.
    spoil: f64,
    holes: Vec<bool>,
    /// Workers that have just started: what reaches them is counted.
    cold: Vec<bool>,
    /// How many times its usual time a worker takes.
    pub slow: f64,
}

impl Faults {
    /// None in force, for `fronts` front ends and `workers` workers.
    pub fn new(fronts: usize, workers: usize) -> Faults {
        Faults {
            side: vec![0; fronts],
            deaf: vec![false; fronts],
            mute: vec![false; fronts],
            holes: vec![false; workers],
            cold: vec![false; workers],
            slow: 1.0,
            ..Faults::default()
        }
    }

    /// Puts a fault in force; `kill` and `restart` are the caller's (they are not about links).
    pub fn apply(&mut self, fault: &Fault) {
        match fault.kind.as_str() {
            "slow" => self.slow = fault.factor.unwrap_or(1.0),
            "partition" => {
                let groups = fault.groups.iter().flat_map(|groups| groups.values());
                for (group, fronts) in fault.fronts.iter().chain(groups).enumerate() {
                    for &front in fronts {
                        set(&mut self.side, Some(front), group + 1);
                    }
                }
            }
            "cut" => self.cut.extend(fault.from.zip(fault.to)),
            "deaf" => set(&mut self.deaf, fault.front, true),
            "mute" => set(&mut self.mute, fault.front, true),
            "heal" => {
                let cold = std::mem::take(&mut self.cold);
                *self = Faults {
                    slow: self.slow,
                    cold,
                    ..Faults::new(self.side.len(), self.holes.len())
                };
            }
            "cold" => {
                set(&mut self.cold, fault.worker, true);
            }
            "drop" => self.drop = fault.ratio.unwrap_or(0.0),
            "duplicate" => self.duplicate = fault.ratio.unwrap_or(0.0),
            "delay" => self.delay_ms = fault.ms.unwrap_or(0),
            "sever" => self.sever = fault.ratio.unwrap_or(0.0),
            "spoil" => self.spoil = fault.ratio.unwrap_or(0.0),
            "reset" => self.reset = fault.ratio.unwrap_or(0.0),
            "blackhole" => {
                set(&mut self.holes, fault.worker, true);
            }
            _ => {}
        }
    }

    /// A datagram from front end `from` to front end `to` (None: a sender the lab does not know).
    pub fn datagram(&self, from: Option<usize>, to: usize, roll: f64) -> Datagram {
        let side = |i: usize| self.side.get(i).copied();
        let is = |which: &[bool], i: usize| which.get(i).copied().unwrap_or(false);
        let lost = |from: usize| {
            side(from) != side(to) || is(&self.mute, from) || self.cut.contains(&(from, to))
        };
        if from.is_some_and(lost) || is(&self.deaf, to) || roll < self.drop {
            Datagram::Drop
        } else if roll < self.drop + self.duplicate {
            Datagram::Twice
        } else if self.delay_ms > 0 {
            Datagram::Hold(self.delay_ms)
        } else {
            Datagram::Pass
        }
    }

    /// Whether a worker has been started anew.
    pub fn is_cold(&self, worker: usize) -> bool {
        self.cold.get(worker).copied().unwrap_or(false)
    }

    /// What a worker does with a call.
    pub fn reply(&self, roll: f64) -> Reply {
        if roll >= self.spoil {
            return Reply::Serve;
        }
        SPOILT[((roll / self.spoil * SPOILT.len() as f64) as usize).min(SPOILT.len() - 1)]
    }

    /// Whether a connection to a worker is reset at a chunk that passes on it.
    pub fn severs(&self, roll: f64) -> bool {
        roll < self.sever
    }

    /// A new connection to worker `worker`.
    pub fn connection(&self, worker: usize, roll: f64) -> Connection {
        if self.holes.get(worker).copied().unwrap_or(false) {
            Connection::BlackHole
        } else if roll < self.reset {
            Connection::Reset
        } else {
            Connection::Pass
        }
    }
}

/// Sets the entry of a front end or worker, if a fault names one that there is.
fn set<T>(entries: &mut [T], which: Option<usize>, value: T) {
    if let Some(entry) = which.and_then(|i| entries.get_mut(i)) {
        *entry = value;
    }
}
