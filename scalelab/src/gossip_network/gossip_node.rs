//! The gossip protocols that a simulated front end may run.
use std::net::SocketAddr;
use wrenseam::fleet::{FleetNews, Node, PeerEvent, Summary, Swim};

/// Which gossip protocol a front end speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipProtocol {
    /// The fleet view of bounded size.
    BoundedView,
    /// The protocol before it: a summary of each front end to all.
    Summaries,
}

/// The state machine of one protocol.
pub(super) enum GossipNode {
    BoundedView(Box<Node>),
    Summaries(Box<Swim>),
}

impl GossipNode {
    pub(super) fn datagram(&mut self, now: u64, bytes: &[u8]) {
        match self {
            GossipNode::BoundedView(node) => node.datagram(now, bytes),
            GossipNode::Summaries(swim) => {
                swim.datagram(now, bytes);
            }
        }
    }

    pub(super) fn next(&self) -> u64 {
        match self {
            GossipNode::BoundedView(node) => node.next(),
            GossipNode::Summaries(swim) => swim.next().unwrap_or(u64::MAX),
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        match self {
            GossipNode::BoundedView(node) => node.tick(now),
            GossipNode::Summaries(swim) => swim.tick(now),
        }
    }

    pub(super) fn publish(&mut self, now: u64, own: u32, seeds: &[SocketAddr]) -> FleetNews {
        let summary = Summary {
            pressure: own,
            ..Summary::default()
        };
        match self {
            GossipNode::BoundedView(node) => node.publish(now, summary),
            GossipNode::Summaries(swim) => {
                swim.publish(now, summary);
                if swim.alive() == 0 {
                    for &seed in seeds {
                        swim.join(now, seed);
                    }
                }
                FleetNews {
                    alive: swim.alive(),
                    pressure: swim.pressure(now, own),
                    edges: (swim.summaries(now).len(), swim.alive()),
                    dropped: swim.dropped,
                    ..FleetNews::default()
                }
            }
        }
    }

    pub(super) fn events(&mut self) -> Vec<(u64, PeerEvent)> {
        match self {
            GossipNode::BoundedView(node) => node.events(),
            GossipNode::Summaries(swim) => swim.events(),
        }
    }

    pub(super) fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        match self {
            GossipNode::BoundedView(node) => node.outbox(),
            GossipNode::Summaries(swim) => swim
                .outbox()
                .into_iter()
                .map(|out| (out.to, out.bytes))
                .collect(),
        }
    }
}
