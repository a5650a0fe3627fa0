//! The settings' budget of orders to load (rule 5): so many in a window, and further ones for each request in it.
use crate::settings::Settings;
use crate::types::{Micros, MILLISECOND};
use std::collections::VecDeque;

/// The platform's clock may be so far from this one: an order counts for this much longer, a request for less.
const CLOCK_MARGIN: Micros = 8 * MILLISECOND;
/// Part of the budget that loads ahead of need may use; the rest is kept for requests that wait.
const SPARE_PART: f64 = 0.5;

/// What a load is ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadPurpose {
    /// A request waits for it.
    Needed,
    /// It is ordered ahead of need, from the spare part of the budget.
    Proactive,
}

/// The orders and requests of the window.
#[derive(Debug, Default)]
pub(crate) struct LoadBudget {
    /// 0: there is no budget.
    window: Micros,
    base: f64,
    per_request: f64,
    requests: VecDeque<Micros>,
    orders: VecDeque<Micros>,
}

impl LoadBudget {
    pub(crate) fn new(settings: &Settings) -> Self {
        LoadBudget {
            window: settings.load_budget_window,
            base: settings.load_budget_base,
            per_request: settings.load_budget_per_request,
            ..LoadBudget::default()
        }
    }

    /// A request came for a function that is known to load.
    pub(crate) fn count_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// Requests came at these times for a function that is known to load only now.
    pub(crate) fn count_earlier_requests(&mut self, times: impl IntoIterator<Item = Micros>) {
        for time in times {
            let position = self.requests.partition_point(|&other| other <= time);
            self.requests.insert(position, time);
        }
    }

    /// A client took back a request that came at this time: some clients do that to hundreds at once.
    pub(crate) fn uncount_request(&mut self, arrived_at: Micros) {
        if let Some(position) = self.requests.iter().rposition(|&time| time == arrived_at) {
            self.requests.remove(position);
        }
    }

    /// Requests of the last `span`.
    pub(crate) fn requests_within(&self, span: Micros, now: Micros) -> usize {
        self.requests
            .iter()
            .rev()
            .take_while(|&&time| time + span > now)
            .count()
    }

    /// Forgets requests that are older than the window and than `span`.
    pub(crate) fn forget_requests(&mut self, span: Micros, now: Micros) {
        let kept = self.window.max(span);
        while self.requests.front().is_some_and(|&time| time + kept < now) {
            self.requests.pop_front();
        }
    }

    pub(crate) fn count_order(&mut self, now: Micros) {
        self.orders.push_back(now);
    }

    /// Whether the budget allows no further order now.
    pub(crate) fn is_exhausted(&mut self, now: Micros, purpose: LoadPurpose) -> bool {
        if self.window == 0 {
            return false;
        }
        self.forget_orders(now);
        let requests = self
            .requests
            .iter()
            .rev()
            .take_while(|&&time| time + self.window > now + CLOCK_MARGIN)
            .count();
        let allowed = self.base + self.per_request * requests as f64;
        let usable = match purpose {
            LoadPurpose::Needed => allowed,
            LoadPurpose::Proactive => allowed * SPARE_PART,
        };
        (self.orders.len() + 1) as f64 > usable
    }

    fn forget_orders(&mut self, now: Micros) {
        let kept = self.window + CLOCK_MARGIN;
        while self.orders.front().is_some_and(|&time| time + kept < now) {
            self.orders.pop_front();
        }
    }
}
