//! The load generator: an open loop of KServe v2 infer requests at the times of a seeded Poisson process. Each attempt
//! goes to a front end chosen at random. An attempt that was not served is retried at once, up to the scenario's
//! maximum number of attempts, as clients do in a retry storm.
use crate::coroutine::{sleep, spawn};
use crate::infer::request_bytes;
use crate::metrics::{Counter, Metrics};
use crate::wire::{read_response, Response};
use may::net::TcpStream;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Maximum number of requests in flight; a request beyond it is counted as failed at once. Bounds the memory.
const MAX_IN_FLIGHT: usize = 4096;
/// Interval at which the load checks whether the run's clock is still paused.
const PAUSE_POLL: Duration = Duration::from_millis(5);
/// Interval at which the load checks whether the last requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time allowed for the last requests beyond the maximum waits of all their attempts, in ms.
const DRAIN_MARGIN_MS: u64 = 5000;
/// Time allowed for a response beyond the maximum wait of the request, in ms.
const RESPONSE_MARGIN_MS: u64 = 1000;
/// Minimum rate for calculations, in requests per second: it is a divisor.
const MIN_RATE_PER_S: f64 = 1e-9;

/// Addresses at which the front ends accept KServe requests, by index; a restart of a front end changes its entry.
pub type Targets = Arc<RwLock<Vec<SocketAddr>>>;

/// Settings of the load.
#[derive(Clone, Copy)]
pub struct LoadSettings {
    /// Requests per second, retries not counted; 0: no load.
    pub rate_per_s: f64,
    /// Duration in seconds of the run in which requests start.
    pub seconds: u64,
    /// Maximum wait that each request allows, in ms.
    pub wait_ms: u64,
    /// Maximum number of attempts per request, the first one included.
    pub attempts: u32,
    /// Seed of the requests' times and of the choice of front ends.
    pub seed: u64,
    /// Whether calls must never run twice: an attempt is then retried only after a rejection.
    pub fragile: bool,
}

/// Runs the load; returns once the last request has ended, or has taken longer than its attempts may.
pub fn run(load: LoadSettings, targets: Targets, metrics: Arc<Metrics>) {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut at_s = 0.0f64;
    let mut number = 0u64;
    while load.rate_per_s > 0.0 && at_s < load.seconds as f64 {
        let uniform = 1.0 - rng.random::<f64>();
        at_s += -uniform.ln() / load.rate_per_s.max(MIN_RATE_PER_S);
        if at_s >= load.seconds as f64 {
            break;
        }
        wait_until(at_s, &metrics);
        metrics.add(Counter::Offered);
        if in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            metrics.add(Counter::Failed);
            continue;
        }
        number += 1;
        let target_choices = (0..load.attempts).map(|_| rng.random::<f64>()).collect();
        let request = Request {
            number,
            target_choices,
            load,
            targets: targets.clone(),
            metrics: metrics.clone(),
        };
        in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = in_flight.clone();
        spawn(move || {
            request.send();
            in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
    drain(&load, &in_flight);
}

/// Waits until the run's clock is at `at_s`.
fn wait_until(at_s: f64, metrics: &Metrics) {
    loop {
        let now = metrics.clock.now();
        if now.is_paused {
            // The end of the pause is not known in advance, so the clock is polled.
            sleep(PAUSE_POLL);
        } else if now.seconds < at_s {
            sleep(Duration::from_secs_f64(at_s - now.seconds));
        } else {
            return;
        }
    }
}

/// Waits until no request is in flight, at most as long as all attempts of a request may take.
fn drain(load: &LoadSettings, in_flight: &AtomicUsize) {
    let longest_ms = load.wait_ms * u64::from(load.attempts) + DRAIN_MARGIN_MS;
    let deadline = Instant::now() + Duration::from_millis(longest_ms);
    while in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        sleep(DRAIN_POLL);
    }
}

/// A client's request, with all its attempts.
struct Request {
    number: u64,
    /// For each attempt, a random number in [0, 1) that chooses its front end.
    target_choices: Vec<f64>,
    load: LoadSettings,
    targets: Targets,
    metrics: Arc<Metrics>,
}

impl Request {
    /// Sends the request and retries it until it is served, or the settings of the load allow no further attempt.
    fn send(&self) {
        let started_at = Instant::now();
        for (attempt, choice) in self.target_choices.iter().enumerate() {
            if attempt > 0 {
                self.metrics.add(Counter::Retried);
            }
            let response = self.attempt(attempt, self.target(*choice));
            let was_rejected = match response {
                Some(Response { status: 200, .. }) => {
                    let latency_us = started_at.elapsed().as_micros() as u64;
                    return self.metrics.record_served(latency_us);
                }
                Some(Response {
                    status: 503,
                    wait_ms: Some(_),
                    ..
                }) => {
                    self.metrics.add(Counter::Refused);
                    true
                }
                Some(_) => false,
                None => {
                    self.metrics.add(Counter::Unanswered);
                    false
                }
            };
            if self.load.fragile && !was_rejected {
                break;
            }
        }
        self.metrics.add(Counter::Failed);
    }

    /// Returns the address of the front end for an attempt; `choice` is the attempt's random number.
    fn target(&self, choice: f64) -> SocketAddr {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let index = (choice * targets.len() as f64) as usize;
        targets[index.min(targets.len() - 1)]
    }

    /// Makes one attempt. `None`: no complete response came within the maximum wait and [`RESPONSE_MARGIN_MS`], or the
    /// connection failed.
    fn attempt(&self, attempt: usize, target: SocketAddr) -> Option<Response> {
        let wait_ms = self.load.wait_ms;
        let mut stream = TcpStream::connect(target).ok()?;
        let timeout = Duration::from_millis(wait_ms + RESPONSE_MARGIN_MS);
        stream.set_read_timeout(Some(timeout)).ok()?;
        let bytes = request_bytes(self.number, attempt, wait_ms);
        stream.write_all(bytes.as_bytes()).ok()?;
        read_response(&mut stream, &mut Vec::new()).ok()
    }
}
