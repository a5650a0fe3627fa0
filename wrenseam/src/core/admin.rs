//! The core's answers to operators' calls. Whatever they change is decided here or in membership, without I/O.
use super::{Core, Gauges};
use crate::discovery::membership::Unknown;
use crate::model::AdminCommand;
use std::sync::atomic::Ordering;
use wrenseam_policy::WorkerState;

impl Core {
    /// The line (or lines) that answer a call.
    pub(super) fn call(&mut self, call: AdminCommand) -> String {
        match call {
            AdminCommand::Readyz => match (
                self.shared.draining.load(Ordering::Acquire),
                self.shared.taking(),
            ) {
                (true, _) => "NO draining\n".to_owned(),
                (false, false) => "NO starting\n".to_owned(),
                (false, true) => "YES ready\n".to_owned(),
            },
            AdminCommand::Evacuate => {
                self.evacuate();
                "YES draining\n".to_owned()
            }
            AdminCommand::Activate => {
                if self.shared.draining.swap(false, Ordering::AcqRel) {
                    eprintln!("admin: activate, clients are taken again");
                }
                "YES ready\n".to_owned()
            }
            AdminCommand::Exclude(id) => match self.members.exclude(&id) {
                Ok(changes) => {
                    eprintln!("admin: exclude {id}, nothing new goes there");
                    self.apply(changes);
                    format!("YES excluded {id}\n")
                }
                Err(Unknown) => format!("NO unknown {id}\n"),
            },
            AdminCommand::Include(id) => match self.members.include(&id, self.clock.now()) {
                Ok(changes) => {
                    eprintln!("admin: include {id}, back as a new process");
                    self.apply(changes);
                    format!("YES included {id}\n")
                }
                Err(Unknown) => format!("NO unknown {id}\n"),
            },
            AdminCommand::Telemetry => {
                let names: Vec<String> = self
                    .settings
                    .classes
                    .iter()
                    .map(|c| c.name.clone())
                    .collect();
                let mut text = self.counters.text(&names, self.gauges());
                if let Some(gate) = &self.gate {
                    // Before END, so that a reader that stops there has them.
                    text.truncate(text.len() - "END\n".len());
                    gate.text(&mut text);
                    text.push_str("END\n");
                }
                text
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
