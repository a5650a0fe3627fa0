//! The policy's entry: one event in, actions out.
use crate::action::Action;
use crate::estimator::SURVEY_INTERVAL;
use crate::event::Event;
use crate::load_orders::OrderResult;
use crate::request_lifecycle::request_of_deadline_token;
use crate::settings::Settings;
use crate::state::{State, TICK};
use crate::survey::Survey;
use crate::types::{FunctionId, Micros};

/// No event for longer, timers included: this front end stood still.
const STOOD_STILL: Micros = 2 * SURVEY_INTERVAL;
/// The latest time that the clock may show.
const LATEST_TIME: Micros = u64::MAX / 4;
/// The token of the housekeeping's timer. Requests' timers have odd tokens.
const HOUSEKEEPING: u64 = 0;

/// The policy of one front end: it decides which worker runs each request, where replicas are loaded and unloaded, and
/// what is retried, rejected or failed.
pub struct Controller {
    state: State,
    survey: Survey,
    last_event: Micros,
}

/// How much the policy remembers: it is bounded by what is listed and in flight, and by the functions called of late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers that are listed, or were and whose position nobody else has taken.
    pub workers: usize,
    /// Positions in the table of workers.
    pub worker_positions: usize,
    /// Functions called of late.
    pub functions: usize,
    /// Positions in the table of functions, including those that were forgotten.
    pub function_positions: usize,
    /// Requests in flight.
    pub requests: usize,
}

impl Controller {
    /// A front end that knows nothing yet; `seed` starts its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            state: State::new(settings, seed),
            survey: Survey::default(),
            last_event: 0,
        }
    }

    /// Whether requests are kept away from this worker now as it cannot be reached. Workers that are not known are
    /// not ejected.
    pub fn is_unreachable(&self, worker: &str) -> bool {
        let workers = &self.state.workers;
        workers
            .find(worker)
            .is_some_and(|index| workers[index].health.is_unreachable())
    }

    /// Leaves sending to workers in slow start to another process of this front end, or resumes it.
    pub fn set_standby(&mut self, standby: bool) {
        self.state.set_standby(standby);
    }

    /// How much is remembered now.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            workers: self.state.workers.len(),
            worker_positions: self.state.workers.positions(),
            functions: self.state.functions.len(),
            function_positions: self.state.functions.indexes().count(),
            requests: self.state.requests.len(),
        }
    }

    /// Takes one event at clock time `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.state.ticks == 0 {
            self.start(actions);
        }
        let now = now.min(LATEST_TIME);
        if now > self.last_event + STOOD_STILL {
            self.state.resumed_at = now;
        }
        self.last_event = now;
        self.dispatch(now, event, actions);
    }

    fn dispatch(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
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
                token: HOUSEKEEPING,
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

    /// An order ended; what is not known any more is passed over.
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

    /// The first event: starts the housekeeping and, where that is needed, the endpoint list.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.state.ticks = 1;
        actions.push(Action::Timer {
            delay: TICK,
            token: HOUSEKEEPING,
        });
        if self.state.settings.watch_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Housekeeping: the survey, hedged requests and waiting requests.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.ticks = state.ticks.saturating_add(1);
        self.survey.run_if_due(state, now, actions);
        state.hedge_overdue_requests(now, actions);
        state.place_waiting(None, now, actions);
        let is_idle = state.requests.is_empty();
        actions.push(Action::Timer {
            delay: if is_idle { SURVEY_INTERVAL } else { TICK },
            token: HOUSEKEEPING,
        });
    }
}
