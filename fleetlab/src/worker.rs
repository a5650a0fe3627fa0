//! A stand-in KServe v2 worker: tells its function ready, and answers each call after its work time
//! (times the `slow` fault), or spoils it (`spoil`). Everything that reaches it is counted.
use crate::coroutine::{pause, spawn};
use crate::faults::{Faults, Reply};
use crate::infer::{call_id, request_number, FUNCTION};
use crate::metrics::{Counter, Metrics};
use crate::wire::Message;
use may::net::{TcpListener, TcpStream};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Starts a worker on loopback; its address.
///
/// # Errors
/// No port can be bound.
pub fn start(
    own: usize,
    work_ms: u64,
    seed: u64,
    faults: Arc<RwLock<Faults>>,
    metrics: Arc<Metrics>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let (faults, metrics) = (faults.clone(), metrics.clone());
            let rng = SmallRng::seed_from_u64(seed ^ (own as u64) << 32 ^ (n as u64) << 40);
            let worker = Worker {
                own,
                work_ms,
                faults,
                metrics,
                rng,
            };
            spawn(move || worker.serve(stream));
        }
    });
    Ok(address)
}

/// A worker as one of its connections sees it.
struct Worker {
    own: usize,
    work_ms: u64,
    faults: Arc<RwLock<Faults>>,
    metrics: Arc<Metrics>,
    rng: SmallRng,
}

impl Worker {
    fn serve(mut self, mut stream: TcpStream) {
        let mut carry = Vec::new();
        while let Ok(m) = crate::wire::read(&mut stream, &mut carry, true) {
            let written = if m.first == "/v2/repository/index" {
                self.metrics.add(Counter::Probes);
                stream.write_all(&ok(&format!(
                    r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#
                )))
            } else if m.first.starts_with("/v2/repository/models/") {
                self.metrics.add(Counter::Probes);
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
        self.metrics.add(Counter::Calls);
        let roll = self.rng.random::<f64>();
        let told = |f: &Faults| (f.slow, f.is_cold(self.own), f.reply(roll));
        let (slow, cold, reply) = self
            .faults
            .read()
            .map_or((1.0, false, Reply::Serve), |f| told(&f));
        if cold {
            self.metrics.reach(self.own);
        }
        if let Some(request) = request_number(&call.body) {
            self.metrics.came(request, !reply.never_ran());
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
