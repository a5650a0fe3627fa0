//! The programs that a simulated front end may run.
use std::net::SocketAddr;
use wrenseam::fleet::{FleetNews, Node, PeerEvent, Summary, Swim};

/// Which program a front end runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The one with the view.
    Average,
    /// The one before it: a summary of each front end to all.
    Summaries,
}

pub(super) enum Program {
    Average(Box<Node>),
    Summaries(Box<Swim>),
}

impl Program {
    pub(super) fn datagram(&mut self, now: u64, bytes: &[u8]) {
        match self {
            Program::Average(n) => n.datagram(now, bytes),
            Program::Summaries(s) => {
                s.datagram(now, bytes);
            }
        }
    }

    pub(super) fn next(&self) -> u64 {
        match self {
            Program::Average(n) => n.next(),
            Program::Summaries(s) => s.next().unwrap_or(u64::MAX),
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        match self {
            Program::Average(n) => n.tick(now),
            Program::Summaries(s) => s.tick(now),
        }
    }

    pub(super) fn publish(&mut self, now: u64, own: u32, seeds: &[SocketAddr]) -> FleetNews {
        let summary = Summary {
            pressure: own,
            ..Summary::default()
        };
        match self {
            Program::Average(n) => n.publish(now, summary),
            Program::Summaries(s) => {
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
            Program::Average(n) => n.events(),
            Program::Summaries(s) => s.events(),
        }
    }

    pub(super) fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        match self {
            Program::Average(n) => n.outbox(),
            Program::Summaries(s) => s
                .outbox()
                .into_iter()
                .map(|out| (out.to, out.bytes))
                .collect(),
        }
    }
}
