//! What a gateway works out from what it remembers: estimates and running means. Nothing is decided here.
use crate::controller::{
    CROWD, DEFAULT_SPAN, LOAD_SLOW, PACE_KEPT, REPORT_FADE, SEC, SPANS, SURVEY,
};
use crate::interface::*;
use crate::slow_start;
use crate::state::*;
use crate::virtual_loss::theta;

const KEEP_USED: f64 = 0.9; // share of the told keep-alive that a belief lasts: travel time, slack
const BELIEVED: f64 = 4.0; // most keep-alives for which others' calls are trusted to keep a copy
const MEMORY_FULL: f64 = 0.65; // share of memory that our account fills before it drops what it replaces
const CALLS_COUNTED: f64 = 30.0; // rates are taken over so many calls, within `SPANS`
const RATE_SPAN: f64 = 0.5 * SEC as f64; // the least, for the rate of answers
const REPORT_KEPT: Micros = 20 * SEC; // the mean held takes in last reports so long: few calls, many workers

impl Controller {
    /// What part of its full capacity a started worker has for certain; `None` once it is warm.
    pub(crate) fn cold_share(&self, w: usize, now: Micros) -> Option<f64> {
        self.cold.share(self.workers[w].entry.started_at, now)
    }

    /// Leaves our seats at cold workers to another process of this front end, or takes them (again): two under one
    /// number would send twice the part of their seat. What was saved up is void either way.
    pub fn set_standby(&mut self, aside: bool) {
        if std::mem::replace(&mut self.cold.aside, aside) != aside {
            self.workers.iter_mut().for_each(|w| w.cold.started());
        }
    }

    /// What a call of a class weighs for the rule on cold workers: as its class does on the mean.
    pub(crate) fn weight(&self, class: usize) -> f64 {
        let told = &self.class_service[..self.class_service.len() - 1];
        let dearest = told.iter().copied().fold(0.0, f64::max);
        slow_start::weight(told, self.class_service[class].min(dearest))
    }

    /// Brings our accounts with the cold workers up to date. All gateways work out the same allowance where
    /// the tenants' shares are told; else one core a worker is granted, so that an all-cold fleet gets going,
    /// or what few gateways see it do.
    pub(crate) fn accounts(&mut self, now: Micros, ready: &[usize]) {
        let told = self.class_service.len() - 1;
        let mean = self.class_service[..told].iter().sum::<f64>() / told.max(1) as f64;
        let n = if self.many() {
            0.0
        } else {
            f64::from(self.set.front_ends.max(1))
        };
        let seen = (self.work_rate * n).max(1.0) * SEC as f64 / mean.max(1.0);
        let calls = self.cold.capacity(self.most_listed, seen);
        let depth = (0..told).map(|c| self.weight(c)).fold(1.0, f64::max);
        for &w in ready {
            let started_at = self.workers[w].entry.started_at;
            if self.cold.aside || self.cold.share(started_at, now).is_none() {
                continue;
            }
            let age = now.saturating_sub(started_at);
            let Some(allowance) = self.cold.allowance(age, calls, depth) else {
                continue;
            };
            let chance = self.random();
            let worker = &mut self.workers[w];
            worker
                .cold
                .place(|| self.cold.rank(&worker.entry.worker, chance));
            worker.cold.allow(now, &allowance);
        }
    }

    pub(crate) fn keep(&self) -> Micros {
        let keep = if self.set.keep_alive > 0 {
            self.set.keep_alive
        } else {
            5 * DEFAULT_SPAN
        };
        (keep as f64 * KEEP_USED) as Micros
    }

    /// Calls of a function in a span by all gateways, if each makes as many as we.
    pub(crate) fn fleet_calls(&self, f: usize, span: f64) -> f64 {
        let known = (self.functions[f].calls - 1.0).max(0.0) / SPANS.1 as f64;
        known * span * f64::from(self.set.front_ends.max(1))
    }

    /// How long a sign that a copy stands is believed: the keep-alive; longer while several gateways' calls
    /// come several times to each copy within it and so restart its idle time.
    pub(crate) fn belief(&self, f: usize) -> Micros {
        let keep = self.keep() as f64;
        let copies = self.functions[f]
            .at
            .values()
            .filter(|c| c.count > 0)
            .count()
            .max(1) as f64;
        let each = if self.set.front_ends > 1 {
            self.fleet_calls(f, keep) / copies
        } else {
            0.0
        };
        (keep * (each / 4.0).clamp(1.0, BELIEVED)) as Micros
    }

    /// Whether loads are slow wherever they went of late. Guards against taking the line at one worker for
    /// the store: with no loads allowed elsewhere, workers that are new stay empty.
    pub(crate) fn store_crowded(&self, now: Micros) -> bool {
        let told = |w: &&Worker| w.ready() && now < w.load_pace.0 + PACE_KEPT;
        let (all, slow) = self
            .workers
            .iter()
            .filter(told)
            .fold((0, 0), |(all, slow), w| {
                (all + 1, slow + usize::from(w.load_pace.1 > LOAD_SLOW))
            });
        slow * 4 > all * 3
    }

    /// Requests a worker is thought to hold: its last report, fading to the mean, and ours since.
    pub(crate) fn held_at(&self, w: usize, now: Micros) -> f64 {
        let ours = self.workers[w].out.len() as f64;
        let seen = self.workers[w].report.map(|(at, held, then)| {
            let weight = (-(now.saturating_sub(at) as f64) / self.fade.max(REPORT_FADE.0)).exp();
            self.mean_held + (held - self.mean_held) * weight + ours - then as f64
        });
        seen.unwrap_or(self.mean_held).max(ours)
    }

    /// Memory in MB that one more copy would leave at a worker, by our own account.
    pub(crate) fn room(&self, f: usize, w: usize, now: Micros) -> f64 {
        let machine = self
            .set
            .kind_memory_mb
            .get(self.workers[w].entry.kind)
            .copied()
            .unwrap_or(0.0);
        let used = self.memory_used(w, now) + self.functions[f].memory;
        if machine > 0.0 {
            machine * MEMORY_FULL - used
        } else {
            0.0
        }
    }

    /// Whether a tenant has more of our traffic than its part of the shares, by more than chance would give:
    /// gateways carry uneven traffic, so its rate here tells nothing of its rate at all of them.
    pub(crate) fn over_share(&self, t: usize) -> bool {
        let quotas: f64 = self
            .set
            .tenants
            .iter()
            .map(|t| t.quota_per_s.max(0.0))
            .sum();
        let (part, all) = (
            self.set.tenants[t].quota_per_s / quotas,
            self.tenant_rate.iter().sum::<f64>(),
        );
        part > 0.0 && self.tenant_rate[t] > part * all + 2.0 * (all * part * (1.0 - part)).sqrt()
    }

    /// The running figures of the fleet, over the span since the last time.
    pub(crate) fn figures(&mut self, now: Micros, past: Micros, ready: &[usize]) {
        let n = ready.len().max(1) as f64;
        let busy = ready
            .iter()
            .filter(|&&w| !self.workers[w].out.is_empty())
            .count() as f64
            / n;
        // Rates over about thirty calls: fewer are noise. What is out is a count where calls are many.
        let calls = self
            .taken
            .iter()
            .rev()
            .take_while(|&&t| t + SPANS.1 > now)
            .count() as f64;
        let span =
            (CALLS_COUNTED / calls.max(1.0) * SPANS.1 as f64).clamp(SPANS.0 as f64, SPANS.1 as f64);
        let part = (past as f64 / span).min(1.0);
        self.fade = (n / calls.max(1.0) * SPANS.1 as f64).clamp(REPORT_FADE.0, REPORT_FADE.1);
        self.busy += (4.0 * part).min(1.0) * (busy - self.busy);
        // Each worker counts once, by its last report: a mean of reports would follow where we send most.
        let last = |w: &Worker| w.report.filter(|r| now < r.0 + REPORT_KEPT).map(|r| r.1);
        let held: Vec<f64> = ready
            .iter()
            .filter_map(|&w| last(&self.workers[w]))
            .collect();
        self.mean_held = if held.is_empty() {
            CROWD
        } else {
            held.iter().sum::<f64>() / held.len() as f64
        };
        let capacity: f64 = ready
            .iter()
            .map(|&w| self.cold_share(w, now).unwrap_or(1.0))
            .sum();
        self.work_rate +=
            part * (self.work_done / capacity.max(1.0) / past as f64 - self.work_rate);
        // Guards against taking a rise in traffic, or the start, for a queue: a rate that lags is too low.
        self.surveys += 1.0;
        let seen = (self.surveys * SURVEY as f64).min(SPANS.1 as f64);
        let short = (CALLS_COUNTED / calls.max(1.0) * seen).clamp(RATE_SPAN, SPANS.1 as f64);
        let quick = (past as f64 / short).min(1.0).max(1.0 / self.surveys);
        self.served_rate += quick * (self.served * SEC as f64 / past as f64 - self.served_rate);
        (self.work_done, self.served) = (0.0, 0.0);
        for rate in &mut self.tenant_rate {
            *rate *= 1.0 - part;
        }
        let known = self.functions.len().saturating_sub(self.spare.len()).max(1) as f64;
        let memory = self.functions.iter().map(|f| f.memory).sum::<f64>() / known;
        let kinds = &self.set.kind_memory_mb;
        self.instances = kinds.iter().sum::<f64>() / kinds.len().max(1) as f64 / memory.max(1.0);
        let theta = theta(self.busy, self.instances);
        let stars = self
            .functions
            .iter()
            .map(|g| self.counts(g, now))
            .map(|(d, l)| (d as f64 - l) / theta);
        self.least_star = stars.filter(|&z| z >= 1.0).fold(f64::INFINITY, f64::min);
        let young = |r: &&Request| {
            let out = r.attempts.last().is_some_and(|a| a.open && !a.cold);
            out && !r.done && now < r.arrived + 2 * self.set.classes[r.class].latency_objective
        };
        let many = (span - SPANS.0 as f64) / (SPANS.1 - SPANS.0) as f64; // 0 where calls are many, to 1
        let few = (past as f64 / (span * many).max(1.0)).min(1.0);
        self.backlog += few * (self.requests.values().filter(young).count() as f64 - self.backlog);
        let mut healths: Vec<f64> = ready.iter().map(|&w| self.workers[w].health).collect();
        healths.sort_by(f64::total_cmp);
        self.median_health = healths
            .get(healths.len() / 2)
            .copied()
            .unwrap_or(1.0)
            .max(1.0);
    }
}
