//! What the lab counts, second by second of the run, from every stand-in at once.
use crate::clock::Clock;
use hdrhistogram::Histogram;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Seconds counted beyond the load's, for what ends late.
const LATE_SECONDS: usize = 5;
/// The largest latency that a histogram distinguishes, in microseconds: a minute.
const LARGEST_LATENCY: u64 = 60_000_000;
/// Significant decimal digits of a histogram.
const LATENCY_DIGITS: u8 = 2;

/// The counts of one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests begun by the load generator (first attempts).
    Offered,
    /// Attempts sent to a front end beyond the first of a request.
    Retried,
    /// Requests that ended served.
    Served,
    /// Responses of 503 with Retry-After (rejections), each attempt's.
    Refused,
    /// Requests that ended without being served, after their last attempt.
    Failed,
    /// Attempts that got no response in time (wait plus a second), or a cut connection.
    Unanswered,
    /// Calls that reached a stand-in worker.
    Calls,
    /// Calls that reached a worker completely though they may have run before.
    Repeats,
    /// Requests for a function's state or load that reached a worker (the program's health checks).
    Probes,
}

impl Counter {
    /// How many there are.
    const NUMBER: usize = 9;

    /// Its place in arrays by counter.
    fn index(self) -> usize {
        self as usize
    }
}

/// A call that reached a cold worker.
struct ColdCall {
    /// When, in real seconds.
    at_s: f64,
    worker: usize,
}

/// Per-second counts, and histograms of the latencies of served requests (µs, first attempt to response).
pub struct Metrics {
    /// The run's time.
    pub clock: Clock,
    counts: Vec<[AtomicU64; Counter::NUMBER]>,
    latencies: Mutex<Vec<Histogram<u64>>>,
    /// The numbers of the requests that may have run at a worker.
    ran: Mutex<HashSet<u64>>,
    cold_calls: Mutex<Vec<ColdCall>>,
}

impl Metrics {
    /// Capacity for `seconds` seconds and a few more for what ends late.
    pub fn new(seconds: u64) -> Metrics {
        let seconds = seconds as usize + LATE_SECONDS;
        Metrics {
            clock: Clock::paused(),
            counts: (0..seconds)
                .map(|_| std::array::from_fn(|_| AtomicU64::new(0)))
                .collect(),
            latencies: Mutex::new((0..seconds).map(|_| histogram()).collect()),
            ran: Mutex::default(),
            cold_calls: Mutex::default(),
        }
    }

    /// The second of the run now.
    fn second(&self) -> usize {
        (self.clock.now().seconds as usize).min(self.counts.len() - 1)
    }

    /// Counts one in the second that it is.
    pub fn add(&self, counter: Counter) {
        self.counts[self.second()][counter.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// A call of this request reached a worker completely; `may_run` unless the worker answers that it never did.
    pub fn record_call(&self, request: u64, may_run: bool) {
        let mut ran = lock(&self.ran);
        if ran.contains(&request) {
            self.add(Counter::Repeats);
        }
        if may_run {
            ran.insert(request);
        }
    }

    /// A call reached a cold worker; their number is bounded by the load.
    pub fn record_cold_call(&self, worker: usize) {
        let at_s = self.clock.real_s();
        lock(&self.cold_calls).push(ColdCall { at_s, worker });
    }

    /// The most calls that reached a worker in any one second, each second as a part of what `allowed` gives for the
    /// worker's age at its end, in seconds since `start_s`; 0 if none came.
    pub fn worst_part(&self, worker: usize, start_s: f64, allowed: impl Fn(f64) -> f64) -> f64 {
        let cold_calls = lock(&self.cold_calls);
        let at_worker = cold_calls.iter().filter(|call| call.worker == worker);
        let mut times: Vec<f64> = at_worker.map(|call| call.at_s).collect();
        times.sort_by(f64::total_cmp);
        let mut worst = 0.0f64;
        for (index, &end) in times.iter().enumerate() {
            let in_second = times[..=index]
                .iter()
                .rev()
                .take_while(|&&time| time > end - 1.0)
                .count();
            worst = worst.max(in_second as f64 / allowed(end - start_s));
        }
        worst
    }

    /// A request was served; its latency, µs.
    pub fn record_served(&self, latency: u64) {
        self.add(Counter::Served);
        let second = self.second();
        // Refused only beyond the largest latency, which a request that is waited for does not reach.
        let _ = lock(&self.latencies)[second].record(latency.max(1));
    }

    /// The count of a second.
    pub fn count(&self, second: usize, counter: Counter) -> u64 {
        self.counts
            .get(second)
            .map_or(0, |counts| counts[counter.index()].load(Ordering::Relaxed))
    }

    /// Seconds that are counted.
    pub fn seconds(&self) -> usize {
        self.counts.len()
    }

    /// The count over the run.
    pub fn total(&self, counter: Counter) -> u64 {
        (0..self.seconds())
            .map(|second| self.count(second, counter))
            .sum()
    }

    /// A quantile of the latencies of a second, ms.
    pub fn quantile_ms(&self, second: usize, quantile: f64) -> f64 {
        milliseconds(&lock(&self.latencies)[second], quantile)
    }

    /// A quantile of the latencies of the run, ms.
    pub fn total_quantile_ms(&self, quantile: f64) -> f64 {
        let mut total = histogram();
        for latencies in lock(&self.latencies).iter() {
            total.add(latencies).expect("the same bounds");
        }
        milliseconds(&total, quantile)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST_LATENCY, LATENCY_DIGITS).expect("bounds in order")
}

fn milliseconds(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}

/// Locks, also after a panic: what was counted until then still holds.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
