//! The entry point of the policy: takes one event and returns actions.
use crate::action::Action;
use crate::estimator::SURVEY_INTERVAL;
use crate::event::Event;
use crate::load_orders::OrderResult;
use crate::request_lifecycle::request_of_deadline_token;
use crate::settings::Settings;
use crate::state::{State, TICK};
use crate::survey::Survey;
use crate::types::{FunctionId, Micros};

/// If no event, timers included, came for longer than this, the front end's process was stalled.
const STALL_THRESHOLD: Micros = 2 * SURVEY_INTERVAL;
/// Upper bound of the clock: durations can be added to it without overflow.
const MAX_TIME: Micros = u64::MAX / 4;
/// Token of the housekeeping timer. The timers of requests have odd tokens.
const HOUSEKEEPING_TOKEN: u64 = 0;

/// The policy of one front end: it decides which worker runs each request, where replicas are loaded and unloaded, and
/// what is retried, rejected or failed.
pub struct Controller {
    state: State,
    survey: Survey,
    last_event: Micros,
}

/// Sizes of the policy's tables. They are bounded by the listed workers, the requests in flight and the functions that
/// were called recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers that are listed, and former ones whose position has not been reused.
    pub workers: usize,
    /// Positions in the table of workers.
    pub worker_positions: usize,
    /// Functions that were called recently.
    pub functions: usize,
    /// Positions in the table of functions, including those of removed functions.
    pub function_positions: usize,
    /// Requests in flight.
    pub requests: usize,
}

impl Controller {
    /// A controller that knows no workers or functions yet; `seed` initializes its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            state: State::new(settings, seed),
            survey: Survey::default(),
            last_event: 0,
        }
    }

    /// Whether this worker gets no requests at present because it cannot be reached; false for a worker that is not
    /// known.
    pub fn is_unreachable(&self, worker: &str) -> bool {
        let workers = &self.state.workers;
        workers
            .find(worker)
            .is_some_and(|index| workers[index].health.is_unreachable())
    }

    /// Whether a timer with this token may still cause anything: the deadline timer of a request that has ended does not.
    pub fn needs_timer(&self, token: u64) -> bool {
        let request = request_of_deadline_token(token);
        token == HOUSEKEEPING_TOKEN || self.state.requests.contains(request)
    }

    /// On standby, this process leaves sending to workers in slow start to another process of the same front end.
    pub fn set_standby(&mut self, standby: bool) {
        self.state.set_standby(standby);
    }

    /// The current sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            workers: self.state.workers.len(),
            worker_positions: self.state.workers.positions(),
            functions: self.state.functions.len(),
            function_positions: self.state.functions.indexes().count(),
            requests: self.state.requests.len(),
        }
    }

    /// Handles one event at clock time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.state.ticks == 0 {
            self.start(actions);
        }
        let now = now.min(MAX_TIME);
        if now > self.last_event + STALL_THRESHOLD {
            self.state.resumed_at = now;
        }
        self.last_event = now;
        self.handle_event(now, event, actions);
    }

    fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints,
            } => {
                state.update_endpoints(now, complete, endpoints);
                state.place_waiting(None, now, actions);
            }
            Event::Request(request) => state.request_arrived(now, &request, actions),
            Event::AttemptEnded(result) => state.attempt_ended(now, &result, actions),
            Event::RequestCancelled { id } => state.request_cancelled(id, actions),
            Event::Timer {
                token: HOUSEKEEPING_TOKEN,
            } => self.tick(now, actions),
            Event::Timer { token } => {
                state.deadline_passed(now, request_of_deadline_token(token), actions);
            }
            Event::LoadOrderEnded {
                worker,
                function,
                replicas,
                outcome,
                elapsed,
            } => {
                let result = OrderResult {
                    outcome,
                    replicas,
                    elapsed,
                };
                self.load_order_ended(now, &worker, function, result, actions);
            }
        }
    }

    /// Handles the end of an order; it is ignored if its worker or function is no longer known.
    fn load_order_ended(
        &mut self,
        now: Micros,
        worker: &str,
        function: FunctionId,
        result: OrderResult,
        actions: &mut Vec<Action>,
    ) {
        let worker = self.state.workers.find(worker);
        let function = self.state.functions.find(function);
        let (Some(worker), Some(function)) = (worker, function) else {
            return;
        };
        if self.state.order_ended(now, worker, function, result) {
            self.state.place_waiting(Some(function), now, actions);
        }
    }

    /// Runs at the first event: starts the housekeeping timer and, if the settings require it, subscribes to the
    /// endpoint list.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.state.ticks = 1;
        actions.push(Action::Timer {
            delay: TICK,
            token: HOUSEKEEPING_TOKEN,
        });
        if self.state.settings.watch_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Housekeeping: runs the survey, hedges overdue requests and places waiting requests again.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.ticks = state.ticks.saturating_add(1);
        self.survey.run_if_due(state, now, actions);
        state.hedge_overdue_requests(now, actions);
        state.place_waiting(None, now, actions);
        let is_idle = state.requests.is_empty();
        actions.push(Action::Timer {
            delay: if is_idle { SURVEY_INTERVAL } else { TICK },
            token: HOUSEKEEPING_TOKEN,
        });
    }
}
