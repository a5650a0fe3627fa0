//! The runtime that foca calls: it collects datagrams, timers and changes of membership.
use super::timers::Timers;
use super::{PeerEvent, TimedPeerEvent};
use crate::fleet::detector::Detector;
use crate::fleet::identity::{PeerId, HEADER_BYTES};
use crate::fleet::traffic::{Outgoing, TrafficKind};
use foca::{Codec, Header, Member, Message, Notification, PostcardCodec, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;
use wrenseam_policy::Micros;

/// The most member updates piggybacked on a probe message (ping, acknowledgement and their indirect forms) while no
/// summaries are gossiped.
const MAX_PROBE_UPDATES: u16 = 24;
/// The most member updates piggybacked on a probe message while the byte budget is low.
const MAX_PROBE_UPDATES_LOW_BUDGET: u16 = 12;

/// The datagrams, timers and events that foca has produced, and the state that its callbacks use.
#[derive(Default)]
pub(super) struct FocaRuntime {
    pub(super) now: Micros,
    /// Total time in which the process did not run; foca's clock is behind `now` by this.
    pub(super) stalled_for: Micros,
    pub(super) outbox: Vec<Outgoing>,
    pub(super) timers: Timers,
    pub(super) events: Vec<TimedPeerEvent>,
    /// Whether the live peers may have changed since [`super::Swim::take_changed`] was last called.
    pub(super) changed: bool,
    /// Whether foca found that the peers declared this front end down.
    pub(super) defunct: bool,
    /// Whether summaries are gossiped: probe messages then carry all updates and summaries that foca adds.
    pub(super) carries_summaries: bool,
    /// Whether the byte budget is low: probe messages carry fewer updates, and periodic gossip goes to one peer a
    /// round.
    pub(super) reduced_gossip: bool,
    pub(super) detector: Detector,
    pub(super) header: [u8; HEADER_BYTES],
}

impl FocaRuntime {
    /// A runtime that prefixes foca's datagrams with `header`.
    pub(super) fn new(header: [u8; HEADER_BYTES], detector: Detector) -> FocaRuntime {
        FocaRuntime {
            header,
            detector,
            ..FocaRuntime::default()
        }
    }

    /// The present time on foca's clock, which stops while the process does not run.
    pub(super) fn foca_now(&self) -> Micros {
        self.now.saturating_sub(self.stalled_for)
    }

    /// Queues a change of membership with the present time.
    pub(super) fn push_event(&mut self, event: PeerEvent) {
        self.events.push(TimedPeerEvent {
            at: self.now,
            event,
        });
    }

    /// Foca's datagram behind the fleet's header; a probe message's updates are cut to [`Self::max_updates`].
    fn frame_datagram(&self, kind: TrafficKind, data: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&self.header);
        if kind == TrafficKind::Probe && !self.carries_summaries {
            if let Some(trimmed) = truncate_updates(data, self.max_updates()) {
                bytes.extend(trimmed);
                return bytes;
            }
        }
        bytes.extend_from_slice(data);
        bytes
    }

    /// The most updates that a probe message may carry now.
    fn max_updates(&self) -> u16 {
        if self.reduced_gossip {
            MAX_PROBE_UPDATES_LOW_BUDGET
        } else {
            MAX_PROBE_UPDATES
        }
    }
}

impl Runtime<PeerId> for FocaRuntime {
    fn notify(&mut self, notification: Notification<'_, PeerId>) {
        let event = match notification {
            Notification::MemberUp(id) => PeerEvent::Up(*id),
            Notification::MemberDown(id) => PeerEvent::Down(*id),
            Notification::Rename(_, new) => PeerEvent::NewIncarnation(*new),
            Notification::Idle => PeerEvent::Isolated,
            Notification::Defunct => {
                self.defunct = true;
                return;
            }
            _ => return,
        };
        if let Some(addr) = peer_addr(event) {
            self.detector.forget(addr);
        }
        self.changed |= matches!(event, PeerEvent::Up(_) | PeerEvent::Down(_));
        self.push_event(event);
    }

    fn send_to(&mut self, to: PeerId, data: &[u8]) {
        let message = read_header(data).map(|header| header.message);
        if let Some(Message::Ping(number)) = message {
            self.detector.record_probe(self.now, number);
        }
        let kind = match message {
            Some(Message::Feed | Message::Announce) => TrafficKind::Join,
            Some(Message::Gossip | Message::Broadcast) => TrafficKind::MembershipGossip,
            _ => TrafficKind::Probe,
        };
        let bytes = self.frame_datagram(kind, data);
        self.outbox.push(Outgoing {
            to: to.addr,
            kind,
            bytes,
        });
    }

    fn submit_after(&mut self, event: Timer<PeerId>, after: Duration) {
        let multiplier = match &event {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                self.detector.health_multiplier()
            }
            Timer::ChangeSuspectToDown { member_id, .. } => {
                self.detector.record_suspicion(self.now, *member_id);
                self.detector.health_multiplier()
            }
            _ => 1,
        };
        let after = after.saturating_mul(multiplier).as_micros() as Micros;
        let due = self.foca_now().saturating_add(after);
        self.timers.set(event, due);
    }
}

/// The peer that an event raised by foca is about; `None` for events about this front end.
fn peer_addr(event: PeerEvent) -> Option<SocketAddr> {
    match event {
        PeerEvent::Up(id) | PeerEvent::Down(id) | PeerEvent::NewIncarnation(id) => Some(id.addr),
        PeerEvent::Left(_) | PeerEvent::Isolated | PeerEvent::Rejoined => None,
    }
}

/// A copy of foca's probe message with only the first `max_updates` member updates; `None` if it has no more than
/// that. The byte budget never defers probe messages, and one full of updates would take a tenth of the budget of a
/// second.
fn truncate_updates(data: &[u8], max_updates: u16) -> Option<Vec<u8>> {
    let mut rest = data;
    let _: Header<PeerId> = PostcardCodec.decode_header(&mut rest).ok()?;
    let header_bytes = data.len() - rest.len();
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    if u16::from_be_bytes(*count) <= max_updates {
        return None;
    }
    for _ in 0..max_updates {
        let _: Member<PeerId> = PostcardCodec.decode_member(&mut rest).ok()?;
    }
    let end = data.len() - rest.len();
    let mut bytes = data[..header_bytes].to_vec();
    bytes.extend(max_updates.to_be_bytes());
    bytes.extend(&data[header_bytes + count.len()..end]);
    Some(bytes)
}

/// Foca's header, read from a datagram without the fleet's header; `None` if it is invalid.
pub(super) fn read_header(mut data: &[u8]) -> Option<Header<PeerId>> {
    PostcardCodec.decode_header(&mut data).ok()
}
