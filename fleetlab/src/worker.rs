//! A simulated KServe v2 worker. It reports its function as ready and answers each call after the work time, multiplied
//! by the factor of the fault `slow`; under the fault `spoil` it answers some calls incorrectly. It counts all calls
//! and health checks that reach it.
use crate::coroutine::{sleep, spawn};
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
/// The response of a worker that is at capacity: Retry-After tells the front end that the call did not run.
const FULL_RESPONSE: &[u8] = b"HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
/// The response of a proxy in front of the worker: without Retry-After, the call may have run.
const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Settings that all workers of a run share.
#[derive(Clone)]
pub struct WorkerSettings {
    /// Time that a call takes in ms, without the fault `slow`.
    pub work_ms: u64,
    /// Seed of the random choice of the calls that are answered incorrectly.
    pub seed: u64,
    /// The faults that are active now.
    pub faults: Arc<RwLock<Faults>>,
    /// The counters of the run.
    pub metrics: Arc<Metrics>,
}

/// Starts a worker on a free port of 127.0.0.1, and returns its address.
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

/// One connection of a worker.
struct WorkerConnection {
    index: usize,
    settings: WorkerSettings,
    rng: SmallRng,
}

/// The effect of the active faults on one call.
struct CallFaults {
    /// Factor by which the work time is multiplied.
    slow_factor: f64,
    /// Whether the worker counts as restarted, so that the call is recorded.
    is_cold: bool,
    reply: Reply,
}

impl WorkerConnection {
    fn serve(mut self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(request) = read_request(&mut stream, &mut buffer) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&mut self, stream: &mut TcpStream, request: &Request) -> Result<()> {
        if request.target == "/v2/repository/index" {
            self.settings.metrics.add(Counter::Probes);
            let index = format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#);
            stream.write_all(&ok_response(&index))
        } else if request.target.starts_with("/v2/repository/models/") {
            self.settings.metrics.add(Counter::Probes);
            stream.write_all(&ok_response(r#"{"parameters":{"slots_up":1}}"#))
        } else {
            self.call(stream, &request.body)
        }
    }

    /// Runs a call and answers it as the active faults demand; a call that the faults reject as over capacity does not
    /// run. An error closes the connection.
    fn call(&mut self, stream: &mut TcpStream, body: &[u8]) -> Result<()> {
        self.settings.metrics.add(Counter::Calls);
        let CallFaults {
            slow_factor,
            is_cold,
            reply,
        } = self.draw_faults();
        if is_cold {
            self.settings.metrics.record_cold_call(self.index);
        }
        if let Some(request) = request_number(body) {
            let may_have_run = !reply.never_ran();
            self.settings.metrics.record_call(request, may_have_run);
        }
        if reply == Reply::Full {
            return stream.write_all(FULL_RESPONSE);
        }
        let work_micros = self.settings.work_ms as f64 * MICROS_PER_MS * slow_factor;
        sleep(Duration::from_micros(work_micros as u64));
        let response = served_response(attempt_id(body).unwrap_or_default());
        match reply {
            Reply::Twice => {
                stream.write_all(&response)?;
                stream.write_all(&response)
            }
            Reply::Unavailable => stream.write_all(UNAVAILABLE_RESPONSE),
            Reply::Reset => Err(ErrorKind::ConnectionReset.into()),
            Reply::HalfClose => stream.shutdown(Shutdown::Write),
            Reply::Silent => Ok(()),
            Reply::Serve | Reply::Full => stream.write_all(&response),
        }
    }

    /// Draws the effect of the active faults on the next call; none if the lock of the faults is poisoned.
    fn draw_faults(&mut self) -> CallFaults {
        let chance = self.rng.random::<f64>();
        let Ok(faults) = self.settings.faults.read() else {
            return CallFaults {
                slow_factor: 1.0,
                is_cold: false,
                reply: Reply::Serve,
            };
        };
        CallFaults {
            slow_factor: faults.slow_factor,
            is_cold: faults.is_cold(self.index),
            reply: faults.reply(chance),
        }
    }
}

/// Returns the response to a served call; `id` is that of the attempt.
fn served_response(id: &str) -> Vec<u8> {
    ok_response(&format!(
        r#"{{"id":"{id}","parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["done"]}}]}}"#
    ))
}

fn ok_response(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}
