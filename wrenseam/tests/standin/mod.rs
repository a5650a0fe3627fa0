//! Simulated workers of both protocols. Seeded random numbers decide which calls they answer wrongly or not at all, and
//! they record in a shared log which calls arrived completely.
mod behaviour;
mod frames;
mod kserve;
mod ledger;
#[path = "../support/mod.rs"]
mod support;

pub(crate) use behaviour::{Behaviour, SeededRandom};
pub(crate) use ledger::{Arrival, ArrivalLog};

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use support::sockets::{listen, read_bytes};
use wrenseam::model::TransportProtocol;

/// Bytes of a message that are read before its connection is reset.
const RESET_AFTER_BYTES: usize = 20;
/// Chance, in percent, that a fault drawn before a message resets the connection in the middle of that message.
const RESET_PERCENT: u32 = 15;
/// Upper bound of the delay of a late answer, in ms.
const MAX_ANSWER_DELAY_MS: u32 = 120;
/// Upper bound of the time between an answer and its repetition, in ms.
const MAX_REPEAT_DELAY_MS: u32 = 10;

/// A worker with random faults.
#[derive(Clone)]
pub(crate) struct FaultyWorker {
    pub(crate) zone: usize,
    /// Chance of a fault, in percent. A call with a fault gets a random behaviour, all others are served.
    pub(crate) fault_percent: u32,
    pub(crate) random: SeededRandom,
    pub(crate) arrival_log: ArrivalLog,
}

impl FaultyWorker {
    /// Starts the worker. Returns its address.
    pub(crate) fn start(self, protocol: TransportProtocol) -> SocketAddr {
        listen(move |stream| {
            let worker = self.clone();
            std::thread::spawn(move || {
                let _ = match protocol {
                    TransportProtocol::Frames => frames::serve(&worker, stream),
                    TransportProtocol::Kserve => kserve::serve(&worker, stream),
                }; // the connection has ended
            });
        })
    }

    /// Draws the behaviour for a call that arrived completely, and records the call in the log.
    fn receive(&self, id: u64) -> Behaviour {
        let behaviour = if self.random.percent(self.fault_percent) {
            Behaviour::random(&self.random)
        } else {
            Behaviour::Serve
        };
        let arrival = Arrival {
            at: Instant::now(),
            zone: self.zone,
            behaviour,
        };
        let mut log = self.arrival_log.lock().expect("not poisoned");
        log.entry(id).or_default().push(arrival);
        behaviour
    }

    /// Draws whether the connection is reset in the middle of the next message, and if so resets it. Returns whether it
    /// did.
    fn reset_at_random(&self, stream: &mut TcpStream) -> bool {
        let resets = self.random.percent(self.fault_percent) && self.random.percent(RESET_PERCENT);
        if resets {
            let _ = read_bytes(stream, RESET_AFTER_BYTES);
            reset_on_close(stream);
        }
        resets
    }

    /// A random delay below `below_ms` milliseconds.
    fn random_delay(&self, below_ms: u32) -> Duration {
        Duration::from_millis(self.random.below(below_ms).into())
    }
}

/// Carries out a behaviour without an answer. Returns whether to go on reading from the connection, or `None` if the
/// behaviour has an answer, which the caller sends.
fn leave_unanswered(behaviour: Behaviour, stream: &TcpStream) -> Option<ControlFlow<()>> {
    match behaviour {
        Behaviour::Ignore => Some(ControlFlow::Continue(())),
        Behaviour::Reset => {
            reset_on_close(stream);
            Some(ControlFlow::Break(()))
        }
        Behaviour::Close => {
            let _ = stream.shutdown(Shutdown::Both);
            Some(ControlFlow::Break(()))
        }
        Behaviour::HalfClose => {
            let _ = stream.shutdown(Shutdown::Write);
            Some(ControlFlow::Continue(())) // the other direction stays open
        }
        _ => None,
    }
}

/// Makes the close of a connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
