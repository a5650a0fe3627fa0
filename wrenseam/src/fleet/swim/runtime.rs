//! What foca asks of its runtime, collected: datagrams, timers, and changes of membership.
use super::timers::Timers;
use super::{PeerEvent, TimedPeerEvent};
use crate::fleet::detector::Detector;
use crate::fleet::identity::{PeerId, HEADER_BYTES};
use crate::fleet::traffic::{Outgoing, TrafficKind};
use foca::{Codec, Header, Member, Message, Notification, PostcardCodec, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;
use wrenseam_policy::Micros;

/// The most updates of members on a probe or an acknowledgement, where summaries are not wanted.
const UPDATES_ON_PROBES: u16 = 24;
/// The same while the byte budget is low.
const UPDATES_ON_LOW_BUDGET: u16 = 12;

/// What foca asks of its runtime, collected.
#[derive(Default)]
pub(super) struct FocaRuntime {
    pub(super) now: Micros,
    /// For how long the process did not run, over all: foca's time is behind ours by this.
    pub(super) stalled: Micros,
    pub(super) outbox: Vec<Outgoing>,
    pub(super) timers: Timers,
    pub(super) events: Vec<TimedPeerEvent>,
    /// A peer came up or went down since this was last asked.
    pub(super) changed: bool,
    /// Foca found that the others declared us down.
    pub(super) defunct: bool,
    /// Whether probes carry all that foca puts on them: summaries, for front ends that want them.
    pub(super) carries_summaries: bool,
    /// Whether the byte budget is low: probes carry fewer updates, and periodic gossip goes to one peer a round.
    pub(super) reduced_gossip: bool,
    pub(super) detector: Detector,
    pub(super) header: [u8; HEADER_BYTES],
}

impl FocaRuntime {
    /// A runtime that puts `header` before foca's datagrams.
    pub(super) fn new(header: [u8; HEADER_BYTES], detector: Detector) -> FocaRuntime {
        FocaRuntime {
            header,
            detector,
            ..FocaRuntime::default()
        }
    }

    /// Foca's time.
    pub(super) fn running(&self) -> Micros {
        self.now.saturating_sub(self.stalled)
    }

    /// Notes a change of membership, at the time that it is.
    pub(super) fn push_event(&mut self, event: PeerEvent) {
        self.events.push(TimedPeerEvent {
            at: self.now,
            event,
        });
    }

    /// Foca's datagram with our header before it, and a probe's updates cut to what it may carry.
    fn framed(&self, kind: TrafficKind, data: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&self.header);
        if kind == TrafficKind::Probe && !self.carries_summaries {
            if let Some(trimmed) = with_fewer_updates(data, self.max_updates()) {
                bytes.extend(trimmed);
                return bytes;
            }
        }
        bytes.extend_from_slice(data);
        bytes
    }

    /// The most updates that a probe carries now.
    fn max_updates(&self) -> u16 {
        if self.reduced_gossip {
            UPDATES_ON_LOW_BUDGET
        } else {
            UPDATES_ON_PROBES
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
        if let Some(addr) = addr_of(event) {
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
        let bytes = self.framed(kind, data);
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
        let due = self.running().saturating_add(after);
        self.timers.set(event, due);
    }
}

/// The peer that foca's events of one peer are about.
fn addr_of(event: PeerEvent) -> Option<SocketAddr> {
    match event {
        PeerEvent::Up(id) | PeerEvent::Down(id) | PeerEvent::NewIncarnation(id) => Some(id.addr),
        PeerEvent::Left(_) | PeerEvent::Isolated | PeerEvent::Rejoined => None,
    }
}

/// A probe or an acknowledgement of foca's with `most` updates of members, if it has more: these datagrams are never
/// deferred, and with all the updates that fit each would take a tenth of the byte budget of a second.
fn with_fewer_updates(data: &[u8], most: u16) -> Option<Vec<u8>> {
    let mut rest = data;
    let _: Header<PeerId> = PostcardCodec.decode_header(&mut rest).ok()?;
    let header_bytes = data.len() - rest.len();
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    if u16::from_be_bytes(*count) <= most {
        return None;
    }
    for _ in 0..most {
        let _: Member<PeerId> = PostcardCodec.decode_member(&mut rest).ok()?;
    }
    let end = data.len() - rest.len();
    let mut bytes = data[..header_bytes].to_vec();
    bytes.extend(most.to_be_bytes());
    bytes.extend(&data[header_bytes + count.len()..end]);
    Some(bytes)
}

/// The header of a datagram of foca's, without ours before it.
pub(super) fn read_header(mut data: &[u8]) -> Option<Header<PeerId>> {
    PostcardCodec.decode_header(&mut data).ok()
}
