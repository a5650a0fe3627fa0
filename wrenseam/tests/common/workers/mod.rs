//! Stand-in workers of both protocols: they answer orders by themselves, and leave each call to the test.
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

/// Bytes that are left out of an answer that stops midway.
const MISSING_BYTES: usize = 8;
/// Time between two looks whether a connection has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the workers of a test share.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    /// Where calls go, of whichever worker.
    pub(crate) calls: Sender<ReceivedCall>,
    pub(crate) orders: Arc<OrderControl>,
}

/// A call as it reached a worker, and the connection on which it is to be answered.
pub(crate) struct ReceivedCall {
    pub(crate) zone: usize,
    /// Its id in a frame; 0 in v2.
    pub(crate) id: u64,
    pub(crate) content: CallContent,
    protocol: Protocol,
    stream: TcpStream,
    /// Whether the worker ignores what else comes on the connection.
    silenced: Arc<AtomicBool>,
}

/// How a worker answers a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkerAnswer {
    Ok(String),
    Rejected,
    NotLoaded,
    Error,
    /// A part of an answer, then the end of the connection.
    Truncated,
    /// A part of an answer, and nothing after it.
    Stalled,
    /// An answer whose last byte, which is that of a frame's checksum, is wrong.
    Corrupt,
}

/// Starts a worker in a zone; its address.
pub(crate) fn start_worker(protocol: Protocol, zone: usize, context: WorkerContext) -> SocketAddr {
    listen(move |stream| {
        let context = context.clone();
        std::thread::spawn(move || {
            let _ = match protocol {
                Protocol::Platform => frames::serve(stream, zone, &context),
                Protocol::Kserve => v2::serve(stream, zone, &context),
            }; // the connection has ended
        });
    })
}

impl ReceivedCall {
    /// From now on the worker ignores what else comes on the connection.
    pub(crate) fn silence(&self) {
        self.silenced.store(true, Ordering::Release);
    }

    /// Ends the connection.
    pub(crate) fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("open");
    }

    /// Waits for the end of the connection; what else comes there is for the worker to read.
    pub(crate) fn expect_closed(&self, context: &str) {
        let since = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let took = since.elapsed();
        assert!(took < TEST_TIMEOUT, "{context}: it was open for {took:?}");
    }

    /// Answers the call.
    pub(crate) fn answer(&self, answer: &WorkerAnswer) {
        let mut bytes = match self.protocol {
            Protocol::Platform => frames::encode_call_answer(self.id, answer),
            Protocol::Kserve => v2::encode_call_answer(answer),
        };
        match answer {
            WorkerAnswer::Truncated | WorkerAnswer::Stalled => {
                bytes.truncate(bytes.len() - MISSING_BYTES);
            }
            WorkerAnswer::Corrupt => *bytes.last_mut().expect("an answer") ^= 1,
            _ => {}
        }
        (&self.stream).write_all(&bytes).expect("written");
        if *answer == WorkerAnswer::Truncated {
            self.close();
        }
    }
}

impl WorkerAnswer {
    /// The body of an answer that says that the call succeeded.
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
