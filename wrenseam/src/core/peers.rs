//! Members and the connections to them: what a change of the list does to both, and how many connections may stand.
use super::Core;
use crate::discovery::membership::{Change, Duty};
use crate::model::{AttemptKey, Endpoint, TransportProtocol};
use crate::worker::pool::{ConnectionCounts, IdleConnection};
use crate::worker::{pool, transport, CancelOutcome, Transport};
use std::sync::atomic::Ordering;
use wrenseam_policy::json::position;
use wrenseam_policy::Event;

/// A member, and the ways to it.
pub(super) struct Peer {
    pub(super) endpoint: Endpoint,
    pub(super) transport: Box<dyn Transport>,
    /// The ways to where it stood before: they take nothing new, and stay until what is open there has ended.
    pub(super) former: Vec<Box<dyn Transport>>,
}

impl Peer {
    pub(super) fn each(&mut self) -> impl Iterator<Item = &mut Box<dyn Transport>> {
        std::iter::once(&mut self.transport).chain(&mut self.former)
    }

    /// Gives an attempt up, wherever it is.
    pub(super) fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        self.each()
            .map(|t| t.cancel(key))
            .fold(CancelOutcome::Unknown, |found, told| match told {
                CancelOutcome::Unknown => found,
                told => told,
            })
    }

    pub(super) fn is_idle(&self) -> bool {
        self.transport.is_idle() && self.former.iter().all(|t| t.is_idle())
    }

    pub(super) fn sweep(&mut self) {
        self.each().for_each(|t| t.sweep());
        self.former.retain(|t| !t.is_idle());
    }
}

impl Core {
    /// Whether a call to this worker finds a connection or may open one: where descriptors run short, the
    /// connections idle longest close for it, whoever they lead to.
    pub(super) fn room(&mut self, worker: &str) -> bool {
        if !self
            .peers
            .get(worker)
            .is_some_and(|p| p.transport.connections().next_attempt_opens)
        {
            return true;
        }
        self.trim(1)
    }

    /// Closes idle connections until `more` may be opened; false if too many are in use.
    pub(super) fn trim(&mut self, more: usize) -> bool {
        let clients = self.shared.clients.load(Ordering::Acquire);
        let each = self.peers.values_mut().flat_map(Peer::each);
        let open: usize = each.map(|t| t.connections().open).sum();
        let over = self.limits.pool.excess(ConnectionCounts {
            open,
            additional: more,
            clients,
        });
        if over == 0 {
            return true;
        }
        let idle = self.peers.iter().filter_map(|(id, p)| {
            Some(IdleConnection {
                worker: id.clone(),
                idle_since: p.transport.idle_since()?,
            })
        });
        let closed = pool::longest_idle(idle.collect(), over);
        for id in &closed {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.transport.close_idle();
            }
        }
        closed.len() == over
    }

    pub(super) fn update_endpoints(
        &mut self,
        source: TransportProtocol,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let changes = self.members.take(source, complete, endpoints);
        self.apply(changes);
        self.shared.ready.store(true, Ordering::Release);
    }

    /// Carries out changes of members: their connections, and the module's list.
    pub(super) fn apply(&mut self, changes: Vec<Change>) {
        let mut entries = Vec::new();
        for Change { member, duty } in changes {
            entries.push(wrenseam_policy::Endpoint {
                worker: member.id.clone(),
                state: member.state,
                started_at: member.started_at,
                zone: self.zones.position(&member.zone),
                kind: position(&self.settings.kinds, Some(&member.kind)),
                cell: member.cell,
            });
            eprintln!(
                "member {}: {:?} at {}",
                member.id, member.state, member.address
            );
            let mut former = Vec::new();
            if let Some(mut peer) = self.peers.remove(&member.id) {
                if duty != Duty::Keep {
                    peer.transport.drain();
                }
                if duty != Duty::Reach {
                    peer.endpoint = member;
                    self.peers.insert(peer.endpoint.id.clone(), peer);
                    continue;
                }
                // What is open at its former place ends there, and cancels find it.
                former = peer.former;
                former.push(peer.transport);
            }
            let to = transport(
                member.protocol,
                member.address,
                &self.limits,
                &self.reports,
                &self.calls,
            );
            self.peers.insert(
                member.id.clone(),
                Peer {
                    endpoint: member,
                    transport: to,
                    former,
                },
            );
        }
        if !entries.is_empty() {
            self.events.push_back(Event::EndpointUpdate {
                complete: false,
                endpoints: entries,
            });
        }
    }
}
