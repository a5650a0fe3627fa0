//! The core's answers to the commands of the admin endpoint.
use super::log_lines::LogLine;
use super::{Core, Gauges};
use crate::discovery::membership::UnknownEndpoint;
use crate::model::{AdminCommand, AdminReply};
use std::sync::atomic::Ordering;
use wrenseam_policy::WorkerState;

impl Core {
    /// Carries out a command.
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
        } else if self.process_state.taking() {
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
            self.discovery_figures(),
            self.fleet_admission.as_ref(),
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

    /// Sends a worker nothing new until it is included again.
    fn exclude(&mut self, id: String) -> AdminReply {
        match self.membership.exclude(&id) {
            Ok(changes) => {
                eprintln!("{}", LogLine::Excluded(&id));
                self.apply_changes(changes);
                AdminReply::Excluded(id)
            }
            Err(UnknownEndpoint) => AdminReply::UnknownWorker(id),
        }
    }

    /// Puts an excluded worker back, as a new process.
    fn include(&mut self, id: String) -> AdminReply {
        match self.membership.include(&id, self.clock.now()) {
            Ok(changes) => {
                eprintln!("{}", LogLine::Included(&id));
                self.apply_changes(changes);
                AdminReply::Included(id)
            }
            Err(UnknownEndpoint) => AdminReply::UnknownWorker(id),
        }
    }

    /// Starts a drain: the front end is not ready, and client connections close once they are idle.
    fn evacuate(&mut self) -> AdminReply {
        if !self.process_state.draining.swap(true, Ordering::AcqRel) {
            eprintln!("{}", LogLine::Draining);
        }
        AdminReply::DrainStarted
    }

    /// Ends a drain.
    fn activate(&mut self) -> AdminReply {
        if self.process_state.draining.swap(false, Ordering::AcqRel) {
            eprintln!("{}", LogLine::Activated);
        }
        AdminReply::Ready
    }
}
