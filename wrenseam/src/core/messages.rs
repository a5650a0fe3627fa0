//! Dispatches the messages in the core's queue.
use super::Core;
use crate::fleet::FleetStatus;
use crate::queue::Message;
use std::collections::BTreeSet;
use std::sync::PoisonError;

impl Core {
    /// Handles one message and carries out the actions that the policy returns for it.
    pub(super) fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request {
                request,
                client,
                tag,
                place: _place, // given back once the request is handled
            } => return self.handle_request(request, client, tag),
            Message::RequestCancelled { connection, tag } => self.cancel_request(connection, tag),
            Message::ClientDisconnected { connection } => self.cancel_requests_of(connection),
            Message::AnsweredAtFront { class, end } => {
                let class = self.settings.class(&class);
                self.request_counters.record_end(class, end);
            }
            Message::AttemptEnded { key, report } => self.handle_attempt_end(key, report),
            Message::LoadOrderEnded {
                order,
                outcome,
                replicas,
            } => self.end_load_order(order, outcome, replicas),
            Message::HealthCheckEnded { check, result } => self.end_health_check(check, result),
            Message::WorkerConnectionEnded { address, refused } => {
                self.handle_worker_connection_end(address, refused);
            }
            Message::EndpointUpdate {
                source,
                complete,
                endpoints,
            } => self.update_endpoints(source, complete, endpoints),
            Message::DiscoveryContact(contact) => self.handle_discovery_contact(contact),
            Message::StateReport { reply } => {
                let _ = reply.send(self.state_report()); // the caller may have disconnected
            }
            Message::Admin { command, reply } => {
                let _ = reply.send(self.handle_admin(command)); // the caller may have disconnected
            }
            Message::Exclusions(excluded) => self.replace_exclusions(excluded),
            Message::Standby(standby) => self.controller.set_standby(standby),
            Message::Fleet(status) => self.update_fleet(status),
        }
        self.process_events();
    }

    fn replace_exclusions(&mut self, excluded: BTreeSet<String>) {
        let changes = self
            .membership
            .replace_exclusions(excluded, self.clock.now());
        self.apply_changes(changes);
    }

    /// Applies the fleet's status from gossip and publishes this front end's load summary for gossip to send.
    fn update_fleet(&mut self, status: FleetStatus) {
        let now = self.clock.now();
        let Some(fleet_admission) = self.fleet_admission.as_mut() else {
            return;
        };
        fleet_admission.update(now, status);
        let summary = fleet_admission.summary(now, self.requests.len());
        *self
            .process_state
            .summary
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = summary;
    }
}
