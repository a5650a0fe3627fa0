//! What the tests share: settings, and short ways to give a controller events.
#![allow(dead_code)]
use wrenseam_policy::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SEC: Micros = 1_000_000;
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const KEYED: usize = 1;
pub(crate) const NOT_IDEMPOTENT: usize = 2;

pub(crate) fn class(effect: Idempotency, group: KeyScope) -> ClassSettings {
    ClassSettings {
        idempotency: effect,
        key_scope: group,
        key_memory: 3 * SEC,
        latency_objective: SEC,
        priority_weight: 1.0,
        ..ClassSettings::default()
    }
}

/// One front end before workers where only an order loads; tests change what they need.
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

/// A controller and the time that tests give it.
pub(crate) struct ControllerHarness {
    pub(crate) controller: Controller,
    pub(crate) now: Micros,
}

impl ControllerHarness {
    /// A controller whose endpoint list has `n` warm workers, `w0` ...
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

    pub(crate) fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// Lets time pass with the policy's own periodic timer, and returns all that it does.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20 * MS;
            all.extend(self.feed(Event::Timer { token: 0 }));
        }
        all
    }

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

    pub(crate) fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        let (warm, crowd, inflight) = (None, None, None);
        self.feed(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            outcome,
            elapsed,
            request_closed: closed,
            replica_loaded: warm,
            queue_depth: crowd,
            in_flight: inflight,
        }))
    }

    pub(crate) fn end_load_order(
        &mut self,
        worker: &str,
        function: u64,
        count: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.feed(Event::LoadOrderEnded {
            worker: worker.into(),
            function,
            replicas: count,
            outcome,
            elapsed: 2 * MS,
        })
    }

    /// Makes the controller take the function for loaded at these workers, by answers to the queries of a first request.
    pub(crate) fn mark_loaded(&mut self, function: u64, id: u64, workers: &[&str]) {
        let asked = self.request(id, IDEMPOTENT, function);
        let names = load_orders(&asked, 0);
        for name in &names {
            let stands = workers.contains(&name.as_str());
            self.end_load_order(name, function, u32::from(stands), Outcome::Ok);
        }
        self.end_attempt(id, 0, Outcome::Ok, 50 * MS);
    }
}

/// The workers that were ordered to hold this many replicas.
pub(crate) fn load_orders(actions: &[Action], wanted: u32) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Load {
            worker,
            replicas: count,
            ..
        } if *count == wanted => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The workers that requests were sent to.
pub(crate) fn sent_workers(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Send { worker, .. } => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
