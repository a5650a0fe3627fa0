//! How much each front end may send to a worker that has just started, so that what all of them send together
//! cannot push it over (rule 4), though they share nothing. No I/O: time and randomness are handed in.
//!
//! The rule bounds the work that reaches a cold worker in any span of the settings' `fall`. From the settings alone
//! every front end works out the same allowance in calls for that span, and so the same number of seats: the front ends
//! that may send there, first in an order that the worker's name and their numbers draw. Each seat has an
//! account that starts empty, holds one call at the most and fills at a rate. All seats together then send no more than
//! the allowance in any span, however many front ends there are, whatever is asked of them, and though they
//! restart: an account that starts anew is empty, and a seat that goes unused is nobody else's.
//! docs/cold-workers.md weighs this against stored budgets, chance and slow start.
use crate::interface::{Micros, Settings};

/// Part of the allowance that is used: workers differ in size, and the smallest of a kind must stand.
const MARGIN: f64 = 0.7;
/// Least rate of a seat, and least that it may save up, as a part of its allowance: what is all cold must get
/// going, even where a worker can do less than a call in the span, and calls come in bunches.
const LEAST: f64 = 0.125;
/// The most that a class's calls weigh against the mean: a guard against one odd sample.
const HEAVIEST: f64 = 2.0;
/// Spans of the rule that a seat is held for: enough to save up a call and to send some.
const TURN: u64 = 2;

/// What the rule tells of cold workers, as the settings give it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rule {
    from: f64,
    within: Micros,
    multiple: f64,
    window: Micros,
    front_ends: u32,
    index: Option<u32>,
    /// Calls a second that all tenants' shares allow over all workers; 0 where none is told.
    quotas: f64,
    /// Whether another process of this front end has its seats.
    pub(crate) aside: bool,
}

/// What all front ends together may send to a cold worker in a span of `fall`, and who may send it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Allowance {
    /// The first of the front ends whose turn it is, in the worker's order, and how many they are.
    pub(crate) first: u32,
    pub(crate) seats: u32,
    front_ends: u32,
    /// What the account of each gains, in calls for each microsecond.
    pub(crate) rate: f64,
    /// The most that an account holds, in calls.
    pub(crate) depth: f64,
}

/// A front end's account with one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    /// Calls that could be sent when it was last brought up to date.
    stored: f64,
    at: Micros,
    /// What it gains in a microsecond, and the most that it holds; nothing while others have the seats.
    rate: f64,
    depth: f64,
    /// Our place in the worker's order of front ends.
    rank: Option<u32>,
}

impl Rule {
    pub(crate) fn new(set: &Settings) -> Rule {
        let told = |v: f64| if v.is_finite() { v.max(0.0) } else { 0.0 };
        let front_ends = set.front_ends.max(1);
        let index = if front_ends == 1 {
            Some(0)
        } else {
            set.front_end_index.filter(|&i| i < front_ends)
        };
        Rule {
            from: told(set.slow_start_from).min(1.0),
            within: set.slow_start_duration,
            multiple: told(set.overload_multiple),
            window: set.overload_window,
            front_ends,
            index,
            quotas: set.tenants.iter().map(|t| told(t.quota_per_s)).sum(),
            aside: false,
        }
    }

    /// What part of its full capacity a worker has for certain; `None` once it is warm, or where there is no
    /// rule. A start that lies ahead (clocks differ) is one just now; 0 is long ago.
    pub(crate) fn share(&self, started_at: Micros, now: Micros) -> Option<f64> {
        let age = now.saturating_sub(started_at);
        if started_at == 0 || self.multiple <= 0.0 || age >= self.within {
            return None;
        }
        Some(self.from + (1.0 - self.from) * age as f64 / self.within as f64)
    }

    /// Calls a second that a warm worker can do for all: by the tenants' shares, which are part of what the
    /// fleet can do, else `seen`.
    pub(crate) fn capacity(&self, workers: usize, seen: f64) -> f64 {
        if self.quotas > 0.0 {
            self.quotas / workers.max(1) as f64
        } else {
            seen
        }
    }

    /// Calls that a worker of this share of a capacity of `calls` a second may be sent in the span.
    fn all(&self, share: f64, calls: f64) -> f64 {
        (self.multiple * share * calls * MARGIN * self.window.max(1) as f64 / 1e6).max(1e-6)
    }

    /// Half of the allowance may be stored, half comes in the span; without a number of its own each front end
    /// takes a seat by chance, and half as many on the mean leave room for that.
    fn part(&self) -> f64 {
        [4.0, 2.0][usize::from(self.index.is_some())]
    }

    fn seats(&self, all: f64) -> f64 {
        (all / self.part())
            .floor()
            .clamp(1.0, f64::from(self.front_ends))
    }

    /// The allowance `age` after a worker's start, where a warm one can do `calls` a second and the dearest class
    /// weighs `depth` calls; `None` once it is warm. The seats go on in turn, as many at a time as the worker
    /// bears at the turn's begin: who sends seldom wastes no more than a turn, and each has its own.
    pub(crate) fn allowance(&self, age: Micros, calls: f64, depth: f64) -> Option<Allowance> {
        let (now, turn) = (
            self.share(1, age.saturating_add(1))?,
            TURN * self.window.max(1),
        );
        let begin =
            |n: u64| self.seats(self.all(self.share(1, n * turn + 1).unwrap_or(1.0), calls));
        // Within the time that is told for warming up there are few turns, unless the settings are odd.
        let (turns, front_ends) = ((age / turn).min(1_000), self.front_ends);
        let first = (0..turns).map(begin).sum::<f64>() as u64 % u64::from(front_ends);
        let (all, seats) = (self.all(now, calls), begin(turns));
        let each = all / seats / (self.part() / 2.0);
        let depth = depth.max(each * LEAST);
        let rate = (each - depth).max(each * LEAST) / self.window.max(1) as f64;
        Some(Allowance {
            first: first as u32,
            seats: seats as u32,
            front_ends,
            rate,
            depth,
        })
    }

    /// The place of this front end in the order of those that may send to a worker: by the draw of all numbers where
    /// ours is told, else by chance.
    pub(crate) fn rank(&self, worker: &str, chance: u64) -> u32 {
        let Some(own) = self.index else {
            return (((chance & 0xffff_ffff) * u64::from(self.front_ends)) >> 32) as u32;
        };
        let key = |n: u32| (crate::state::draw(u64::from(n) + 1, worker), n);
        let ours = key(own);
        (0..self.front_ends).filter(|&n| key(n) > ours).count() as u32
    }
}

/// What a call weighs whose class takes `own` to serve, against the mean of the classes told: one at the least.
pub(crate) fn weight(told: &[f64], own: f64) -> f64 {
    let mean = told.iter().sum::<f64>() / told.len().max(1) as f64;
    (own / mean.max(1.0)).clamp(1.0, HEAVIEST)
}

impl Account {
    /// The worker's process is new: what was stored for the one before is void, and so it stays within the rule
    /// though it starts many times.
    pub(crate) fn started(&mut self) {
        *self = Account::default();
    }

    /// Whether this front end has one of the seats.
    pub(crate) fn seated(&self, allowance: &Allowance) -> bool {
        let Allowance {
            first,
            seats,
            front_ends,
            ..
        } = *allowance;
        self.rank
            .is_some_and(|r| (r + front_ends - first) % front_ends < seats)
    }

    /// Our place in the worker's order, once drawn.
    pub(crate) fn place(&mut self, rank: impl FnOnce() -> u32) {
        self.rank.get_or_insert_with(rank);
    }

    /// What may be sent now.
    fn holds(&self, now: Micros) -> f64 {
        (self.stored + self.rate * now.saturating_sub(self.at) as f64).min(self.depth)
    }

    /// Takes the allowance as it is from now on: a seat gains by its rate, others have nothing.
    pub(crate) fn allow(&mut self, now: Micros, allowance: &Allowance) {
        let seated = self.seated(allowance);
        self.stored = if seated { self.holds(now) } else { 0.0 };
        self.at = now;
        (self.rate, self.depth) = if seated {
            (allowance.rate, allowance.depth)
        } else {
            (0.0, 0.0)
        };
    }

    /// Whether a call of this weight may be sent now. It is not rounded to the times at which allowances are
    /// taken: a seat that may send every few milliseconds does.
    pub(crate) fn admits(&self, now: Micros, weight: f64) -> bool {
        self.depth > 0.0 && self.holds(now) >= weight
    }

    /// A call of this weight was sent.
    pub(crate) fn spend(&mut self, now: Micros, weight: f64) {
        (self.stored, self.at) = (self.holds(now) - weight, now);
    }
}
