//! Slow start: how much each front end may send to a worker whose process has just started.
//!
//! What all front ends send together must not overload such a worker, though they share nothing. The rule bounds the
//! work that reaches it in any span of the settings' `overload_window`. From the settings alone every front end works
//! out the same allowance in requests for that span, and so the same number of senders: the front ends that may send
//! there now, in an order that rendezvous hashing gives for the worker's name. Each sender has an account that starts
//! empty, holds about one request and fills at a rate. All senders together then stay within the allowance in any span,
//! however many front ends there are, whatever is asked of them, and though they restart: an account that starts anew
//! is empty, and the part of a sender that sends nothing goes to nobody else.
//!
//! No I/O: time and randomness are arguments. docs/cold-workers.md weighs this against stored budgets, chance and a
//! plain ramp.
use crate::rendezvous;
use crate::settings::Settings;
use crate::types::Micros;

/// Part of the allowance that is used: workers differ in size, and the smallest of a kind must not be overloaded.
const SAFETY_MARGIN: f64 = 0.7;
/// Least rate of a sender, and least that it may save up, as a part of its allowance: workers must get going even where
/// all are in slow start and one can do less than a request in the span, and requests come in bunches.
const LEAST_PART: f64 = 0.125;
/// The most that a class's requests weigh against the mean: a guard against one odd sample.
const HEAVIEST_REQUEST: f64 = 2.0;
/// Windows of the rule for which a front end stays a sender: enough to save up a request and to send some.
const WINDOWS_PER_TURN: u64 = 2;
/// Requests of the allowance for each sender: half of it may be saved up, half comes in the span.
const REQUESTS_PER_SENDER: f64 = 2.0;
/// The same where front ends are not numbered: each takes its place by chance, and half as many senders on the mean
/// leave a margin for that.
const REQUESTS_PER_RANDOM_SENDER: f64 = 4.0;
/// Turns that are counted: within the time of slow start there are few, unless the settings are odd.
const MAX_TURNS: u64 = 1_000;
/// Least allowance, in requests: it divides.
const LEAST_ALLOWANCE: f64 = 1e-6;
/// Any start that is not "long ago", for ages counted from 0.
const START_OF_AGES: Micros = 1;

/// The rule on workers in slow start, as the settings give it, and whether this process keeps to the sidelines.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// Share of its capacity with which a worker starts.
    initial_share: f64,
    duration: Micros,
    overload_multiple: f64,
    overload_window: Micros,
    front_ends: u32,
    front_end_index: Option<u32>,
    /// Requests a second that all tenants' quotas allow over all workers; 0 where none is stated.
    quotas: f64,
    /// Whether another process of this front end sends in its place.
    standby: bool,
}

/// What all front ends together may send to a worker in slow start within the overload window, and who may send it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowance {
    /// Rank of the first sender, and how many senders there are from it on.
    first_sender: u32,
    senders: u32,
    front_ends: u32,
    /// What the account of each sender gains, in requests a microsecond.
    rate: f64,
    /// The most that an account holds, in requests.
    capacity: f64,
}

impl Allowance {
    fn includes(&self, rank: u32) -> bool {
        (rank + self.front_ends - self.first_sender) % self.front_ends < self.senders
    }
}

impl SlowStart {
    pub(crate) fn new(settings: &Settings) -> SlowStart {
        let front_ends = settings.front_ends.max(1);
        let stated_index = settings.front_end_index.filter(|&index| index < front_ends);
        SlowStart {
            initial_share: sane(settings.slow_start_initial_share).min(1.0),
            duration: settings.slow_start_duration,
            overload_multiple: sane(settings.overload_multiple),
            overload_window: settings.overload_window,
            front_ends,
            front_end_index: if front_ends == 1 {
                Some(0)
            } else {
                stated_index
            },
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| sane(tenant.quota_per_s))
                .sum(),
            standby: false,
        }
    }

    /// Leaves the sending to another process of this front end, or resumes it. Returns whether that is a change: then
    /// all accounts have to be reset.
    pub(crate) fn set_standby(&mut self, standby: bool) -> bool {
        std::mem::replace(&mut self.standby, standby) != standby
    }

    /// What part of its full capacity a worker has for certain; `None` once it has all of it, or where there is no
    /// rule. A start in the future (clocks differ) counts as one just now; 0 is long ago.
    pub(crate) fn capacity_share(&self, started_at: Micros, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(started_at);
        if started_at == 0 || self.overload_multiple <= 0.0 || age >= self.duration {
            return None;
        }
        Some(self.initial_share + (1.0 - self.initial_share) * age as f64 / self.duration as f64)
    }

    /// Requests a second that a warm worker can do for all front ends: by the tenants' quotas, which are part of what
    /// the workers can do, else `observed`.
    pub(crate) fn worker_capacity(&self, workers: usize, observed: f64) -> f64 {
        if self.quotas > 0.0 {
            self.quotas / workers.max(1) as f64
        } else {
            observed
        }
    }

    /// Brings an account with a worker up to date. A warm worker can do `worker_capacity` requests a second, and the
    /// most expensive class weighs `heaviest` requests; `chance` decides the rank of a front end without a number.
    pub(crate) fn refresh(
        &self,
        account: &mut Account,
        worker: &WorkerStart,
        now: Micros,
        chance: u64,
    ) {
        let age = now.saturating_sub(worker.started_at);
        let Some(allowance) = self.allowance(age, worker.capacity, worker.heaviest_request) else {
            return;
        };
        let rank = *account
            .rank
            .get_or_insert_with(|| self.rank(worker.name, chance));
        account.refresh(now, &allowance, allowance.includes(rank));
    }

    /// Whether the accounts with a worker are in use: it is in slow start, and this process is not on standby.
    pub(crate) fn applies(&self, started_at: Micros, now: Micros) -> bool {
        !self.standby && self.capacity_share(started_at, now).is_some()
    }

    /// Requests that a worker with this share of a capacity of `requests_per_s` may be sent in the window.
    fn requests_in_window(&self, share: f64, requests_per_s: f64) -> f64 {
        let window = self.overload_window.max(1) as f64;
        let requests =
            self.overload_multiple * share * requests_per_s * SAFETY_MARGIN * window / 1e6;
        requests.max(LEAST_ALLOWANCE)
    }

    fn requests_per_sender(&self) -> f64 {
        if self.front_end_index.is_some() {
            REQUESTS_PER_SENDER
        } else {
            REQUESTS_PER_RANDOM_SENDER
        }
    }

    fn senders(&self, requests: f64) -> f64 {
        (requests / self.requests_per_sender())
            .floor()
            .clamp(1.0, f64::from(self.front_ends))
    }

    /// The allowance `age` after a worker's start; `None` once it has its full capacity. The senders change in turns,
    /// as many at a time as the worker bears at the turn's begin: a front end that sends seldom wastes no more than a
    /// turn, and each has its own.
    fn allowance(
        &self,
        age: Micros,
        requests_per_s: f64,
        heaviest_request: f64,
    ) -> Option<Allowance> {
        let window = self.overload_window.max(1);
        let turn_length = WINDOWS_PER_TURN * window;
        let share = self.capacity_share(START_OF_AGES, age.saturating_add(START_OF_AGES))?;
        let senders_of_turn = |turn: u64| {
            let begin = turn * turn_length + START_OF_AGES;
            let share = self.capacity_share(START_OF_AGES, begin).unwrap_or(1.0);
            self.senders(self.requests_in_window(share, requests_per_s))
        };
        let turn = (age / turn_length).min(MAX_TURNS);
        let senders_before = (0..turn).map(senders_of_turn).sum::<f64>() as u64;
        let first_sender = senders_before % u64::from(self.front_ends);
        let senders = senders_of_turn(turn);
        let requests = self.requests_in_window(share, requests_per_s);
        let per_sender = requests / senders / (self.requests_per_sender() / 2.0);
        let least = per_sender * LEAST_PART;
        let capacity = heaviest_request.max(least);
        Some(Allowance {
            first_sender: first_sender as u32,
            senders: senders as u32,
            front_ends: self.front_ends,
            rate: (per_sender - capacity).max(least) / window as f64,
            capacity,
        })
    }

    /// The rank of this front end among those that may send to a worker: by rendezvous hashing of all numbers where
    /// its own is stated, else by chance.
    fn rank(&self, worker: &str, chance: u64) -> u32 {
        let Some(own_index) = self.front_end_index else {
            return (((chance & 0xffff_ffff) * u64::from(self.front_ends)) >> 32) as u32;
        };
        let weight = |index: u32| (rendezvous::weight(u64::from(index) + 1, worker), index);
        let own_weight = weight(own_index);
        (0..self.front_ends)
            .filter(|&index| weight(index) > own_weight)
            .count() as u32
    }
}

fn sane(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

/// What a request weighs whose class takes `own` to serve, against the mean of the known classes: one at the least.
pub(crate) fn request_weight(class_service_times: &[f64], own: f64) -> f64 {
    let classes = class_service_times.len().max(1) as f64;
    let mean = class_service_times.iter().sum::<f64>() / classes;
    (own / mean.max(1.0)).clamp(1.0, HEAVIEST_REQUEST)
}

/// A worker as the rule sees it.
pub(crate) struct WorkerStart<'a> {
    pub(crate) name: &'a str,
    pub(crate) started_at: Micros,
    /// Requests a second that it can do once it is warm.
    pub(crate) capacity: f64,
    /// What the most expensive class weighs, in mean requests.
    pub(crate) heaviest_request: f64,
}

/// A front end's account with one worker in slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    /// Requests that could be sent at the last update.
    balance: f64,
    updated_at: Micros,
    /// What it gains in a microsecond, and the most that it holds; 0 while others are the senders.
    rate: f64,
    capacity: f64,
    /// This front end's rank in the worker's order, once drawn.
    rank: Option<u32>,
}

impl Account {
    /// The worker's process is new: what was saved up for the one before is void, so that the rule holds though a
    /// worker starts many times.
    pub(crate) fn reset(&mut self) {
        *self = Account::default();
    }

    fn balance(&self, now: Micros) -> f64 {
        let gained = self.rate * now.saturating_sub(self.updated_at) as f64;
        (self.balance + gained).min(self.capacity)
    }

    /// Applies the allowance from now on: a sender gains by its rate, others have nothing.
    fn refresh(&mut self, now: Micros, allowance: &Allowance, is_sender: bool) {
        if is_sender {
            self.balance = self.balance(now);
            self.rate = allowance.rate;
            self.capacity = allowance.capacity;
        } else {
            self.balance = 0.0;
            self.rate = 0.0;
            self.capacity = 0.0;
        }
        self.updated_at = now;
    }

    /// Whether a request of this weight may be sent now. It is not rounded to the times at which allowances are
    /// applied: a sender that may send every few milliseconds does.
    pub(crate) fn admits(&self, now: Micros, weight: f64) -> bool {
        self.capacity > 0.0 && self.balance(now) >= weight
    }

    /// A request of this weight was sent.
    pub(crate) fn spend(&mut self, now: Micros, weight: f64) {
        self.balance = self.balance(now) - weight;
        self.updated_at = now;
    }
}
