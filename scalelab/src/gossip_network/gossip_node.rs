//! The programs that a simulated front end may run.
use std::net::SocketAddr;
use wrenseam::fleet::{FleetNews, Node, PeerEvent, Summary, Swim};

/// Which program a front end runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipProtocol {
    /// The one with the view.
    BoundedView,
    /// The one before it: a summary of each front end to all.
    Summaries,
}

pub(super) enum GossipNode {
    BoundedView(Box<Node>),
    Summaries(Box<Swim>),
}

impl GossipNode {
    pub(super) fn datagram(&mut self, now: u64, bytes: &[u8]) {
        match self {
            GossipNode::BoundedView(n) => n.datagram(now, bytes),
            GossipNode::Summaries(s) => {
                s.datagram(now, bytes);
            }
        }
    }

    pub(super) fn next(&self) -> u64 {
        match self {
            GossipNode::BoundedView(n) => n.next(),
            GossipNode::Summaries(s) => s.next().unwrap_or(u64::MAX),
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        match self {
            GossipNode::BoundedView(n) => n.tick(now),
            GossipNode::Summaries(s) => s.tick(now),
        }
    }

    pub(super) fn publish(&mut self, now: u64, own: u32, seeds: &[SocketAddr]) -> FleetNews {
        let summary = Summary {
            pressure: own,
            ..Summary::default()
        };
        match self {
            GossipNode::BoundedView(n) => n.publish(now, summary),
            GossipNode::Summaries(s) => {
                s.publish(now, summary);
                if s.alive() == 0 {
                    seeds.iter().for_each(|&a| s.join(now, a));
                }
                FleetNews {
                    alive: s.alive(),
                    pressure: s.pressure(now, own),
                    edges: (s.summaries(now).len(), s.alive()),
                    dropped: s.dropped,
                    ..FleetNews::default()
                }
            }
        }
    }

    pub(super) fn events(&mut self) -> Vec<(u64, PeerEvent)> {
        match self {
            GossipNode::BoundedView(n) => n.events(),
            GossipNode::Summaries(s) => s.events(),
        }
    }

    pub(super) fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        match self {
            GossipNode::BoundedView(n) => n.outbox(),
            GossipNode::Summaries(s) => s
                .outbox()
                .into_iter()
                .map(|out| (out.to, out.bytes))
                .collect(),
        }
    }
}
