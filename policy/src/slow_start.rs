//! Slow start: limits what each front end sends to a worker whose process has just started.
//!
//! All front ends together must not overload such a worker, although they share no state. Rule 4 bounds the work that
//! reaches it in any span of the length `overload_window` (settings). From the settings alone, each front end computes
//! the same allowance of requests for that span and, from it, the same number of senders: the front ends that may send
//! to the worker now. Rendezvous hashing by the worker's name gives the order in which front ends become senders. Each
//! sender has a token bucket for the worker that starts empty, holds about one request and refills at a fixed rate.
//! All senders together then stay within the allowance in any such span, whatever the number of front ends and the
//! traffic, and also when front ends restart: a new bucket is empty, and a share that a sender does not use is not
//! given to another.
//!
//! No I/O: time and randomness are arguments. docs/cold-workers.md compares this with stored budgets, random choice and
//! a plain ramp.
use crate::rendezvous;
use crate::settings::Settings;
use crate::types::Micros;

/// Fraction of the allowance that is used: workers differ in size, and the smallest of a kind must not be overloaded.
const SAFETY_MARGIN: f64 = 0.7;
/// Lower bound of a sender's bucket size and of its refill per window, as a fraction of the requests that each sender
/// may send in a window: requests come in bursts, and workers must get some even where all are in slow start and the
/// allowance for one is below one request.
const MIN_SENDER_FRACTION: f64 = 0.125;
/// Maximum weight of a class's requests against the mean: guards against a single outlier among the service times.
const MAX_REQUEST_WEIGHT: f64 = 2.0;
/// Overload windows for which a front end stays a sender: long enough to fill the bucket and to send some requests.
const WINDOWS_PER_TURN: u64 = 2;
/// The number of senders is the allowance, in requests, divided by this: in a window each may then send about one
/// request from its bucket and one from the refill.
const REQUESTS_PER_SENDER: f64 = 2.0;
/// The divisor of the allowance that gives the number of senders where the front end's index is not stated. Each front
/// end then draws its rank at random, so the number of those that send varies; half as many on average, each sending as
/// much, leave a margin for that.
const REQUESTS_PER_RANDOM_SENDER: f64 = 4.0;
/// Bounds the loop over past turns; there are fewer within slow start unless the settings are extreme.
const MAX_COUNTED_TURNS: u64 = 1_000;
/// Minimum of the allowance, in requests: it is a divisor.
const MIN_REQUESTS_IN_WINDOW: f64 = 1e-6;
/// Start time of a worker for calculations by its age alone; not 0, which means that the start was long ago.
const ORIGIN_START: Micros = 1;

/// Rule 4, which limits what workers in slow start are sent, with the settings that it depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// Share of its full capacity that a worker has when it starts.
    initial_share: f64,
    /// Time after its start at which a worker has its full capacity; the share grows linearly until then.
    duration: Micros,
    /// A worker fails when it is sent more than this multiple of its capacity for `overload_window`; 0: no limit.
    overload_multiple: f64,
    overload_window: Micros,
    front_ends: u32,
    /// This front end's index, counted from 0; `None` where it is not stated.
    front_end_index: Option<u32>,
    /// Sum of the tenants' quotas over all workers, in requests per second; 0 where none is stated.
    total_quota_per_s: f64,
    /// Whether another process of this front end sends to workers in slow start, and this one does not.
    standby: bool,
}

/// What all front ends together may send to a worker in slow start within the overload window, and which may send it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowance {
    /// Rank of the first sender.
    first_sender: u32,
    /// Number of senders: their ranks follow that of the first, modulo `front_ends`.
    senders: u32,
    front_ends: u32,
    /// Refill of each sender's bucket, in requests per microsecond.
    refill_rate: f64,
    /// Maximum that a sender's bucket holds, in requests.
    bucket_size: f64,
}

impl Allowance {
    /// Whether the front end of this rank is a sender.
    fn includes(&self, rank: u32) -> bool {
        (rank + self.front_ends - self.first_sender) % self.front_ends < self.senders
    }
}

impl SlowStart {
    pub(crate) fn new(settings: &Settings) -> SlowStart {
        let front_ends = settings.front_ends.max(1);
        let stated_index = settings.front_end_index.filter(|&index| index < front_ends);
        SlowStart {
            initial_share: non_negative(settings.slow_start_initial_share).min(1.0),
            duration: settings.slow_start_duration,
            overload_multiple: non_negative(settings.overload_multiple),
            overload_window: settings.overload_window,
            front_ends,
            front_end_index: if front_ends == 1 {
                Some(0)
            } else {
                stated_index
            },
            total_quota_per_s: settings
                .tenants
                .iter()
                .map(|tenant| non_negative(tenant.quota_per_s))
                .sum(),
            standby: false,
        }
    }

    /// Sets whether sending to workers in slow start is left to another process of this front end. Returns whether that
    /// is a change: the caller must then reset all buckets.
    pub(crate) fn set_standby(&mut self, standby: bool) -> bool {
        std::mem::replace(&mut self.standby, standby) != standby
    }

    /// Share of its full capacity that a worker is guaranteed to have; `None` once it has all of it, or where the
    /// settings state no limit. A start in the future (clocks differ) counts as `now`; 0 stands for long ago.
    pub(crate) fn capacity_share(&self, started_at: Micros, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(started_at);
        if started_at == 0 || self.overload_multiple <= 0.0 || age >= self.duration {
            return None;
        }
        Some(self.initial_share + (1.0 - self.initial_share) * age as f64 / self.duration as f64)
    }

    /// Requests per second that a worker past slow start can serve for all front ends: its part of the tenants' quotas,
    /// which are a fraction of what the workers can serve; `observed` where no quota is stated.
    pub(crate) fn worker_capacity(&self, workers: usize, observed: f64) -> f64 {
        if self.total_quota_per_s > 0.0 {
            self.total_quota_per_s / workers.max(1) as f64
        } else {
            observed
        }
    }

    /// Applies the worker's present allowance to its bucket. `random` gives the rank of a front end whose index is not
    /// stated, where the bucket has none yet.
    pub(crate) fn refresh(
        &self,
        bucket: &mut SendBucket,
        worker: &WorkerStart,
        now: Micros,
        random: u64,
    ) {
        let age = now.saturating_sub(worker.started_at);
        let Some(allowance) = self.allowance(age, worker.capacity, worker.heaviest_request) else {
            return;
        };
        let rank = *bucket
            .rank
            .get_or_insert_with(|| self.rank(worker.name, random));
        bucket.refresh(now, &allowance, allowance.includes(rank));
    }

    /// Whether a worker's bucket must be kept up to date: it is in slow start, and this process is not on standby.
    pub(crate) fn applies(&self, started_at: Micros, now: Micros) -> bool {
        !self.standby && self.capacity_share(started_at, now).is_some()
    }

    /// Allowance of a worker for one window, in mean requests: it has this share of its full capacity, which is
    /// `capacity_per_s` requests per second.
    fn requests_in_window(&self, share: f64, capacity_per_s: f64) -> f64 {
        let window = self.overload_window.max(1) as f64;
        let requests =
            self.overload_multiple * share * capacity_per_s * SAFETY_MARGIN * window / 1e6;
        requests.max(MIN_REQUESTS_IN_WINDOW)
    }

    fn requests_per_sender(&self) -> f64 {
        if self.front_end_index.is_some() {
            REQUESTS_PER_SENDER
        } else {
            REQUESTS_PER_RANDOM_SENDER
        }
    }

    /// Number of senders for an allowance of `requests`; at least one.
    fn senders(&self, requests: f64) -> f64 {
        (requests / self.requests_per_sender())
            .floor()
            .clamp(1.0, f64::from(self.front_ends))
    }

    /// The allowance `age` after a worker's start; `None` once it has its full capacity. The senders change from turn
    /// to turn; their number follows from the worker's share of its capacity at the turn's start. So every front end
    /// gets turns, and one that has little to send leaves its share unused for one turn only.
    fn allowance(
        &self,
        age: Micros,
        capacity_per_s: f64,
        heaviest_request: f64,
    ) -> Option<Allowance> {
        let window = self.overload_window.max(1);
        let turn_length = WINDOWS_PER_TURN * window;
        let share = self.capacity_share(ORIGIN_START, age.saturating_add(ORIGIN_START))?;
        let senders_of_turn = |turn: u64| {
            let turn_start = turn * turn_length + ORIGIN_START;
            let share = self.capacity_share(ORIGIN_START, turn_start).unwrap_or(1.0);
            self.senders(self.requests_in_window(share, capacity_per_s))
        };
        let turn = (age / turn_length).min(MAX_COUNTED_TURNS);
        let senders_before = (0..turn).map(senders_of_turn).sum::<f64>() as u64;
        let first_sender = senders_before % u64::from(self.front_ends);
        let senders = senders_of_turn(turn);
        let requests = self.requests_in_window(share, capacity_per_s);
        let per_sender = requests / senders / (self.requests_per_sender() / 2.0);
        let minimum = per_sender * MIN_SENDER_FRACTION;
        let bucket_size = heaviest_request.max(minimum);
        Some(Allowance {
            first_sender: first_sender as u32,
            senders: senders as u32,
            front_ends: self.front_ends,
            refill_rate: (per_sender - bucket_size).max(minimum) / window as f64,
            bucket_size,
        })
    }

    /// Position of this front end in the order of senders to a worker: by rendezvous hashing of all front ends' indexes
    /// where its own is stated, else uniformly random.
    fn rank(&self, worker: &str, random: u64) -> u32 {
        let Some(own_index) = self.front_end_index else {
            return (((random & 0xffff_ffff) * u64::from(self.front_ends)) >> 32) as u32;
        };
        let weight = |index: u32| (rendezvous::weight(u64::from(index) + 1, worker), index);
        let own_weight = weight(own_index);
        (0..self.front_ends)
            .filter(|&index| weight(index) > own_weight)
            .count() as u32
    }
}

/// The value if it is finite and not negative, else 0.
fn non_negative(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

/// Weight of a request whose class has the service time `own`, relative to the mean of the known classes; at least 1.
pub(crate) fn request_weight(class_service_times: &[f64], own: f64) -> f64 {
    let classes = class_service_times.len().max(1) as f64;
    let mean = class_service_times.iter().sum::<f64>() / classes;
    (own / mean.max(1.0)).clamp(1.0, MAX_REQUEST_WEIGHT)
}

/// What the allowance for a worker in slow start depends on.
pub(crate) struct WorkerStart<'a> {
    pub(crate) name: &'a str,
    pub(crate) started_at: Micros,
    /// Mean requests per second that the worker can serve for all front ends past slow start.
    pub(crate) capacity: f64,
    /// Weight of the most expensive class's requests, in mean requests.
    pub(crate) heaviest_request: f64,
}

/// A front end's token bucket for one worker in slow start. A token is a request of mean weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendBucket {
    /// Tokens at `updated_at`.
    tokens: f64,
    updated_at: Micros,
    /// Tokens gained per microsecond; 0 while this front end is not a sender.
    refill_rate: f64,
    /// Maximum number of tokens that the bucket holds; 0 while this front end is not a sender.
    size: f64,
    /// This front end's rank in the worker's order of senders; `None` until it is first needed.
    rank: Option<u32>,
}

impl SendBucket {
    /// Empties the bucket and forgets the rank. Called for each new process of the worker, so that tokens saved for the
    /// process before it are not spent on it and the limit holds even if a worker restarts often, and when standby
    /// begins or ends.
    pub(crate) fn reset(&mut self) {
        *self = SendBucket::default();
    }

    /// Tokens at `now`.
    fn available(&self, now: Micros) -> f64 {
        let gained = self.refill_rate * now.saturating_sub(self.updated_at) as f64;
        (self.tokens + gained).min(self.size)
    }

    /// Applies the allowance from `now` on: a sender's bucket refills at its rate, another front end's is empty.
    fn refresh(&mut self, now: Micros, allowance: &Allowance, is_sender: bool) {
        if is_sender {
            self.tokens = self.available(now);
            self.refill_rate = allowance.refill_rate;
            self.size = allowance.bucket_size;
        } else {
            self.tokens = 0.0;
            self.refill_rate = 0.0;
            self.size = 0.0;
        }
        self.updated_at = now;
    }

    /// Whether a request of this weight may be sent now. Tokens accrue continuously, not only when the allowance is
    /// applied, so that a sender that may send every few milliseconds does.
    pub(crate) fn admits(&self, now: Micros, weight: f64) -> bool {
        self.size > 0.0 && self.available(now) >= weight
    }

    /// Takes the tokens of a request of this weight that was sent.
    pub(crate) fn spend(&mut self, now: Micros, weight: f64) {
        self.tokens = self.available(now) - weight;
        self.updated_at = now;
    }
}
