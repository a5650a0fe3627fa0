//! Carries out the commands of the admin endpoint.
use super::log_lines::LogLine;
use super::{Core, Gauges};
use crate::discovery::membership::UnknownEndpoint;
use crate::latency::LATENCIES;
use crate::model::{AdminCommand, AdminReply};
use std::sync::atomic::Ordering;
use wrenseam_policy::WorkerState;

impl Core {
    /// Carries out a command and returns the reply.
    pub(super) fn handle_admin(&mut self, command: AdminCommand) -> AdminReply {
        match command {
            AdminCommand::Readyz => self.readiness(),
            AdminCommand::Telemetry => AdminReply::Telemetry(self.telemetry()),
            AdminCommand::Exclude(id) => self.exclude(id),
            AdminCommand::Include(id) => self.include(id),
            AdminCommand::Evacuate => self.evacuate(),
            AdminCommand::Activate => self.activate(),
        }
    }

    fn readiness(&self) -> AdminReply {
        if self.process_state.draining.load(Ordering::Acquire) {
            AdminReply::NotReadyDraining
        } else if self.process_state.accepts_clients() {
            AdminReply::Ready
        } else {
            AdminReply::NotReadyStarting
        }
    }

    fn telemetry(&self) -> String {
        let class_names: Vec<String> = self
            .settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        self.request_counters.telemetry(
            &class_names,
            self.gauges(),
            self.discovery_metrics(),
            self.fleet_admission.as_ref(),
            Some(self.process_metrics()),
            Some(&LATENCIES),
        )
    }

    fn gauges(&self) -> Gauges {
        let mut gauges = Gauges {
            pending: self.requests.unanswered(),
            ..Gauges::default()
        };
        for endpoint in self.workers.endpoints() {
            if endpoint.state == WorkerState::Gone {
                continue;
            }
            gauges.members += 1;
            if endpoint.state != WorkerState::Ready || self.controller.is_unreachable(&endpoint.id)
            {
                gauges.unavailable += 1;
            }
        }
        gauges
    }

    /// Excludes a worker: it gets no new work until it is included again.
    fn exclude(&mut self, id: String) -> AdminReply {
        match self.membership.exclude(&id) {
            Ok(changes) => {
                log_line!("{}", LogLine::Excluded(&id));
                self.apply_changes(changes);
                AdminReply::Excluded(id)
            }
            Err(UnknownEndpoint) => AdminReply::UnknownWorker(id),
        }
    }

    /// Ends the exclusion of a worker, which then counts as a new process.
    fn include(&mut self, id: String) -> AdminReply {
        match self.membership.include(&id, self.clock.now()) {
            Ok(changes) => {
                log_line!("{}", LogLine::Included(&id));
                self.apply_changes(changes);
                AdminReply::Included(id)
            }
            Err(UnknownEndpoint) => AdminReply::UnknownWorker(id),
        }
    }

    /// Starts to drain: the front end reports that it is not ready, and client connections close once they are idle.
    fn evacuate(&mut self) -> AdminReply {
        if self.process_state.start_drain() {
            log_line!("{}", LogLine::Draining);
        }
        AdminReply::DrainStarted
    }

    /// Ends the drain: the front end accepts clients again.
    fn activate(&mut self) -> AdminReply {
        if self.process_state.end_drain() {
            log_line!("{}", LogLine::Activated);
        }
        AdminReply::Ready
    }
}
