//! The core: one thread that owns the policy and all records of requests, attempts, load orders and workers.
//!
//! Fronts, transports and discovery reach it only through its queue. The core turns each message and each timer into an
//! event for the policy and carries out the actions that the policy returns. It never blocks on a socket and knows no
//! wire protocol. [`Core::run`] is the event loop, `messages` and `timer_events` dispatch its input, and `actions`
//! carries out the policy's actions.
mod actions;
mod admin;
mod attempts;
mod counters;
mod discovery_contact;
mod endpoints;
mod fleet_admission;
mod load_orders;
pub mod log_lines;
mod messages;
mod readiness;
mod requests;
pub mod resources;
mod state_report;
pub mod tables;
mod timer_events;
pub mod timers;

pub use counters::{Gauges, RequestCounters, TenantCounters, TenantCounts};
pub use discovery_contact::DiscoveryMetrics;
pub use fleet_admission::FleetAdmission;
pub use resources::{ProcessMetrics, ResourceUsage};

use crate::clock::Clock;
use crate::discovery::membership::Membership;
use crate::executed_ids::ExecutedIds;
use crate::latency::{Stage, LATENCIES};
use crate::limits::Limits;
use crate::net::{DirectCalls, SystemCalls};
use crate::process_state::ProcessState;
use crate::queue::{CoreHandle, Message};
use discovery_contact::ContactRecord;
use log_lines::LogLine;
use readiness::{HealthChecks, LEASE_REVIEW_PERIOD};
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tables::{LoadOrders, RequestTable, WorkerTable};
use timers::{TimerEvent, Timers};
use wrenseam_policy::readiness_lease::ReadinessLeases;
use wrenseam_policy::{Controller, Event, Micros, Settings, ZoneNames};

/// How often idle connections to workers are closed and the records of workers that are gone are removed.
const IDLE_SWEEP_PERIOD: Micros = 1_000_000;

/// A timer that fires later than this is logged: a client with a short timeout may then get its answer too late.
const REPORTED_DELAY: Micros = 20_000;

/// Due timers run after messages have been handled for this long.
const MESSAGE_BATCH: Duration = Duration::from_millis(5);

/// The state of the core's thread. See [`Core::run`].
pub struct Core {
    controller: Controller,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    inbox: Receiver<Message>,
    /// The sending half of `inbox`, through which transports report to the core.
    reports: CoreHandle,
    process_state: Arc<ProcessState>,
    /// The last number given to a request, load order or health check. The ids that clients send cannot serve as
    /// numbers, as they are not unique over time.
    last_number: u64,
    last_keepalive_check: Micros,
    requests: RequestTable,
    load_orders: LoadOrders,
    workers: WorkerTable,
    membership: Membership,
    contact: ContactRecord,
    leases: ReadinessLeases,
    health_checks: HealthChecks,
    leases_reviewed_at: Micros,
    timers: Timers,
    /// Events that the policy has not handled yet, oldest first.
    events: VecDeque<Event>,
    request_counters: RequestCounters,
    tenant_counters: TenantCounters,
    /// Ids of requests that must not be executed twice and may have been executed.
    executed_ids: ExecutedIds,
    /// The fleet's retry budget and load shedding; `None` where no fleet is configured.
    fleet_admission: Option<FleetAdmission>,
    /// The system calls that are made on connections to workers.
    system_calls: Arc<dyn SystemCalls>,
    /// The zone names that the settings and the endpoint lists have used, each with its position for the policy.
    zones: ZoneNames,
}

impl Core {
    /// A core without workers or requests. `seed` seeds the policy and the readiness leases; `reports` is the sending
    /// half of `inbox`.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: Arc<Limits>,
        inbox: Receiver<Message>,
        reports: CoreHandle,
        process_state: Arc<ProcessState>,
    ) -> Self {
        Core {
            controller: Controller::new(settings.clone(), seed),
            zones: ZoneNames::new(&settings.zones),
            leases: ReadinessLeases::new(&settings, seed),
            request_counters: RequestCounters::new(settings.classes.len()),
            tenant_counters: TenantCounters::new(settings.tenants.len()),
            settings,
            limits,
            clock: Clock::start(),
            inbox,
            reports,
            process_state,
            last_number: 0,
            last_keepalive_check: 0,
            requests: RequestTable::default(),
            load_orders: LoadOrders::default(),
            workers: WorkerTable::default(),
            membership: Membership::default(),
            contact: ContactRecord::default(),
            health_checks: HealthChecks::default(),
            leases_reviewed_at: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            executed_ids: ExecutedIds::default(),
            fleet_admission: None,
            system_calls: Arc::new(DirectCalls),
        }
    }

    /// Applies the fleet's retry budget and load shedding from now on.
    #[must_use]
    pub fn with_fleet_admission(mut self, fleet_admission: FleetAdmission) -> Self {
        self.fleet_admission = Some(fleet_admission);
        self
    }

    /// Applies readiness leases: a worker that a discovery service reported as ready counts as ready only until its
    /// lease ends. `takes_over` says that this process may replace another one, which shortens the first lease.
    #[must_use]
    pub fn with_discovery(mut self, takes_over: bool) -> Self {
        self.leases.watch_started(self.clock.now(), takes_over);
        self
    }

    /// Replaces the ids of executed requests, by ones that another process of this front end shares.
    #[must_use]
    pub fn with_executed_ids(mut self, executed_ids: ExecutedIds) -> Self {
        self.executed_ids = executed_ids;
        self
    }

    /// Replaces the operating system's calls on connections to workers. Tests use this to inject faults.
    #[must_use]
    pub fn with_system_calls(mut self, system_calls: Arc<dyn SystemCalls>) -> Self {
        self.system_calls = system_calls;
        self
    }

    /// Runs the event loop until every sender of the queue has been dropped.
    pub fn run(mut self) {
        self.start_periodic_timers();
        loop {
            let wait = self.timers.wait(self.clock.now());
            match self.inbox.recv_timeout(wait) {
                Ok(message) => self.handle_batch(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.remove_unneeded_timers();
            self.report_overdue_timers();
            self.run_due_timers();
        }
    }

    fn start_periodic_timers(&mut self) {
        let now = self.clock.now();
        self.timers
            .set(now + IDLE_SWEEP_PERIOD, TimerEvent::IdleSweep);
        self.timers.set(
            now + self.limits.keepalive_check_interval,
            TimerEvent::KeepaliveCheck,
        );
        self.timers
            .set(now + LEASE_REVIEW_PERIOD, TimerEvent::LeaseReview);
    }

    /// Handles a message, and those that are already queued for up to [`MESSAGE_BATCH`]. No timer runs in between, so a
    /// response that is already queued takes precedence over its timeout.
    fn handle_batch(&mut self, first: Message) {
        self.review_overdue_leases();
        let began_at = Instant::now();
        self.handle_message(first);
        while began_at.elapsed() < MESSAGE_BATCH {
            let Ok(message) = self.inbox.try_recv() else {
                return;
            };
            self.handle_message(message);
        }
    }

    /// Logs that timers are late. The line shows that late answers are due to a shortage of processor time and not to a
    /// fault of the program.
    fn report_overdue_timers(&self) {
        let overdue = self.timers.overdue(self.clock.now());
        LATENCIES.record(Stage::Timer, Duration::from_micros(overdue));
        if overdue > REPORTED_DELAY {
            let open_requests = self.requests.len();
            log_limited!(
                "{}",
                LogLine::TimersLate {
                    overdue,
                    open_requests
                }
            );
        }
    }

    /// Removes timers of what has ended, if many are set: clients state the timeouts of their requests, so timers of
    /// requests that were answered long ago would accumulate.
    fn remove_unneeded_timers(&mut self) {
        if !self.timers.removal_is_due() {
            return;
        }
        let (requests, load_orders) = (&self.requests, &self.load_orders);
        let controller = &self.controller;
        self.timers.retain(|event| match event {
            TimerEvent::Policy(token) => controller.needs_timer(token),
            TimerEvent::AttemptTimeout(key) => requests.open_attempt(key).is_some(),
            TimerEvent::LoadOrderTimeout(order) => load_orders.get(order).is_some(),
            TimerEvent::RequestDeadline(id) => !requests.is_answered(id),
            TimerEvent::KeepaliveCheck | TimerEvent::LeaseReview | TimerEvent::IdleSweep => true,
        });
    }

    fn run_due_timers(&mut self) {
        while let Some(event) = self.timers.pop_due(self.clock.now()) {
            self.handle_timer(event);
            self.process_events();
        }
    }

    /// A number that no other request, load order or health check of this process has.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
