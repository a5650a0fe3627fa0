//! The contact with the discovery service, as log and `telemetry` show it: when the endpoint list was last confirmed,
//! and how often contact was interrupted.
use super::log_lines::LogLine;
use super::Core;
use crate::model::DiscoveryContact;
use std::fmt::Write;
use wrenseam_policy::Micros;

const MICROS_PER_MILLI: Micros = 1_000;

/// When the endpoint list was last confirmed, and whether contact is lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ContactRecord {
    /// `None` if the list has never been confirmed in this process.
    confirmed_at: Option<Micros>,
    /// Time of the first interruption since the list was last confirmed; `None` if there was none.
    lost_at: Option<Micros>,
    /// Interruptions since the start of this process.
    interruptions: u64,
}

/// The metrics of the contact with discovery, as `telemetry` writes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryMetrics {
    /// Time since the endpoint list was last confirmed, in milliseconds; `None` if it never was in this process.
    pub confirmed_ms_ago: Option<u64>,
    /// How often contact was interrupted since the start of this process.
    pub interruptions: u64,
    /// Workers that are listed as ready but suspended: while contact was lost, their readiness leases ended, they
    /// answered a health check that they accept no new work, or they refused a connection.
    pub suspended: usize,
    /// Health checks sent to workers since the start of this process.
    pub health_checks: u64,
}

impl DiscoveryMetrics {
    /// Appends the metrics to the text of `telemetry`, one per line.
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
    /// Updates the readiness leases when the discovery client reports that the list is confirmed or contact
    /// interrupted.
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
                    log_limited!("{}", LogLine::DiscoveryRegained { outage });
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
                log_limited!("{}", LogLine::DiscoveryLost { cause, age });
            }
        }
    }

    /// The metrics of the contact; `None` if no discovery service has been contacted in this process.
    pub(super) fn discovery_metrics(&self) -> Option<DiscoveryMetrics> {
        let contact = self.contact;
        let was_contacted = contact.confirmed_at.is_some() || contact.interruptions > 0;
        let now = self.clock.now();
        was_contacted.then(|| DiscoveryMetrics {
            confirmed_ms_ago: contact
                .confirmed_at
                .map(|confirmed_at| now.saturating_sub(confirmed_at) / MICROS_PER_MILLI),
            interruptions: contact.interruptions,
            suspended: self.leases.suspended_count(),
            health_checks: self.health_checks.sent,
        })
    }
}
