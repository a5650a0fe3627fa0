//! Decides, for one front end, which worker runs a request for a function that is loaded on demand, where replicas are
//! loaded and unloaded, and what is retried, rejected or failed.
//!
//! The crate is a state machine without I/O. The caller owns sockets and clock: it feeds [`Event`]s to a [`Controller`]
//! and carries out the [`Action`]s that come back, in order. Randomness comes from the seed alone, so the same events
//! always lead to the same actions.
//!
//! ```
//! use wrenseam_policy::*;
//!
//! let settings = Settings {
//!     front_ends: 1,
//!     classes: vec![ClassSettings {
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 1_000_000,
//!         priority_weight: 1.0,
//!         ..ClassSettings::default()
//!     }],
//!     kind_memory_mb: vec![8192.0],
//!     keep_alive: 8_000_000,
//!     load_orders: true,
//!     max_attempts: 3,
//!     ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//! let endpoint = Endpoint {
//!     worker: "w1".into(),
//!     state: WorkerState::Ready,
//!     started_at: 0,
//!     zone: Some(0),
//!     kind: 0,
//!     cell: Some(0),
//! };
//! let update = Event::EndpointUpdate { complete: true, endpoints: vec![endpoint] };
//! controller.handle(0, update, &mut actions);
//! let request = NewRequest {
//!     id: 1,
//!     class: 0,
//!     tenant: None,
//!     function: 42,
//!     time_left: 3_000_000,
//!     memory_mb: 300.0,
//!     concurrency: 1,
//!     load_time: 0,
//!     retry: false,
//! };
//! controller.handle(1_000, Event::Request(request), &mut actions);
//! // A front end that has just started knows of no replica: it polls the worker first.
//! assert!(actions.contains(&Action::Load { worker: "w1".into(), function: 42, replicas: 0 }));
//! actions.clear();
//! let answer = Event::LoadOrderEnded {
//!     worker: "w1".into(),
//!     function: 42,
//!     replicas: 1,
//!     outcome: Outcome::Ok,
//!     elapsed: 2_000,
//! };
//! controller.handle(3_000, answer, &mut actions);
//! assert!(matches!(&actions[0], Action::Send { id: 1, worker, .. } if worker == "w1"));
//! ```
//!
//! # Rules
//!
//! The policy must never break five rules, which the modules cite by number:
//!
//! 1. Each request gets exactly one final answer, before its client gives up; one that its client cancelled gets none.
//! 2. An attempt that may have been executed is repeated only as far as the idempotency of the request's class allows.
//! 3. A worker gets no new work once this front end has been notified that the worker is draining.
//! 4. In any `overload_window`, all front ends together send a worker in slow start no more than `overload_multiple`
//!    times its capacity.
//! 5. Load orders stay within the load budget: a number per window, plus some for each request that counts in it.
//!
//! # Layers
//!
//! Modules import only from layers above their own in this list.
//!
//! - The interface: `types`, `endpoint`, `settings`, `event`, `action`; `settings_json` and [`json`] parse it.
//! - Components that keep their own state in private fields: `replica`, `function`, `periodic_calls`, `request`,
//!   `retry`, `worker`, `worker_health`, `placement`, `rejections`, `slow_start`, `zone_health`, `estimator`,
//!   `answer_times`, `load_budget`, `load_limiter`, `token_bucket`; the stateless functions of `rendezvous` and
//!   [`virtual_loss`].
//! - `state`: owns all components of one front end, and holds the operations that involve several of them.
//! - Decisions, one module each: `eligibility`, `dispatch`, `outlier_detection`, `load_orders`, `replication`,
//!   `polling`, `routing`, `hedging`, `keep_alive`, `admission`, `endpoint_list`, `survey`, `request_lifecycle`.
//! - `controller`: takes one event and returns actions.
//! - [`readiness_lease`], by `lease`: independent of the controller; how long a worker listed as ready may get new work.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod admission;
mod answer_times;
mod controller;
mod dispatch;
mod eligibility;
mod endpoint;
mod endpoint_list;
mod estimator;
mod event;
mod function;
mod hedging;
mod index;
pub mod json;
mod keep_alive;
mod lease;
mod load_budget;
mod load_limiter;
mod load_orders;
mod outlier_detection;
mod periodic_calls;
mod placement;
mod polling;
mod random;
pub mod readiness_lease;
mod rejections;
mod rendezvous;
mod replica;
mod replication;
mod request;
mod request_lifecycle;
mod retry;
mod routing;
mod settings;
mod settings_json;
mod slow_start;
mod state;
mod survey;
mod token_bucket;
mod types;
pub mod virtual_loss;
mod worker;
mod worker_health;
pub mod zone_health;
mod zone_names;

pub use action::Action;
pub use controller::{Controller, TableSizes};
pub use endpoint::{Endpoint, WorkerState};
pub use event::{AttemptResult, Event, NewRequest, Outcome};
pub use function::MAX_FUNCTIONS;
pub use settings::{ClassSettings, Idempotency, KeyScope, Settings, TenantSettings};
pub use settings_json::{SettingsFault, ValueProblem};
pub use types::{FunctionId, Micros, RequestId, WorkerId};
pub use zone_names::ZoneNames;
