//! The gossip protocols that a simulated front end can run.
use std::net::SocketAddr;
use wrenseam::fleet::average::EdgeCounts;
use wrenseam::fleet::traffic::Outgoing;
use wrenseam::fleet::{FleetStatus, Node, Summary, Swim, TimedPeerEvent};

/// Selects the gossip protocol of a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipProtocol {
    /// The current protocol: membership records, and averaging of the pressure over a bounded number of edges.
    BoundedView,
    /// The previous protocol: the load summary of each front end is disseminated to all others.
    Summaries,
}

/// The state machine of a front end's gossip protocol.
pub(super) enum GossipNode {
    BoundedView(Box<Node>),
    Summaries(Box<Swim>),
}

impl GossipNode {
    pub(super) fn handle_datagram(&mut self, now: u64, bytes: &[u8]) {
        match self {
            GossipNode::BoundedView(node) => node.handle_datagram(now, bytes),
            GossipNode::Summaries(swim) => {
                swim.handle_datagram(now, bytes);
            }
        }
    }

    /// Simulated time of the next call of `tick`, in microseconds; `u64::MAX` if none is scheduled.
    pub(super) fn next_wakeup(&self) -> u64 {
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

    /// Publishes this front end's own pressure and returns its status of the fleet. `seeds` are the peers through which
    /// [`GossipNode::Summaries`] joins while it counts no peer alive; the other protocol has them in its settings.
    pub(super) fn publish(
        &mut self,
        now: u64,
        own_pressure: u32,
        seeds: &[SocketAddr],
    ) -> FleetStatus {
        let summary = Summary {
            pressure: own_pressure,
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
                    pressure: swim.pressure(now, own_pressure),
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
