//! The core's answers to operators' calls. Whatever they change is decided here or in membership, without I/O.
use super::{Core, Gauges};
use crate::discovery::membership::Unknown;
use crate::model::{AdminCommand, AdminReply};
use std::sync::atomic::Ordering;
use wrenseam_policy::WorkerState;

impl Core {
    /// Carries out a command.
    pub(super) fn call(&mut self, call: AdminCommand) -> AdminReply {
        match call {
            AdminCommand::Readyz => match (
                self.shared.draining.load(Ordering::Acquire),
                self.shared.taking(),
            ) {
                (true, _) => AdminReply::NotReadyDraining,
                (false, false) => AdminReply::NotReadyStarting,
                (false, true) => AdminReply::Ready,
            },
            AdminCommand::Evacuate => {
                self.evacuate();
                AdminReply::DrainStarted
            }
            AdminCommand::Activate => {
                if self.shared.draining.swap(false, Ordering::AcqRel) {
                    eprintln!("admin: activate, clients are taken again");
                }
                AdminReply::Ready
            }
            AdminCommand::Exclude(id) => match self.members.exclude(&id) {
                Ok(changes) => {
                    eprintln!("admin: exclude {id}, nothing new goes there");
                    self.apply(changes);
                    AdminReply::Excluded(id)
                }
                Err(Unknown) => AdminReply::UnknownWorker(id),
            },
            AdminCommand::Include(id) => match self.members.include(&id, self.clock.now()) {
                Ok(changes) => {
                    eprintln!("admin: include {id}, back as a new process");
                    self.apply(changes);
                    AdminReply::Included(id)
                }
                Err(Unknown) => AdminReply::UnknownWorker(id),
            },
            AdminCommand::Telemetry => {
                let names: Vec<String> = self
                    .settings
                    .classes
                    .iter()
                    .map(|c| c.name.clone())
                    .collect();
                let mut text = self.tally.text(&names, self.gauges());
                if let Some(gate) = &self.gate {
                    // Before END, so that a reader that stops there has them.
                    text.truncate(text.len() - "END\n".len());
                    gate.text(&mut text);
                    text.push_str("END\n");
                }
                AdminReply::Telemetry(text)
            }
        }
    }

    /// The gauges as they stand.
    fn gauges(&self) -> Gauges {
        let pending = self.requests.values().filter(|o| !o.answered).count();
        let listed = || {
            self.peers
                .values()
                .filter(|p| p.endpoint.state != WorkerState::Gone)
        };
        let avoided = |p: &&super::Peer| {
            p.endpoint.state != WorkerState::Ready || self.controller.is_ejected(&p.endpoint.id)
        };
        Gauges {
            pending,
            members: listed().count(),
            unavailable: listed().filter(avoided).count(),
        }
    }

    /// Readiness turns to no; client connections close as soon as nothing is owed on them.
    pub(crate) fn evacuate(&mut self) {
        if !self.shared.draining.swap(true, Ordering::AcqRel) {
            eprintln!("admin: evacuate, readiness says no, idle client connections close");
        }
    }
}
