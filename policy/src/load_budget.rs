//! The load budget of the settings (rule 5): a number of load orders per window, plus some for each request in it.
use crate::settings::Settings;
use crate::types::{Micros, MILLISECOND};
use std::collections::VecDeque;

/// The platform checks the budget by its own clock, which may differ by this much: a load order counts for this much
/// longer than the window, a request for this much less.
const CLOCK_MARGIN: Micros = 8 * MILLISECOND;
/// Fraction of the budget that proactive loads may use; the rest is kept for requests that wait.
const PROACTIVE_FRACTION: f64 = 0.5;

/// Why a load is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadPurpose {
    /// A request waits for the load, or is sure to come soon.
    Needed,
    /// No request needs the load yet; only [`PROACTIVE_FRACTION`] of the budget may be used.
    Proactive,
}

/// The load orders and requests within the window.
#[derive(Debug, Default)]
pub(crate) struct LoadBudget {
    /// Length of the window; 0 if there is no budget.
    window: Micros,
    /// Load orders allowed in a window whatever the traffic.
    base: f64,
    /// Further load orders allowed for each request in the window.
    per_request: f64,
    /// Arrival times of the requests that count, in ascending order.
    requests: VecDeque<Micros>,
    /// Times of the load orders, in ascending order.
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

    /// Counts a request for a function that a worker has served before.
    pub(crate) fn count_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// Counts earlier requests, by their arrival times, for a function that a worker has now served for the first time.
    pub(crate) fn count_earlier_requests(&mut self, times: impl IntoIterator<Item = Micros>) {
        for time in times {
            let position = self.requests.partition_point(|&other| other <= time);
            self.requests.insert(position, time);
        }
    }

    /// Removes a request that arrived at this time and was cancelled by its client: it does not count for the budget,
    /// and some clients cancel hundreds of requests at once.
    pub(crate) fn remove_request(&mut self, arrived_at: Micros) {
        if let Some(position) = self.requests.iter().rposition(|&time| time == arrived_at) {
            self.requests.remove(position);
        }
    }

    /// Number of counted requests that arrived within the last `span`.
    pub(crate) fn requests_within(&self, span: Micros, now: Micros) -> usize {
        self.requests
            .iter()
            .rev()
            .take_while(|&&time| time + span > now)
            .count()
    }

    /// Forgets requests older than both the window and `span`.
    pub(crate) fn forget_requests(&mut self, span: Micros, now: Micros) {
        let kept = self.window.max(span);
        while self.requests.front().is_some_and(|&time| time + kept < now) {
            self.requests.pop_front();
        }
    }

    pub(crate) fn count_order(&mut self, now: Micros) {
        self.orders.push_back(now);
    }

    /// Whether the budget allows no further load order now.
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
            LoadPurpose::Proactive => allowed * PROACTIVE_FRACTION,
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
