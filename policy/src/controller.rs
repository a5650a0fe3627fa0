//! The policy's entry: one event in, actions out.
use crate::action::Action;
use crate::admission::Arrival;
use crate::estimator::SURVEY_INTERVAL;
use crate::event::{AttemptResult, Event, NewRequest, Outcome};
use crate::function::Function;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::load_orders::OrderResult;
use crate::outlier_detection::AttemptSample;
use crate::request::{Attempt, Request};
use crate::settings::Settings;
use crate::state::{State, LONGEST_SPAN, TICK};
use crate::survey::Survey;
use crate::types::{Micros, RequestId, MILLISECOND};

/// The final answer comes this long before the client leaves.
const ANSWER_MARGIN: Micros = 8 * MILLISECOND;
/// No event for longer, timers included: this front end stood still.
const STOOD_STILL: Micros = 2 * SURVEY_INTERVAL;
/// The latest time that the clock may show.
const LATEST_TIME: Micros = u64::MAX / 4;
/// The token of the housekeeping's timer. Requests' timers have odd tokens.
const HOUSEKEEPING: u64 = 0;
/// Requests that one replica runs at a time, at the most.
const MOST_CONCURRENCY: u32 = 1024;

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

/// The timer that ends a request in time.
fn deadline_token(id: RequestId) -> u64 {
    id << 1 | 1
}

fn request_of_token(token: u64) -> RequestId {
    token >> 1
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
    pub fn is_ejected(&self, worker: &str) -> bool {
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
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints,
            } => {
                self.state.update_endpoints(now, complete, endpoints);
                self.state.place_waiting(None, now, actions);
            }
            Event::Request(request) => self.state.request(now, &request, actions),
            Event::AttemptEnded(result) => self.state.attempt_ended(now, &result, actions),
            Event::RequestCancelled { id } => self.state.request_cancelled(id, actions),
            Event::Timer {
                token: HOUSEKEEPING,
            } => self.tick(now, actions),
            Event::Timer { token } => {
                self.state
                    .deadline_passed(now, request_of_token(token), actions);
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
                let worker = self.state.workers.find(&worker);
                let function = self.state.functions.find(function);
                if let (Some(worker), Some(function)) = (worker, function) {
                    self.state
                        .load_order_ended(now, worker, function, result, actions);
                }
            }
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

impl State {
    /// A client's request came. An id that is in use already is passed over.
    fn request(&mut self, now: Micros, new: &NewRequest, actions: &mut Vec<Action>) {
        if self.requests.contains(new.id) {
            return;
        }
        let class = new.class.min(self.settings.classes.len() - 1);
        let function = self.function_called(now, new, class);
        let tenant = self.estimator.count_tenant(new.tenant);
        self.retry_budget.earn();
        self.poll_budget.earn();
        let time_left = new.time_left.min(LONGEST_SPAN);
        let deadline = now + time_left.saturating_sub(ANSWER_MARGIN);
        let request = Request {
            function,
            class,
            tenant,
            arrived_at: now,
            deadline,
            is_retry: new.retry,
            lost: false,
            closed: false,
            errors: 0,
            speculative: false,
            attempts: Vec::new(),
        };
        self.requests.insert(new.id, request);
        let arrival = Arrival {
            class,
            tenant,
            function,
            time_left,
        };
        if time_left <= ANSWER_MARGIN
            || self.is_deadline_unreachable(new.id, time_left, now)
            || self.is_shed(&arrival)
        {
            return self.finish(new.id, actions);
        }
        // Rule 1: whatever else happens, this timer ends the request in time.
        actions.push(Action::Timer {
            delay: deadline - now,
            token: deadline_token(new.id),
        });
        if self.is_virtual_loss(function, now) {
            self.functions[function].last_lost = now;
            self.add_replica(function, now, None, actions);
        }
        self.place(now, new.id, actions);
    }

    /// Takes a request into what is known of its function.
    fn function_called(&mut self, now: Micros, new: &NewRequest, class: usize) -> FunctionIndex {
        let service_time = self.estimator.class_service_time(class);
        let load_time = new.load_time.min(LONGEST_SPAN) as f64;
        let index = self.functions.find_or_insert(new.function, || {
            Function::new(new.function, service_time, load_time)
        });
        let function = &mut self.functions[index];
        if new.memory_mb.is_finite() && new.memory_mb > 0.0 {
            function.memory_mb = new.memory_mb;
        }
        function.concurrency = new.concurrency.clamp(1, MOST_CONCURRENCY);
        function.called(now, class, new.retry);
        let lifetime = self.replica_lifetime(index);
        let function = &mut self.functions[index];
        for replica in function.replicas.values_mut() {
            if replica.count() > 0 {
                replica.extend(lifetime);
            }
        }
        // Guards the load budget: only requests of functions that load count, as only usual clients' do.
        if function.is_known_to_load() {
            self.load_budget.count_request(now);
        } else {
            function.note_uncounted_request(now);
        }
        index
    }

    /// A request's time is up: it is answered, unless it was.
    fn deadline_passed(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| now >= request.deadline) {
            self.finish(id, actions);
        }
    }

    /// An attempt ended: its worker's state is updated, and the request is closed or placed again.
    fn attempt_ended(&mut self, now: Micros, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(result.id) else {
            return;
        };
        let Some(attempt) = request.end_attempt(result.attempt, result.outcome) else {
            return;
        };
        let function = request.function;
        let class = request.class;
        let tenant = request.tenant;
        let worker = attempt.worker;
        self.release_attempt(function, &attempt, result);
        let is_of_present_process = attempt.sent_at >= self.workers[worker].endpoint.started_at;
        if self.workers[worker].is_ready() && is_of_present_process {
            if result.outcome == Outcome::Ok {
                self.workers[worker].rejections.served(tenant, class);
            }
            self.learn_replicas(now, function, &attempt, result);
        }
        if result.outcome == Outcome::Rejected {
            self.attempt_rejected(worker, tenant, class, now);
        }
        if let Some(in_flight) = result.in_flight.filter(|in_flight| in_flight.is_finite()) {
            self.workers[worker].report_load(now, in_flight.max(0.0));
            self.estimator.load_report_came();
        }
        if is_of_present_process {
            let sample = AttemptSample {
                outcome: result.outcome,
                elapsed: result.elapsed,
                loaded: match result.replica_loaded {
                    Some(was_loaded) => !was_loaded,
                    None => attempt.loads_function,
                },
            };
            self.record_attempt_end(now, function, &attempt, &sample);
        }
        if result.outcome == Outcome::Ok {
            self.estimator.count_served();
            self.function_served(result.id, function);
        }
        let is_closed = self
            .requests
            .get(result.id)
            .is_none_or(|request| request.closed);
        if result.request_closed || is_closed {
            self.close(result.id, actions);
        } else {
            self.place(now, result.id, actions);
        }
        self.place_waiting(Some(function), now, actions);
    }

    /// The attempt is in flight no more.
    fn release_attempt(
        &mut self,
        function: FunctionIndex,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        self.workers[attempt.worker]
            .open_attempts
            .remove(&crate::worker::OpenAttempt {
                sent_at: attempt.sent_at,
                request: result.id,
                attempt: result.attempt,
            });
        self.replica_mut(function, attempt.worker)
            .attempt_ended(attempt.loads_function);
        if attempt.loads_function {
            self.load_limiter.ended();
        }
    }

    /// What an attempt's end tells of the replicas at its worker.
    fn learn_replicas(
        &mut self,
        now: Micros,
        index: FunctionIndex,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        let expires_at = now + self.replica_lifetime(index);
        let replica = self.replica_mut(index, attempt.worker);
        match result.outcome {
            Outcome::Ok => replica.served(now, expires_at),
            Outcome::NotLoaded => replica.mark_unloaded(),
            _ => {}
        }
        if let Some(queue_depth) = result.queue_depth {
            let own = attempt.own_in_flight.saturating_sub(1);
            replica.note_queue(now, queue_depth, own);
        }
        let found_replica = result.outcome == Outcome::Ok && result.replica_loaded != Some(false);
        if result.outcome == Outcome::Rejected || found_replica {
            let queue_depth = f64::from(result.queue_depth.unwrap_or(0));
            self.functions[index].adjust_spread(queue_depth);
        }
    }

    /// A function was served: what its requests would have counted for the load budget before counts now. Guards a
    /// process that has just started, to which every function is new, from having no loads to give.
    fn function_served(&mut self, id: RequestId, function: FunctionIndex) {
        self.end_speculation(id, true);
        let earlier = self.functions[function].served();
        self.load_budget.count_earlier_requests(earlier);
    }

    /// An order to a worker ended.
    fn load_order_ended(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        result: OrderResult,
        actions: &mut Vec<Action>,
    ) {
        if self.order_ended(now, worker, function, result) {
            self.place_waiting(Some(function), now, actions);
        }
    }
}
