//! The load: an open loop of KServe v2 infer requests at seeded Poisson times, each sent to a front end chosen at
//! random; a 500 or 503 is retried at once at another, up to the scenario's attempts, as clients in a retry storm do.
//! Each attempt must end in exactly one response.
use crate::coroutine::{pause, spawn};
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

/// The most requests in flight; past it a request is counted failed at once (the bound on memory).
const MAX_IN_FLIGHT: usize = 4096;
/// How often the load looks whether the run's time goes on again.
const PAUSE_POLL: Duration = Duration::from_millis(5);
/// How often it looks whether the last requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long the last requests may take beyond the waits of all their attempts.
const DRAIN_MARGIN_MS: u64 = 5000;
/// How long a response may take beyond the request's wait.
const RESPONSE_MARGIN_MS: u64 = 1000;
/// The lowest rate that is computed with, a second: no division by zero.
const LOWEST_RATE: f64 = 1e-9;

/// Where the front ends accept clients, by index; a restart changes an entry.
pub type Targets = Arc<RwLock<Vec<SocketAddr>>>;

/// The load's shape.
#[derive(Clone, Copy)]
pub struct LoadSettings {
    /// First attempts a second.
    pub rate_per_s: f64,
    /// How long new requests come.
    pub seconds: u64,
    /// The wait that each request allows.
    pub wait_ms: u64,
    /// The most attempts of a request.
    pub attempts: u32,
    /// Seeds the times and the choice of front ends.
    pub seed: u64,
    /// Whether a request is retried after a rejection only.
    pub fragile: bool,
}

/// Runs the load to its end; returns when the last request has ended.
pub fn run(load: LoadSettings, targets: Targets, metrics: Arc<Metrics>) {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut at_s = 0.0f64;
    let mut number = 0u64;
    while load.rate_per_s > 0.0 && at_s < load.seconds as f64 {
        let chance = 1.0 - rng.random::<f64>();
        at_s += -chance.ln() / load.rate_per_s.max(LOWEST_RATE);
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
        let choices = (0..load.attempts).map(|_| rng.random::<f64>()).collect();
        let request = Request {
            number,
            choices,
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

/// Waits until the run's time is `at_s`.
fn wait_until(at_s: f64, metrics: &Metrics) {
    loop {
        let now = metrics.clock.now();
        if now.is_paused {
            // The run's time does not come nearer: look again soon.
            pause(PAUSE_POLL);
        } else if now.seconds < at_s {
            pause(Duration::from_secs_f64(at_s - now.seconds));
        } else {
            return;
        }
    }
}

/// Waits until no request is in flight, for as long as one may take.
fn drain(load: &LoadSettings, in_flight: &AtomicUsize) {
    let longest_ms = load.wait_ms * u64::from(load.attempts) + DRAIN_MARGIN_MS;
    let deadline = Instant::now() + Duration::from_millis(longest_ms);
    while in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        pause(DRAIN_POLL);
    }
}

/// One request.
struct Request {
    number: u64,
    /// For each attempt a number in [0, 1) that chooses its front end.
    choices: Vec<f64>,
    load: LoadSettings,
    targets: Targets,
    metrics: Arc<Metrics>,
}

impl Request {
    /// Sends the request, and retries it as far as the load's settings allow.
    fn send(&self) {
        let begun = Instant::now();
        for (attempt, choice) in self.choices.iter().enumerate() {
            if attempt > 0 {
                self.metrics.add(Counter::Retried);
            }
            let response = self.attempt(attempt, self.target(*choice));
            let was_rejected = match response {
                Some(Response { status: 200, .. }) => {
                    let latency = begun.elapsed().as_micros() as u64;
                    return self.metrics.record_served(latency);
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

    /// The front end of an attempt.
    fn target(&self, choice: f64) -> SocketAddr {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let index = (choice * targets.len() as f64) as usize;
        targets[index.min(targets.len() - 1)]
    }

    /// One attempt: its response, or none if it did not come within the wait and a second.
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
