//! Shared by the tests: default settings, and a harness that feeds events to a controller.
#![allow(dead_code)]
use wrenseam_policy::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SEC: Micros = 1_000_000;
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const KEYED: usize = 1;
pub(crate) const NOT_IDEMPOTENT: usize = 2;

/// A class with a key memory of 3 s and a latency objective of 1 s.
pub(crate) fn class(idempotency: Idempotency, key_scope: KeyScope) -> ClassSettings {
    ClassSettings {
        idempotency,
        key_scope,
        key_memory: 3 * SEC,
        latency_objective: SEC,
        priority_weight: 1.0,
        ..ClassSettings::default()
    }
}

/// Settings of a single front end whose workers load functions only when ordered to; tests change fields as needed.
pub(crate) fn settings() -> Settings {
    Settings {
        front_ends: 1,
        classes: vec![
            class(Idempotency::Idempotent, KeyScope::All),
            class(Idempotency::Keyed, KeyScope::Cell),
            class(Idempotency::NotIdempotent, KeyScope::All),
        ],
        tenants: vec![],
        over_quota_weight: 0.2,
        kind_memory_mb: vec![4000.0],
        keep_alive: 8 * SEC,
        load_on_demand: false,
        load_orders: true,
        order_timeout: 10 * SEC,
        load_budget_window: 0,
        load_budget_base: 0.0,
        load_budget_per_request: 0.0,
        max_attempts: 4,
        cancellation: true,
        hedging: false,
        max_retry_after: SEC,
        slow_start_initial_share: 0.2,
        slow_start_duration: 10 * SEC,
        overload_multiple: 2.0,
        overload_window: SEC,
        ..Settings::default()
    }
}

/// The entry of the ready worker `w{n}`, which is past slow start. Even and odd workers are in different zones; workers
/// 0 and 1, 2 and 3 and so on share a cell.
pub(crate) fn endpoint(n: usize) -> Endpoint {
    Endpoint {
        worker: format!("w{n}"),
        state: WorkerState::Ready,
        started_at: 0,
        zone: Some(n % 2),
        kind: 0,
        cell: Some((n / 2) as u64),
    }
}

/// A controller and its clock, which the test advances.
pub(crate) struct ControllerHarness {
    pub(crate) controller: Controller,
    pub(crate) now: Micros,
}

impl ControllerHarness {
    /// A controller whose endpoint list has `n` workers ([`endpoint`]).
    pub(crate) fn new(settings: Settings, n: usize) -> Self {
        let mut harness = ControllerHarness {
            controller: Controller::new(settings, 11),
            now: 100 * SEC,
        };
        harness.feed(Event::EndpointUpdate {
            complete: true,
            endpoints: (0..n).map(endpoint).collect(),
        });
        harness
    }

    /// Feeds an event at the present time and returns the actions.
    pub(crate) fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// Advances the clock by `span`, feeds the housekeeping timer every 20 ms, and returns all actions.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            all.extend(self.feed(Event::Timer { token: 0 }));
        }
        all
    }

    /// Feeds a request whose client waits for 3 s.
    pub(crate) fn request(&mut self, id: u64, class: usize, function: u64) -> Vec<Action> {
        self.feed(Event::Request(NewRequest {
            id,
            class,
            tenant: None,
            function,
            time_left: 3 * SEC,
            memory_mb: 500.0,
            concurrency: 1,
            load_time: 400 * MS,
            retry: false,
        }))
    }

    /// Ends an attempt; the request counts as closed if it was served.
    pub(crate) fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let request_closed = outcome == Outcome::Ok;
        let (replica_loaded, queue_depth, in_flight) = (None, None, None);
        self.feed(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            outcome,
            elapsed,
            request_closed,
            replica_loaded,
            queue_depth,
            in_flight,
        }))
    }

    /// Answers a load order or a poll: the worker has `replicas` replicas loaded.
    pub(crate) fn end_load_order(
        &mut self,
        worker: &str,
        function: u64,
        replicas: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.feed(Event::LoadOrderEnded {
            worker: worker.into(),
            function,
            replicas,
            outcome,
            elapsed: 2 * MS,
        })
    }

    /// Makes the controller know that the function is loaded at these of the polled workers and not at the others:
    /// answers the polls for a first request accordingly, and serves that request.
    pub(crate) fn mark_loaded(&mut self, function: u64, id: u64, workers: &[&str]) {
        let actions = self.request(id, IDEMPOTENT, function);
        let polled = load_orders(&actions, 0);
        for worker in &polled {
            let is_loaded = workers.contains(&worker.as_str());
            self.end_load_order(worker, function, u32::from(is_loaded), Outcome::Ok);
        }
        self.end_attempt(id, 0, Outcome::Ok, 50 * MS);
    }
}

/// The workers that are ordered to hold this many replicas; with 0, the workers that are polled.
pub(crate) fn load_orders(actions: &[Action], wanted: u32) -> Vec<String> {
    let pick = |action: &Action| match action {
        Action::Load {
            worker, replicas, ..
        } if *replicas == wanted => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The workers that attempts are sent to.
pub(crate) fn sent_workers(actions: &[Action]) -> Vec<String> {
    let pick = |action: &Action| match action {
        Action::Send { worker, .. } => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
