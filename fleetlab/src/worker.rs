//! A stand-in KServe v2 worker: tells its function ready, and answers each call after its work time
//! (times the `slow` fault), or spoils it (`spoil`). Everything that reaches it is counted.
use crate::faults::{Faults, Reply};
use crate::gateway::{call_id, number};
use crate::tally::{Count, Tally};
use crate::wire::Message;
use may::net::{TcpListener, TcpStream};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// The one function that the lab's gateways call.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// Starts a worker on loopback; its address.
///
/// # Errors
/// No port can be bound.
pub fn start(
    own: usize,
    work_ms: u64,
    seed: u64,
    faults: Arc<RwLock<Faults>>,
    tally: Arc<Tally>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    go(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let (faults, tally) = (faults.clone(), tally.clone());
            let rng = SmallRng::seed_from_u64(seed ^ (own as u64) << 32 ^ (n as u64) << 40);
            let worker = Worker {
                own,
                work_ms,
                faults,
                tally,
                rng,
            };
            go(move || worker.serve(stream));
        }
    });
    Ok(address)
}

/// Starts a coroutine; the lab's are few and small.
pub fn go(f: impl FnOnce() + Send + 'static) {
    // SAFETY: the closure owns what it uses and blocks only on may's own sockets and sleeps.
    unsafe { may::coroutine::spawn(f) };
}

/// Has a coroutine wait, and takes it back to the scheduler's thread: `may` has it go on in its thread of timers, where
/// a socket that is waited for may be ready and gone before the wait has been written down.
pub fn pause(span: Duration) {
    may::coroutine::sleep(span);
    may::coroutine::yield_now();
}

/// A worker as one of its connections sees it.
struct Worker {
    own: usize,
    work_ms: u64,
    faults: Arc<RwLock<Faults>>,
    tally: Arc<Tally>,
    rng: SmallRng,
}

impl Worker {
    fn serve(mut self, mut stream: TcpStream) {
        let mut carry = Vec::new();
        while let Ok(m) = crate::wire::read(&mut stream, &mut carry, true) {
            let written = if m.first == "/v2/repository/index" {
                self.tally.add(Count::Probes);
                stream.write_all(&ok(&format!(
                    r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#
                )))
            } else if m.first.starts_with("/v2/repository/models/") {
                self.tally.add(Count::Probes);
                stream.write_all(&ok(r#"{"parameters":{"slots_up":1}}"#))
            } else {
                self.call(&mut stream, &m)
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Runs a call, unless it is to be refused, and answers it as the faults say. An error ends the connection.
    fn call(&mut self, stream: &mut TcpStream, call: &Message) -> std::io::Result<()> {
        self.tally.add(Count::Calls);
        let roll = self.rng.random::<f64>();
        let told = |f: &Faults| (f.slow, f.is_cold(self.own), f.reply(roll));
        let (slow, cold, reply) = self
            .faults
            .read()
            .map_or((1.0, false, Reply::Serve), |f| told(&f));
        if cold {
            self.tally.reach(self.own);
        }
        if let Some(request) = number(&call.body) {
            self.tally.came(request, !reply.never_ran());
        }
        if reply == Reply::Full {
            return stream
                .write_all(b"HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
        }
        pause(Duration::from_micros(
            (self.work_ms as f64 * 1000.0 * slow) as u64,
        ));
        let id = call_id(&call.body).unwrap_or_default();
        let served = ok(&format!(
            r#"{{"id":"{id}","parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["done"]}}]}}"#
        ));
        match reply {
            Reply::Twice => stream
                .write_all(&served)
                .and_then(|()| stream.write_all(&served)),
            Reply::Unavailable => {
                stream.write_all(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            Reply::Reset => Err(std::io::ErrorKind::ConnectionReset.into()),
            Reply::HalfClose => stream.shutdown(Shutdown::Write),
            Reply::Silent => Ok(()),
            Reply::Serve | Reply::Full => stream.write_all(&served),
        }
    }
}

fn ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
