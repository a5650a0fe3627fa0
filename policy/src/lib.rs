//! bramblepath decides, for one gateway, which worker runs a call of a function that is loaded on demand,
//! where copies are loaded and dropped, and what is retried, refused or failed.
//!
//! The gateway owns sockets and clock. It feeds [`Event`]s to a [`Controller`] and carries out the
//! [`Action`]s that come back, in order.
//!
//! ```
//! use wrenseam_policy::*;
//!
//! let settings = Settings {
//!     front_ends: 1,
//!     classes: vec![ClassSettings {
//!         idempotency: Idempotency::Idempotent, latency_objective: 1_000_000, priority_weight: 1.0, ..ClassSettings::default()
//!     }],
//!     tenants: vec![], over_quota_weight: 1.0, kind_memory_mb: vec![8192.0], keep_alive: 8_000_000,
//!     load_on_demand: false, load_orders: true, order_timeout: 10_000_000,
//!     load_budget_window: 0, load_budget_base: 0.0, load_budget_per_request: 0.0, max_attempts: 3, cancellation: true,
//!     hedging: false, max_retry_after: 0, slow_start_from: 0.3, slow_start_duration: 10_000_000,
//!     overload_multiple: 2.0, overload_window: 1_000_000, ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//! let endpoint = Endpoint {
//!     worker: "w1".into(), state: WorkerState::Ready, started_at: 0, zone: Some(0), kind: 0, cell: Some(0),
//! };
//! controller.handle(0, Event::EndpointUpdate { complete: true, endpoints: vec![endpoint] }, &mut actions);
//! controller.handle(1_000, Event::Request {
//!     id: 1, class: 0, tenant: None, function: 42, time_left: 3_000_000,
//!     memory_mb: 300.0, concurrency: 1, load_time: 0, retry: false,
//! }, &mut actions);
//! // A fresh gateway knows no warm copy: it asks the worker first.
//! assert!(actions.contains(&Action::Load { worker: "w1".into(), function: 42, replicas: 0 }));
//! actions.clear();
//! controller.handle(3_000, Event::LoadOrderEnded {
//!     worker: "w1".into(), function: 42, replicas: 1, outcome: Outcome::Ok, elapsed: 2_000,
//! }, &mut actions);
//! assert!(matches!(&actions[0], Action::Send { id: 1, worker, .. } if worker == "w1"));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod controller;
mod deadline_admission;
mod estimator;
mod interface;
pub mod json;
mod polling;
mod retry;
mod settings;
mod slow_start;
mod state;
pub mod virtual_loss;
mod zone_health;
mod zone_names;

pub use interface::*;

pub use state::Controller;
pub use zone_names::ZoneNames;

#[cfg(test)]
mod tests {
    use crate::{Action, Controller, Endpoint, Event, Outcome, Settings, WorkerState};

    /// Nothing may grow with all that a gateway has ever seen.
    #[test]
    fn functions_long_unused_and_closed_requests_are_forgotten() {
        let set = Settings {
            load_orders: true,
            front_ends: 200,
            keep_alive: 1_000_000,
            ..Settings::default()
        };
        let (mut c, mut out, mut now) = (Controller::new(set, 1), Vec::new(), 1_000_000);
        for id in 0..2_000 {
            now += 20_000;
            let (class, tenant, memory_mb, lanes, load_time) = (0, None, 1.0, 1, 0);
            let (function, left, retry) = (id, 100_000, false);
            c.handle(
                now,
                Event::Request {
                    id,
                    class,
                    tenant,
                    function,
                    time_left: left,
                    memory_mb,
                    concurrency: lanes,
                    load_time,
                    retry,
                },
                &mut out,
            );
            c.handle(now, Event::Timer { token: 0 }, &mut out);
            for action in out.drain(..) {
                if let Action::Timer { token, .. } = action {
                    c.handle(now + 100_000, Event::Timer { token }, &mut Vec::new());
                }
            }
        }
        // Four keep-alives of 0.9 s at fifty calls a second are 180 functions.
        assert!(
            c.function_ids.len() < 250 && c.functions.len() < 250,
            "{} functions",
            c.functions.len()
        );
        assert!(c.requests.len() < 10, "{} requests", c.requests.len());
    }

    /// Workers are replaced by new ones all day long: the places of those that are gone are used again.
    #[test]
    fn workers_that_are_gone_leave_their_places() {
        let (mut c, mut out) = (
            Controller::new(
                Settings {
                    load_orders: true,
                    ..Settings::default()
                },
                1,
            ),
            Vec::new(),
        );
        for n in 0..200u64 {
            let entry = |n: u64, state| {
                let worker = format!("w{n}");
                Endpoint {
                    worker,
                    state,
                    started_at: 0,
                    zone: Some(0),
                    kind: 0,
                    cell: Some(0),
                }
            };
            let entries = vec![
                entry(n, WorkerState::Ready),
                entry(n.wrapping_sub(3), WorkerState::Gone),
            ];
            c.handle(
                n * 1_000_000,
                Event::EndpointUpdate {
                    complete: false,
                    endpoints: entries,
                },
                &mut out,
            );
            let (id, class, tenant, memory_mb, lanes, load_time) = (n, 0, None, 1.0, 1, 0);
            let (function, left, retry) = (7, 900_000, false);
            c.handle(
                n * 1_000_000 + 1,
                Event::Request {
                    id,
                    class,
                    tenant,
                    function,
                    time_left: left,
                    memory_mb,
                    concurrency: lanes,
                    load_time,
                    retry,
                },
                &mut out,
            );
            while let Some(action) = out.pop() {
                if let Action::Load {
                    worker,
                    function,
                    replicas: count,
                } = action
                {
                    let (outcome, elapsed) = (Outcome::Ok, 1_000);
                    let answer = Event::LoadOrderEnded {
                        worker,
                        function,
                        replicas: count,
                        outcome,
                        elapsed,
                    };
                    c.handle(n * 1_000_000 + 1_000, answer, &mut out);
                } else if let Action::Send { id, .. } = action {
                    let (attempt, outcome, elapsed, closed) = (0, Outcome::Ok, 1_000, true);
                    let (warm, crowd, inflight) = (None, None, None);
                    let end = Event::AttemptEnded {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: closed,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        in_flight: inflight,
                    };
                    c.handle(n * 1_000_000 + 2_000, end, &mut out);
                }
            }
            c.handle(
                n * 1_000_000 + 990_000,
                Event::RequestCancelled { id },
                &mut Vec::new(),
            );
        }
        assert!(
            c.workers.len() < 10 && c.worker_ids.len() < 10,
            "{} workers",
            c.workers.len()
        );
    }
}
