//! The core's answers to the commands of the admin endpoint.
use super::log_lines::LogLine;
use super::{Core, Gauges};
use crate::discovery::membership::Unknown;
use crate::model::AdminCommand;
use std::sync::atomic::Ordering;
use wrenseam_policy::WorkerState;

impl Core {
    /// Carries out a command and returns the text of its reply.
    pub(super) fn handle_admin(&mut self, command: AdminCommand) -> String {
        match command {
            AdminCommand::Readyz => self.readiness().to_owned(),
            AdminCommand::Telemetry => self.telemetry(),
            AdminCommand::Exclude(id) => self.exclude(&id),
            AdminCommand::Include(id) => self.include(&id),
            AdminCommand::Evacuate => self.evacuate().to_owned(),
            AdminCommand::Activate => self.activate().to_owned(),
        }
    }

    fn readiness(&self) -> &'static str {
        if self.process_state.draining.load(Ordering::Acquire) {
            "NO draining\n"
        } else if self.process_state.taking() {
            "YES ready\n"
        } else {
            "NO starting\n"
        }
    }

    fn telemetry(&self) -> String {
        let class_names: Vec<String> = self
            .settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        self.request_counters
            .telemetry(&class_names, self.gauges(), self.fleet_admission.as_ref())
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
    fn exclude(&mut self, id: &str) -> String {
        match self.membership.exclude(id) {
            Ok(changes) => {
                eprintln!("{}", LogLine::Excluded(id));
                self.apply_changes(changes);
                format!("YES excluded {id}\n")
            }
            Err(Unknown) => format!("NO unknown {id}\n"),
        }
    }

    /// Puts an excluded worker back, as a new process.
    fn include(&mut self, id: &str) -> String {
        match self.membership.include(id, self.clock.now()) {
            Ok(changes) => {
                eprintln!("{}", LogLine::Included(id));
                self.apply_changes(changes);
                format!("YES included {id}\n")
            }
            Err(Unknown) => format!("NO unknown {id}\n"),
        }
    }

    /// Starts a drain: the front end is not ready, and client connections close once they are idle.
    fn evacuate(&mut self) -> &'static str {
        if !self.process_state.draining.swap(true, Ordering::AcqRel) {
            eprintln!("{}", LogLine::Draining);
        }
        "YES draining\n"
    }

    /// Ends a drain.
    fn activate(&mut self) -> &'static str {
        if self.process_state.draining.swap(false, Ordering::AcqRel) {
            eprintln!("{}", LogLine::Activated);
        }
        "YES ready\n"
    }
}
