//! The core: one thread that owns the policy and all records of requests, attempts, load orders and workers.
//!
//! Fronts, transports and discovery reach it only through its queue. A message or a timer becomes an event of the
//! policy, and the actions that the policy decides on are carried out; nothing here blocks on a socket, and no wire
//! protocol is known here. [`Core::run`] is the event loop, `messages` and `timer_events` dispatch what comes in, and
//! `actions` carries out what the policy decides.
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
mod state_report;
pub mod tables;
mod timer_events;
pub mod timers;

pub use counters::{Gauges, RequestCounters, TenantCounters, TenantCounts};
pub use discovery_contact::DiscoveryFigures;
pub use fleet_admission::FleetAdmission;

use crate::clock::Clock;
use crate::discovery::membership::Membership;
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
use tables::{LoadOrders, RequestTable, WorkerTable};
use timers::{TimerEvent, Timers};
use wrenseam_policy::readiness_lease::ReadinessLeases;
use wrenseam_policy::{Controller, Event, Micros, Settings, ZoneNames};

/// How often connections are checked for their idle timeout.
const IDLE_SWEEP_PERIOD: Micros = 1_000_000;

/// Timers that fire later than this are logged: with a short timeout, an answer may then be too late for its client.
const REPORTED_DELAY: Micros = 20_000;

/// Messages handled after the first before timers are looked at.
const MESSAGE_BATCH: usize = 256;

/// The state of the core's thread.
pub struct Core {
    controller: Controller,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    inbox: Receiver<Message>,
    /// The core's own queue, for transports to report to.
    reports: CoreHandle,
    process_state: Arc<ProcessState>,
    /// The last number of a request or a load order. The ids that clients send are not unique over time.
    last_number: u64,
    last_liveness_check: Micros,
    requests: RequestTable,
    load_orders: LoadOrders,
    workers: WorkerTable,
    membership: Membership,
    contact: ContactRecord,
    leases: ReadinessLeases,
    health_checks: HealthChecks,
    leases_reviewed_at: Micros,
    timers: Timers,
    /// Events that the policy has not handled yet.
    events: VecDeque<Event>,
    request_counters: RequestCounters,
    tenant_counters: TenantCounters,
    /// The fleet's limits, where the fleet is on.
    fleet_admission: Option<FleetAdmission>,
    /// The system calls on connections to workers.
    system_calls: Arc<dyn SystemCalls>,
    /// The zones that the settings and the endpoint lists have named.
    zones: ZoneNames,
}

impl Core {
    /// A core without workers or requests.
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
            last_liveness_check: 0,
            requests: RequestTable::default(),
            load_orders: LoadOrders::default(),
            workers: WorkerTable::default(),
            membership: Membership::default(),
            contact: ContactRecord::default(),
            health_checks: HealthChecks::default(),
            leases_reviewed_at: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            fleet_admission: None,
            system_calls: Arc::new(DirectCalls),
        }
    }

    /// Applies the fleet's limits from now on.
    #[must_use]
    pub fn with_fleet_admission(mut self, fleet_admission: FleetAdmission) -> Self {
        self.fleet_admission = Some(fleet_admission);
        self
    }

    /// Follows a discovery service: what it has stated of workers may be acted on for a while only. Whether this process
    /// takes over from another.
    #[must_use]
    pub fn with_discovery(mut self, takes_over: bool) -> Self {
        self.leases.watch_started(self.clock.now(), takes_over);
        self
    }

    /// Makes these system calls on connections to workers in place of the machine's.
    #[must_use]
    pub fn with_calls(mut self, system_calls: Arc<dyn SystemCalls>) -> Self {
        self.system_calls = system_calls;
        self
    }

    /// The event loop. Runs until every sender of the queue is gone.
    pub fn run(mut self) {
        self.start_periodic_timers();
        loop {
            let wait = self.timers.wait(self.clock.now());
            match self.inbox.recv_timeout(wait) {
                Ok(message) => self.handle_batch(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.report_overdue_timers();
            self.run_due_timers();
        }
    }

    fn start_periodic_timers(&mut self) {
        let now = self.clock.now();
        self.timers
            .set(now + IDLE_SWEEP_PERIOD, TimerEvent::IdleSweep);
        self.timers
            .set(now + self.limits.link_check, TimerEvent::LivenessCheck);
        self.timers
            .set(now + LEASE_REVIEW_PERIOD, TimerEvent::LeaseReview);
    }

    /// Handles a message and those that have queued up behind it, before any timer: an answer that is here already
    /// wins over its timeout.
    fn handle_batch(&mut self, first: Message) {
        self.review_overdue_leases();
        self.handle_message(first);
        for _ in 0..MESSAGE_BATCH {
            let Ok(message) = self.inbox.try_recv() else {
                return;
            };
            self.handle_message(message);
        }
    }

    /// Logs that timers are late. It distinguishes a machine without free processor time from a fault of the program when
    /// answers came late.
    fn report_overdue_timers(&self) {
        let overdue = self.timers.overdue(self.clock.now());
        if overdue > REPORTED_DELAY {
            let open_requests = self.requests.len();
            note!(
                "{}",
                LogLine::TimersLate {
                    overdue,
                    open_requests
                }
            );
        }
    }

    fn run_due_timers(&mut self) {
        while let Some(event) = self.timers.pop_due(self.clock.now()) {
            self.handle_timer(event);
            self.process_events();
        }
    }

    /// A number that no other request or load order of this process has.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
