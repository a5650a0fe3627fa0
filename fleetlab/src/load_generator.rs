//! Stand-in gateways: an open loop of KServe v2 infer requests at seeded Poisson times, each sent to a
//! front end chosen at random; a 500 or 503 is tried again at once at another, up to the scenario's
//! attempts, as clients in a storm do. Each attempt must end in exactly one answer.
use crate::coroutine::{pause, spawn};
use crate::infer::request_bytes;
use crate::metrics::{Counter, Metrics};
use may::net::TcpStream;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// Requests in flight at the most; past it a request is counted failed at once (the bound on memory).
const IN_FLIGHT: usize = 4096;

/// How often the load looks whether the run's time goes on again.
const HELD: Duration = Duration::from_millis(5);

/// The load's shape.
#[derive(Clone, Copy)]
pub struct LoadSettings {
    pub rate_per_s: f64,
    pub seconds: u64,
    pub wait_ms: u64,
    pub attempts: u32,
    pub seed: u64,
    /// Whether a request is repeated after a refusal only.
    pub fragile: bool,
}

/// Drives the load until its end; returns when the last request has ended.
pub fn drive(load: LoadSettings, fronts: Arc<RwLock<Vec<SocketAddr>>>, metrics: Arc<Metrics>) {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let flying = Arc::new(AtomicUsize::new(0));
    let mut at = 0.0f64;
    let mut n = 0u64;
    let rate = load.rate_per_s.max(1e-9);
    while load.rate_per_s > 0.0 && at < load.seconds as f64 {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= load.seconds as f64 {
            break;
        }
        loop {
            let (now, held) = metrics.clock.now();
            if !held && now >= at {
                break;
            }
            // While it stands still the run's time does not come nearer: look again soon.
            let wait = if held {
                HELD
            } else {
                Duration::from_secs_f64(at - now)
            };
            pause(wait);
        }
        metrics.add(Counter::Offered);
        if flying.load(Ordering::Relaxed) >= IN_FLIGHT {
            metrics.add(Counter::Failed);
            continue;
        }
        n += 1;
        flying.fetch_add(1, Ordering::Relaxed);
        let (fronts, metrics, flying) = (fronts.clone(), metrics.clone(), flying.clone());
        let picks: Vec<f64> = (0..load.attempts).map(|_| rng.random::<f64>()).collect();
        spawn(move || {
            request(n, &load, &fronts, &metrics, &picks);
            flying.fetch_sub(1, Ordering::Relaxed);
        });
    }
    let patience =
        Instant::now() + Duration::from_millis(load.wait_ms * u64::from(load.attempts) + 5000);
    while flying.load(Ordering::Relaxed) > 0 && Instant::now() < patience {
        pause(Duration::from_millis(20));
    }
}

fn request(
    n: u64,
    load: &LoadSettings,
    fronts: &RwLock<Vec<SocketAddr>>,
    metrics: &Metrics,
    picks: &[f64],
) {
    let begun = Instant::now();
    for (k, pick) in picks.iter().enumerate() {
        if k > 0 {
            metrics.add(Counter::Retried);
        }
        let front = {
            let f = fronts
                .read()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            f[((pick * f.len() as f64) as usize).min(f.len() - 1)]
        };
        let harmless = match attempt(
            front,
            request_bytes(n, k, load.wait_ms).as_bytes(),
            load.wait_ms,
        ) {
            Some((200, _)) => return metrics.served(begun.elapsed().as_micros() as u64),
            Some((503, Some(_))) => {
                metrics.add(Counter::Refused);
                true
            }
            Some(_) => false,
            None => {
                metrics.add(Counter::Unanswered);
                false
            }
        };
        if load.fragile && !harmless {
            break;
        }
    }
    metrics.add(Counter::Failed);
}

/// One attempt: the answer's status and wait told, or None if none came within the wait and a second.
fn attempt(front: SocketAddr, bytes: &[u8], wait_ms: u64) -> Option<(u16, Option<u64>)> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(wait_ms + 1000)))
        .ok()?;
    stream.write_all(bytes).ok()?;
    let mut carry = Vec::new();
    let m = crate::wire::read(&mut stream, &mut carry, false).ok()?;
    Some((m.first.parse().ok()?, m.wait_ms))
}
