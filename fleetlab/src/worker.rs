//! A stand-in KServe v2 worker: reports its function ready, and answers each call after its work time
//! (times the `slow` fault), or spoils it (`spoil`). Everything that reaches it is counted.
use crate::coroutine::{pause, spawn};
use crate::faults::{Faults, Reply};
use crate::infer::{attempt_id, request_number, FUNCTION};
use crate::metrics::{Counter, Metrics};
use crate::wire::{read_request, Request};
use may::net::{TcpListener, TcpStream};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::{ErrorKind, Result, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;
/// The response of a worker at its capacity: the call never ran.
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
/// The response of a proxy before the worker: the call may have run.
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What the workers of a run have in common.
#[derive(Clone)]
pub struct WorkerSettings {
    /// A call's work time, before `slow`.
    pub work_ms: u64,
    /// Seeds the chance of spoilt calls.
    pub seed: u64,
    /// The faults in force.
    pub faults: Arc<RwLock<Faults>>,
    /// Where calls are counted.
    pub metrics: Arc<Metrics>,
}

/// Starts a worker on loopback; its address.
///
/// # Errors
/// No port can be bound.
pub fn start(index: usize, settings: WorkerSettings) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        let accepted = listener.incoming().map_while(Result::ok);
        for (number, stream) in accepted.enumerate() {
            let seed = settings.seed ^ (index as u64) << 32 ^ (number as u64) << 40;
            let worker = WorkerConnection {
                index,
                settings: settings.clone(),
                rng: SmallRng::seed_from_u64(seed),
            };
            spawn(move || worker.serve(stream));
        }
    });
    Ok(address)
}

/// A worker as one of its connections sees it.
struct WorkerConnection {
    index: usize,
    settings: WorkerSettings,
    rng: SmallRng,
}

/// What the faults make of a call.
struct CallFaults {
    slow: f64,
    is_cold: bool,
    reply: Reply,
}

impl WorkerConnection {
    fn serve(mut self, mut stream: TcpStream) {
        let mut carry = Vec::new();
        while let Ok(request) = read_request(&mut stream, &mut carry) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&mut self, stream: &mut TcpStream, request: &Request) -> Result<()> {
        if request.target == "/v2/repository/index" {
            self.settings.metrics.add(Counter::Probes);
            let index = format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#);
            stream.write_all(&ok(&index))
        } else if request.target.starts_with("/v2/repository/models/") {
            self.settings.metrics.add(Counter::Probes);
            stream.write_all(&ok(r#"{"parameters":{"slots_up":1}}"#))
        } else {
            self.call(stream, &request.body)
        }
    }

    /// Runs a call, unless it is to be rejected, and answers it as the faults say. An error ends the connection.
    fn call(&mut self, stream: &mut TcpStream, body: &[u8]) -> Result<()> {
        self.settings.metrics.add(Counter::Calls);
        let CallFaults {
            slow,
            is_cold,
            reply,
        } = self.faults();
        if is_cold {
            self.settings.metrics.record_cold_call(self.index);
        }
        if let Some(request) = request_number(body) {
            let may_run = !reply.never_ran();
            self.settings.metrics.record_call(request, may_run);
        }
        if reply == Reply::Full {
            return stream.write_all(FULL);
        }
        let work_micros = self.settings.work_ms as f64 * MICROS_PER_MS * slow;
        pause(Duration::from_micros(work_micros as u64));
        let served = served(attempt_id(body).unwrap_or_default());
        match reply {
            Reply::Twice => {
                stream.write_all(&served)?;
                stream.write_all(&served)
            }
            Reply::Unavailable => stream.write_all(UNAVAILABLE),
            Reply::Reset => Err(ErrorKind::ConnectionReset.into()),
            Reply::HalfClose => stream.shutdown(Shutdown::Write),
            Reply::Silent => Ok(()),
            Reply::Serve | Reply::Full => stream.write_all(&served),
        }
    }

    fn faults(&mut self) -> CallFaults {
        let chance = self.rng.random::<f64>();
        let Ok(faults) = self.settings.faults.read() else {
            return CallFaults {
                slow: 1.0,
                is_cold: false,
                reply: Reply::Serve,
            };
        };
        CallFaults {
            slow: faults.slow,
            is_cold: faults.is_cold(self.index),
            reply: faults.reply(chance),
        }
    }
}

/// The response to a call that was served.
fn served(id: &str) -> Vec<u8> {
    ok(&format!(
        r#"{{"id":"{id}","parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["done"]}}]}}"#
    ))
}

fn ok(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}
