//! The gossip protocols that a simulated front end may run.
use std::net::SocketAddr;
use wrenseam::fleet::average::EdgeCounts;
use wrenseam::fleet::traffic::Outgoing;
use wrenseam::fleet::{FleetStatus, Node, Summary, Swim, TimedPeerEvent};

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
            GossipNode::BoundedView(node) => node.handle_datagram(now, bytes),
            GossipNode::Summaries(swim) => {
                swim.handle_datagram(now, bytes);
            }
        }
    }

    pub(super) fn next(&self) -> u64 {
        match self {
            GossipNode::BoundedView(node) => node.next_wakeup(),
            GossipNode::Summaries(swim) => swim.next_wakeup().unwrap_or(u64::MAX),
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        match self {
            GossipNode::BoundedView(node) => node.tick(now),
            GossipNode::Summaries(swim) => swim.tick(now),
        }
    }

    pub(super) fn publish(&mut self, now: u64, own: u32, seeds: &[SocketAddr]) -> FleetStatus {
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
                FleetStatus {
                    alive: swim.alive(),
                    pressure: swim.pressure(now, own),
                    edges: EdgeCounts {
                        heard: swim.summaries(now).len(),
                        total: swim.alive(),
                    },
                    dropped: swim.dropped,
                    ..FleetStatus::default()
                }
            }
        }
    }

    pub(super) fn events(&mut self) -> Vec<TimedPeerEvent> {
        match self {
            GossipNode::BoundedView(node) => node.take_events(),
            GossipNode::Summaries(swim) => swim.take_events(),
        }
    }

    pub(super) fn outbox(&mut self) -> Vec<Outgoing> {
        match self {
            GossipNode::BoundedView(node) => node.take_outbox(),
            GossipNode::Summaries(swim) => swim.take_outbox(),
        }
    }
}
