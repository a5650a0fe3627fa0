//! What the lab counts, second by second of the run, from every stand-in at once.
use crate::clock::Clock;
use hdrhistogram::Histogram;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The counts of one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests begun by the gateways (first attempts).
    Offered,
    /// Attempts sent to a front end beyond the first of a request.
    Retried,
    /// Requests that ended served.
    Served,
    /// Answers of 503 with a wait told (refusals), each attempt's.
    Refused,
    /// Requests that ended without being served, after their last attempt.
    Failed,
    /// Attempts that got no answer in time (wait plus a second), or a cut connection.
    Unanswered,
    /// Calls that reached a stand-in worker.
    Calls,
    /// Calls that came whole to a worker though they may have run before.
    Repeats,
    /// Asks for a function's state or loads that reached a worker (the program's probes).
    Probes,
}

const KINDS: usize = 9;

/// Per-second counts and latencies of served requests (µs, first attempt to answer).
pub struct Metrics {
    /// The run's time.
    pub clock: Clock,
    counts: Vec<[AtomicU64; KINDS]>,
    latency: Mutex<Vec<Histogram<u64>>>,
    /// The numbers of the requests that may have run at a worker.
    ran: Mutex<HashSet<u64>>,
    /// When each call reached a worker that is watched, real s, and which.
    reached: Mutex<Vec<(f64, usize)>>,
}

impl Metrics {
    /// Room for `seconds` seconds and a few more for what ends late.
    pub fn new(seconds: u64) -> Metrics {
        let n = seconds as usize + 5;
        let latency = (0..n)
            .map(|_| Histogram::new_with_bounds(1, 60_000_000, 2).expect("bounds"))
            .collect();
        Metrics {
            clock: Clock::stopped(),
            counts: (0..n)
                .map(|_| std::array::from_fn(|_| AtomicU64::new(0)))
                .collect(),
            latency: Mutex::new(latency),
            ran: Mutex::default(),
            reached: Mutex::new(Vec::new()),
        }
    }

    /// The second of the run now.
    pub fn second(&self) -> usize {
        (self.clock.now().0 as usize).min(self.counts.len() - 1)
    }

    pub fn add(&self, what: Counter) {
        self.counts[self.second()][what as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// A call of this request came whole to a worker; `runs` unless the worker answers that it never did.
    pub fn came(&self, request: u64, runs: bool) {
        let mut ran = self
            .ran
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if ran.contains(&request) {
            self.add(Counter::Repeats);
        }
        if runs {
            ran.insert(request);
        }
    }

    /// A call reached a worker that is watched; bounded by the load's own bounds.
    pub fn reach(&self, worker: usize) {
        let now = self.clock.real_s();
        self.reached
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .push((now, worker));
    }

    /// The most calls that any second held at a worker, each counted as a part of what `allowed` gives at the
    /// age, s, of that second's end since `start`; 0 if none came.
    pub fn worst(&self, worker: usize, start: f64, allowed: impl Fn(f64) -> f64) -> f64 {
        let reached = self
            .reached
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut times: Vec<f64> = reached
            .iter()
            .filter(|r| r.1 == worker)
            .map(|r| r.0)
            .collect();
        times.sort_by(f64::total_cmp);
        let held = |end: usize| {
            times[..=end]
                .iter()
                .rev()
                .take_while(|&&t| t > times[end] - 1.0)
                .count()
        };
        (0..times.len())
            .map(|n| held(n) as f64 / allowed(times[n] - start))
            .fold(0.0, f64::max)
    }

    /// A served request's latency, µs.
    pub fn served(&self, micros: u64) {
        self.add(Counter::Served);
        let s = self.second();
        let mut l = self
            .latency
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = l[s].record(micros.max(1));
    }

    /// How many of a kind in second `s`.
    pub fn get(&self, s: usize, what: Counter) -> u64 {
        self.counts
            .get(s)
            .map_or(0, |c| c[what as usize].load(Ordering::Relaxed))
    }

    /// Seconds with room.
    pub fn seconds(&self) -> usize {
        self.counts.len()
    }

    /// The sum over the run of a kind.
    pub fn total(&self, what: Counter) -> u64 {
        (0..self.seconds()).map(|s| self.get(s, what)).sum()
    }

    /// Latency quantile `q` of second `s` (None for the whole run), ms.
    pub fn quantile_ms(&self, s: Option<usize>, q: f64) -> f64 {
        let l = self
            .latency
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut whole = Histogram::<u64>::new_with_bounds(1, 60_000_000, 2).expect("bounds");
        match s {
            Some(s) => whole.add(&l[s]).expect("same bounds"),
            None => l
                .iter()
                .try_for_each(|h| whole.add(h))
                .expect("same bounds"),
        }
        whole.value_at_quantile(q) as f64 / 1000.0
    }
}
