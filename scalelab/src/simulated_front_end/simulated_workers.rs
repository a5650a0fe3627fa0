//! The simulated workers of a simulated front end: which functions they have loaded and when they respond.
use super::measurements::{SentMessage, SentRecord};
use super::schedule::{AttemptEnd, LoadOrderEnd, ScheduledEvent};
use super::{SimulatedFrontEnd, CONNECT_TIMEOUT, MS, SEC};
use wrenseam_policy::{FunctionId, Micros, Outcome, RequestId};

/// Round-trip time between the front end and a worker.
const ROUND_TRIP: Micros = MS;
/// Shortest service time of a request, in milliseconds.
const MIN_SERVICE_MS: f64 = 25.0;
/// Width of the interval above the shortest service time from which it is drawn uniformly, in milliseconds.
const SERVICE_RANGE_MS: f64 = 50.0;

impl SimulatedFrontEnd {
    /// Makes these workers unreachable from now on; they lose all loaded replicas.
    pub fn disconnect_workers(&mut self, workers: &[usize]) {
        self.unreachable.extend(workers);
        self.restarted.extend(workers);
        self.loaded_until
            .retain(|(_, worker), _| !workers.contains(worker));
    }

    /// Makes these workers reachable again, with nothing loaded.
    pub fn reconnect_workers(&mut self, workers: &[usize]) {
        for worker in workers {
            self.unreachable.remove(worker);
        }
    }

    /// Whether the worker has the function loaded, because of this front end or of the others, which prefer the same
    /// workers. The latter is drawn at random, with the probability that at least one of their requests for the function
    /// arrived within the last keep-alive time.
    fn replica_loaded(&mut self, function: usize, worker: usize) -> bool {
        let until = self.loaded_until.get(&(function, worker));
        if until.is_some_and(|&until| until > self.now) {
            return true;
        }
        let scenario = &self.scenario;
        let mut peer_requests_per_s = 0.0;
        if scenario.other_replicas_loaded && !self.restarted.contains(&worker) {
            let peers = scenario.front_ends.saturating_sub(1);
            peer_requests_per_s = scenario.requests_per_s * f64::from(peers);
        }
        let peer_requests =
            peer_requests_per_s * self.popularity.share(function) * scenario.keep_alive as f64
                / SEC as f64;
        self.uniform() < 1.0 - (-peer_requests).exp()
    }

    /// Sends an order for `wanted` replicas, or a query if `wanted` is 0, and schedules its end.
    pub(super) fn send_load_order(&mut self, worker: usize, function: FunctionId, wanted: u32) {
        self.record_sent(worker, SentMessage::LoadOrder);
        if wanted > 0 {
            self.counts.load_orders += 1;
        } else {
            self.counts.queries += 1;
        }
        let mut end = LoadOrderEnd {
            worker,
            function,
            replicas: 0,
            outcome: Outcome::ConnectFailed,
            sent_at: self.now,
        };
        if self.unreachable.contains(&worker) {
            self.schedule(CONNECT_TIMEOUT, ScheduledEvent::LoadOrderEnd(end));
            return;
        }
        let loaded = self.replica_loaded(function as usize, worker);
        end.outcome = Outcome::Ok;
        let mut delay = ROUND_TRIP;
        if wanted > 0 {
            end.replicas = wanted;
            delay += self.load_time_unless(loaded);
        } else {
            end.replicas = u32::from(loaded);
        }
        self.schedule(delay, ScheduledEvent::LoadOrderEnd(end));
    }

    /// Sends the next attempt of a request and schedules its end.
    pub(super) fn send_attempt(&mut self, request: RequestId, worker: usize) {
        self.counts.attempts += 1;
        self.record_sent(worker, SentMessage::Attempt);
        let Some(pending) = self.pending_requests.get_mut(&request) else {
            return;
        };
        let function = pending.function;
        let mut end = AttemptEnd {
            request,
            attempt: pending.attempts,
            outcome: Outcome::ConnectFailed,
            sent_at: self.now,
            replica_loaded: None,
        };
        pending.attempts += 1;
        if self.unreachable.contains(&worker) {
            self.counts.unreachable += 1;
            self.schedule_attempt_end(CONNECT_TIMEOUT, end);
            return;
        }
        let loaded = self.replica_loaded(function, worker);
        self.counts.loads_begun += u64::from(!loaded);
        let service = (MIN_SERVICE_MS + SERVICE_RANGE_MS * self.uniform()) as Micros * MS;
        if !loaded && !self.scenario.load_on_demand {
            end.outcome = Outcome::NotLoaded;
            self.schedule_attempt_end(ROUND_TRIP, end);
            return;
        }
        end.outcome = Outcome::Ok;
        end.replica_loaded = Some(loaded);
        let delay = ROUND_TRIP + service + self.load_time_unless(loaded);
        let unloaded_at = self.now + delay + self.scenario.keep_alive;
        self.loaded_until.insert((function, worker), unloaded_at);
        self.schedule_attempt_end(delay, end);
    }

    fn load_time_unless(&self, loaded: bool) -> Micros {
        if loaded {
            0
        } else {
            self.scenario.load_time
        }
    }

    pub(super) fn schedule_attempt_end(&mut self, delay: Micros, end: AttemptEnd) {
        let key = self.schedule(delay, ScheduledEvent::AttemptEnd(end));
        self.attempt_ends.insert((end.request, end.attempt), key);
    }

    fn record_sent(&mut self, worker: usize, message: SentMessage) {
        let at = self.now;
        if let Some(log) = &mut self.sent_log {
            log.push(SentRecord {
                at,
                worker,
                message,
            });
        }
    }
}
