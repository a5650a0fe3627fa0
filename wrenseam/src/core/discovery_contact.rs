//! The contact with the discovery service, as operators see it: when the endpoint list was last confirmed, and how often
//! that was interrupted.
use super::log_lines::LogLine;
use super::Core;
use crate::model::DiscoveryContact;
use std::fmt::Write;
use wrenseam_policy::Micros;

const MICROS_PER_MILLI: Micros = 1_000;

/// When the list was last confirmed, and since when it is not any more.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ContactRecord {
    /// `None`: not in this process.
    confirmed_at: Option<Micros>,
    lost_at: Option<Micros>,
    interruptions: u64,
}

/// The figures of the contact, as `telemetry` shows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFigures {
    /// Age of the last confirmation of the list, in milliseconds, if there was one in this process.
    pub confirmed_ms_ago: Option<u64>,
    /// How often the contact was interrupted.
    pub interruptions: u64,
    /// Workers that are listed as ready and get nothing new, as discovery was not heard for too long.
    pub suspended: usize,
    /// Health checks sent to workers.
    pub health_checks: u64,
}

impl DiscoveryFigures {
    /// Writes the figures, one a line.
    pub fn write_telemetry(&self, text: &mut String) {
        if let Some(age) = self.confirmed_ms_ago {
            let _ = writeln!(text, "app.discovery.confirmed_ms_ago:{age}|g");
        }
        let interruptions = self.interruptions;
        let _ = writeln!(text, "app.discovery.interruptions:{interruptions}|c");
        let _ = writeln!(text, "app.members_suspended:{}|g", self.suspended);
        let _ = writeln!(text, "app.health_checks:{}|c", self.health_checks);
    }
}

impl Core {
    /// The contact with the discovery service changed.
    pub(super) fn handle_discovery_contact(&mut self, contact: DiscoveryContact) {
        let now = self.clock.now();
        match contact {
            DiscoveryContact::Confirmed { requested_at } => {
                let requested_at = self.clock.at(requested_at);
                self.contact.confirmed_at = Some(requested_at);
                let actions = self.leases.list_confirmed(requested_at);
                self.apply_lease_actions(actions);
                if let Some(lost_at) = self.contact.lost_at.take() {
                    let outage = now.saturating_sub(lost_at);
                    note!("{}", LogLine::DiscoveryRegained { outage });
                }
            }
            DiscoveryContact::Interrupted { at, cause } => {
                let at = self.clock.at(at);
                self.contact.interruptions += 1;
                self.leases.interrupted(at, cause);
                self.contact.lost_at.get_or_insert(at);
                let age = self
                    .contact
                    .confirmed_at
                    .map(|confirmed_at| now.saturating_sub(confirmed_at));
                note!("{}", LogLine::DiscoveryLost { cause, age });
            }
        }
    }

    /// The figures of the contact; `None` where no discovery service has ever been followed.
    pub(super) fn discovery_figures(&self) -> Option<DiscoveryFigures> {
        let contact = self.contact;
        let was_followed = contact.confirmed_at.is_some() || contact.interruptions > 0;
        let now = self.clock.now();
        was_followed.then(|| DiscoveryFigures {
            confirmed_ms_ago: contact
                .confirmed_at
                .map(|confirmed_at| now.saturating_sub(confirmed_at) / MICROS_PER_MILLI),
            interruptions: contact.interruptions,
            suspended: self.leases.suspended_count(),
            health_checks: self.health_checks.sent,
        })
    }
}
