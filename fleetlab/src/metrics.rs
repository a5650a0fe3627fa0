//! The counters and latency histograms of a run, per second, which the load generator and all workers update.
use crate::clock::Clock;
use hdrhistogram::Histogram;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of seconds after the end of the load that are counted: requests end after they start.
const EXTRA_SECONDS: usize = 5;
/// Maximum latency that a histogram can record, in microseconds: a minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the histograms in significant decimal digits.
const LATENCY_DIGITS: u8 = 2;

/// What is counted in each second of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that the load generator started, retries not counted.
    Offered,
    /// Attempts after the first of a request.
    Retried,
    /// Requests that were served.
    Served,
    /// Attempts that were rejected: answered with 503 and the header `Srv-Wait-Ms`.
    Refused,
    /// Requests that were not served by any of their attempts, counted at the end of the last one; also requests that
    /// were not sent because too many were in flight.
    Failed,
    /// Attempts without a complete response: none came within the maximum wait and a second, or the connection failed.
    Unanswered,
    /// Calls that reached a worker.
    Calls,
    /// Calls that reached a worker completely although they may have run before.
    Repeats,
    /// The front ends' health checks that reached a worker: requests for the state of its functions or its load.
    Probes,
}

impl Counter {
    /// Number of counters.
    const COUNT: usize = 9;

    /// Index of the counter in an array with one entry per counter.
    fn index(self) -> usize {
        self as usize
    }
}

/// A call that reached a cold worker.
struct ColdCall {
    /// Time of the call (`Clock::elapsed_s`).
    at_s: f64,
    /// Index of the worker.
    worker: usize,
}

/// Counters per second of the run, and histograms of the latencies of served requests per second in which they ended. A
/// latency is the time from the start of the first attempt to the response, in µs.
pub struct Metrics {
    /// The clock of the run.
    pub clock: Clock,
    counts: Vec<[AtomicU64; Counter::COUNT]>,
    latencies: Mutex<Vec<Histogram<u64>>>,
    /// Numbers of the requests that may have run at a worker.
    may_have_run: Mutex<HashSet<u64>>,
    cold_calls: Mutex<Vec<ColdCall>>,
}

impl Metrics {
    /// Creates counters for a load of `seconds` seconds and for `EXTRA_SECONDS` after it. The clock is paused.
    pub fn new(seconds: u64) -> Metrics {
        let seconds = seconds as usize + EXTRA_SECONDS;
        Metrics {
            clock: Clock::paused(),
            counts: (0..seconds)
                .map(|_| std::array::from_fn(|_| AtomicU64::new(0)))
                .collect(),
            latencies: Mutex::new((0..seconds).map(|_| new_histogram()).collect()),
            may_have_run: Mutex::default(),
            cold_calls: Mutex::default(),
        }
    }

    /// Returns the present second of the run; later seconds than the last one that is counted go into that one.
    fn second(&self) -> usize {
        (self.clock.now().seconds as usize).min(self.counts.len() - 1)
    }

    /// Adds one to a counter in the present second.
    pub fn add(&self, counter: Counter) {
        self.counts[self.second()][counter.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call of this request reached a worker completely. `may_have_run` is false where the worker
    /// answers that the call did not run.
    pub fn record_call(&self, request: u64, may_have_run: bool) {
        let mut requests = lock(&self.may_have_run);
        if requests.contains(&request) {
            self.add(Counter::Repeats);
        }
        if may_have_run {
            requests.insert(request);
        }
    }

    /// Records a call that reached a cold worker. The load limits the number of records.
    pub fn record_cold_call(&self, worker: usize) {
        let at_s = self.clock.elapsed_s();
        lock(&self.cold_calls).push(ColdCall { at_s, worker });
    }

    /// Returns the maximum over all spans of one second: the calls that reached a cold worker, divided by the limit
    /// that `allowed` gives for the worker's age at the end of the span. `start_s` is the worker's start
    /// (`Clock::elapsed_s`), and `allowed` takes an age in seconds. 0 if no call came.
    pub fn peak_ratio(&self, worker: usize, start_s: f64, allowed: impl Fn(f64) -> f64) -> f64 {
        let cold_calls = lock(&self.cold_calls);
        let at_worker = cold_calls.iter().filter(|call| call.worker == worker);
        let mut times: Vec<f64> = at_worker.map(|call| call.at_s).collect();
        times.sort_by(f64::total_cmp);
        let mut peak = 0.0f64;
        for (index, &end) in times.iter().enumerate() {
            let in_second = times[..=index]
                .iter()
                .rev()
                .take_while(|&&time| time > end - 1.0)
                .count();
            peak = peak.max(in_second as f64 / allowed(end - start_s));
        }
        peak
    }

    /// Records a served request and its latency in µs.
    pub fn record_served(&self, latency_us: u64) {
        self.add(Counter::Served);
        let second = self.second();
        // Fails only for a latency above MAX_LATENCY_US; such a request counts as served but is not in the histogram.
        let _ = lock(&self.latencies)[second].record(latency_us.max(1));
    }

    /// Returns a counter's value in a second of the run; 0 for a second that is not counted.
    pub fn count(&self, second: usize, counter: Counter) -> u64 {
        self.counts
            .get(second)
            .map_or(0, |counts| counts[counter.index()].load(Ordering::Relaxed))
    }

    /// Number of seconds that are counted.
    pub fn seconds(&self) -> usize {
        self.counts.len()
    }

    /// Returns a counter's sum over the run.
    pub fn total(&self, counter: Counter) -> u64 {
        (0..self.seconds())
            .map(|second| self.count(second, counter))
            .sum()
    }

    /// Returns a quantile of the latencies in a second, in ms; 0 if no request was served in it.
    pub fn quantile_ms(&self, second: usize, quantile: f64) -> f64 {
        histogram_quantile_ms(&lock(&self.latencies)[second], quantile)
    }

    /// Returns a quantile of the latencies of the run, in ms; 0 if no request was served.
    pub fn total_quantile_ms(&self, quantile: f64) -> f64 {
        let mut total = new_histogram();
        for latencies in lock(&self.latencies).iter() {
            total.add(latencies).expect("the same bounds");
        }
        histogram_quantile_ms(&total, quantile)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("bounds in order")
}

fn histogram_quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}

/// Locks a mutex, also one that a panic has poisoned: the counts up to the panic are valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
