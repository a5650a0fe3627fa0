//! Stand-in workers of both protocols. They answer health checks, load orders and queries by themselves; the test
//! answers each call.
mod frames;
mod orders;
mod v2;

pub(crate) use orders::{OrderControl, OrderMode};

use super::support::sockets::{listen, TEST_TIMEOUT};
use super::{CallContent, Protocol};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes omitted from the end of an incomplete answer.
const OMITTED_BYTES: usize = 8;
/// Interval at which a connection is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State that all workers of a test share.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    /// Receives the calls of all workers.
    pub(crate) calls: Sender<ReceivedCall>,
    /// How load orders and queries are answered.
    pub(crate) orders: Arc<OrderControl>,
}

/// A call that a worker received, with the connection on which the test answers it.
pub(crate) struct ReceivedCall {
    /// Index of the worker's zone.
    pub(crate) zone: usize,
    /// Id of the call's frame; 0 for a KServe v2 call.
    pub(crate) id: u64,
    pub(crate) content: CallContent,
    protocol: Protocol,
    stream: TcpStream,
    /// Set once the worker ignores all further frames of the connection. KServe v2 workers do not read it.
    silenced: Arc<AtomicBool>,
}

/// Answer of a worker to a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkerAnswer {
    /// The call succeeded with this body.
    Ok(String),
    /// The worker has no capacity left and ran nothing.
    Rejected,
    /// The function is not loaded, and nothing ran.
    NotLoaded,
    /// The call failed, and may have run.
    Error,
    /// An incomplete answer, after which the connection is closed.
    Truncated,
    /// An incomplete answer, after which the connection stays open.
    Stalled,
    /// An answer with a flipped bit in its last byte: in the checksum of a frame, or in the JSON of a v2 response.
    Corrupt,
}

/// Starts a worker on a free loopback port and returns its address. `zone` is the index of its zone.
pub(crate) fn start_worker(protocol: Protocol, zone: usize, context: WorkerContext) -> SocketAddr {
    listen(move |stream| {
        let context = context.clone();
        std::thread::spawn(move || {
            let _ = match protocol {
                Protocol::Platform => frames::serve(stream, zone, &context),
                Protocol::Kserve => v2::serve(stream, zone, &context),
            }; // an error ends the connection
        });
    })
}

impl ReceivedCall {
    /// Makes the worker ignore all further frames of the connection.
    pub(crate) fn silence(&self) {
        self.silenced.store(true, Ordering::Release);
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.stream
            .shutdown(Shutdown::Both)
            .expect("shut down an open connection");
    }

    /// Waits until the connection has ended, and fails the test if that took `TEST_TIMEOUT` or longer. Leaves data on
    /// the connection to the worker's own thread.
    pub(crate) fn expect_closed(&self, context: &str) {
        let started_at = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let took = started_at.elapsed();
        assert!(
            took < TEST_TIMEOUT,
            "{context}: the connection was open for {took:?}"
        );
    }

    /// Sends an answer to the call.
    pub(crate) fn answer(&self, answer: &WorkerAnswer) {
        let mut bytes = match self.protocol {
            Protocol::Platform => frames::encode_call_answer(self.id, answer),
            Protocol::Kserve => v2::encode_call_answer(answer),
        };
        match answer {
            WorkerAnswer::Truncated | WorkerAnswer::Stalled => {
                bytes.truncate(bytes.len() - OMITTED_BYTES);
            }
            WorkerAnswer::Corrupt => *bytes.last_mut().expect("a nonempty answer") ^= 1,
            _ => {}
        }
        (&self.stream).write_all(&bytes).expect("send an answer");
        if *answer == WorkerAnswer::Truncated {
            self.close();
        }
    }
}

impl WorkerAnswer {
    /// Body of an answer that reports success, whether complete or damaged; `None` for the other answers.
    fn success_body(&self) -> Option<&str> {
        match self {
            WorkerAnswer::Ok(body) => Some(body),
            WorkerAnswer::Truncated | WorkerAnswer::Stalled | WorkerAnswer::Corrupt => {
                Some("cut-short")
            }
            WorkerAnswer::Rejected | WorkerAnswer::NotLoaded | WorkerAnswer::Error => None,
        }
    }
}
