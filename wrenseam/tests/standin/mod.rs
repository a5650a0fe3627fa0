//! Stand-in workers of both protocols that misbehave as seeded random numbers say, and a ledger of the calls that
//! reached them complete.
mod behaviour;
mod frames;
mod kserve;
mod ledger;
#[path = "../support/mod.rs"]
mod support;

pub(crate) use behaviour::{Behaviour, SeededRandom};
pub(crate) use ledger::{Arrival, Ledger};

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use support::sockets::{listen, read_bytes};
use wrenseam::model::TransportProtocol;

/// Bytes of a call that are read before its connection is cut.
const CUT_AFTER: usize = 20;
/// How often, of a hundred faults, the next call is cut too.
const CUT_PERCENT: u32 = 15;
/// The longest delay of a late answer, ms.
const LATEST_MS: u32 = 120;
/// The longest delay of a repeated answer, ms.
const LATEST_REPEAT_MS: u32 = 10;

/// A worker in a zone that misbehaves in so many of a hundred calls.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) zone: usize,
    pub(crate) fault_percent: u32,
    pub(crate) random: SeededRandom,
    pub(crate) ledger: Ledger,
}

impl Worker {
    /// Starts the worker; its address.
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

    /// Decides on a call that has come complete, and enters it in the ledger.
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
        let mut ledger = self.ledger.lock().expect("not poisoned");
        ledger.entry(id).or_default().push(arrival);
        behaviour
    }

    /// Cuts a connection in the middle of the next call, if that is its turn; whether it was.
    fn cuts(&self, stream: &mut TcpStream) -> bool {
        let cuts = self.random.percent(self.fault_percent) && self.random.percent(CUT_PERCENT);
        if cuts {
            let _ = read_bytes(stream, CUT_AFTER);
            reset_on_close(stream);
        }
        cuts
    }

    /// A random delay of less than so many milliseconds.
    fn delay(&self, below_ms: u32) -> Duration {
        Duration::from_millis(self.random.below(below_ms).into())
    }
}

/// Does to a connection what a behaviour without an answer means, and says whether to read on from it; `None` if the
/// behaviour is one with an answer.
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
            Some(ControlFlow::Continue(())) // what is still written to it comes
        }
        _ => None,
    }
}

/// Has the close of a connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
