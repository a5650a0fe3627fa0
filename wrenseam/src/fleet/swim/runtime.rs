//! What foca asks of the world, collected: datagrams, timers, changes of membership, and summaries that came.
use super::PeerEvent;
use crate::fleet::detector::Detector;
use crate::fleet::identity::{PeerId, HEADER_BYTES};
use crate::fleet::summary::{InsertOutcome, Summaries, Summary, SummaryError};
use crate::fleet::traffic::{Outgoing, TrafficKind};
use foca::{BroadcastHandler, Codec, Header, Invalidates, Member, Message, Notification};
use foca::{PostcardCodec, Runtime, Timer};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use wrenseam_policy::Micros;

/// News of members on a probe or an acknowledgement at the most, where summaries are not wanted; and while the budget
/// of bytes is tight.
const UPDATES_ON_PROBES: u16 = 24;
const UPDATES_ON_LOW_BUDGET: u16 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SummaryKey {
    origin: SocketAddr,
    seq: u64,
}

impl Invalidates for SummaryKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin && self.seq >= other.seq
    }
}

/// The handler of custom broadcasts: takes summaries into the shared table.
pub(super) struct SummaryHandler {
    pub(super) own: SocketAddr,
    pub(super) held: Arc<Mutex<(Summaries, Micros)>>,
}

impl BroadcastHandler<PeerId> for SummaryHandler {
    type Key = SummaryKey;
    type Error = SummaryError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&PeerId>,
    ) -> Result<Option<SummaryKey>, SummaryError> {
        let s = Summary::decode(data)?;
        let Some(origin) = s.origin else {
            return Ok(None);
        };
        let key = SummaryKey { origin, seq: s.seq };
        if origin == self.own {
            return Ok(Some(key)); // our own, added to be sent on
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = held.1;
        Ok((held.0.insert(now, self.own, s) == InsertOutcome::Updated).then_some(key))
    }
}

/// What foca asks of the world, collected.
#[derive(Default)]
pub(super) struct FocaRuntime {
    /// The time, and how much of it the process did not run: foca's time is the difference.
    pub(super) now: Micros,
    pub(super) stalled: Micros,
    pub(super) seq: u64,
    pub(super) out: Vec<Outgoing>,
    pub(super) timers: BinaryHeap<Reverse<(Micros, u64, TimerSlot)>>,
    pub(super) events: Vec<(Micros, PeerEvent)>,
    /// A peer came up or went down since this was last asked.
    pub(super) changed: bool,
    /// Foca holds that the others declared us down.
    pub(super) defunct: bool,
    /// Whether probes carry all that foca puts on them: summaries, for front ends that want them.
    pub(super) untrimmed: bool,
    /// Whether the budget of bytes is tight: probes carry fewer updates, and periodic gossip goes to one peer a round.
    pub(super) reduced_gossip: bool,
    pub(super) detector: Detector,
    pub(super) header: [u8; HEADER_BYTES],
}

/// A timer with an order, so that the heap can hold it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct TimerSlot(pub(super) Timer<PeerId>);

impl PartialOrd for TimerSlot {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerSlot {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal // the sequence number before it decides
    }
}

impl FocaRuntime {
    pub(super) fn set(&mut self, timer: Timer<PeerId>, due: Micros) {
        self.seq += 1;
        self.timers.push(Reverse((due, self.seq, TimerSlot(timer))));
    }

    /// Foca's time.
    pub(super) fn running(&self) -> Micros {
        self.now.saturating_sub(self.stalled)
    }
}

impl Runtime<PeerId> for FocaRuntime {
    fn notify(&mut self, n: Notification<'_, PeerId>) {
        let event = match n {
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
        if let PeerEvent::Up(id) | PeerEvent::Down(id) | PeerEvent::NewIncarnation(id) = event {
            self.detector.forget(id.addr);
        }
        self.changed |= matches!(event, PeerEvent::Up(_) | PeerEvent::Down(_));
        self.events.push((self.now, event));
    }

    fn send_to(&mut self, to: PeerId, data: &[u8]) {
        let message = read_header(data).map(|header| header.message);
        if let Some(Message::Ping(number)) = message {
            self.detector.probe_began(self.now, number);
        }
        let kind = match message {
            Some(Message::Feed | Message::Announce) => TrafficKind::Join,
            Some(Message::Gossip | Message::Broadcast) => TrafficKind::MembershipGossip,
            _ => TrafficKind::Probe,
        };
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&self.header);
        let most = if self.reduced_gossip {
            UPDATES_ON_LOW_BUDGET
        } else {
            UPDATES_ON_PROBES
        };
        match trimmed(data, most).filter(|_| kind == TrafficKind::Probe && !self.untrimmed) {
            Some(trimmed) => bytes.extend(trimmed),
            None => bytes.extend_from_slice(data),
        }
        self.out.push(Outgoing {
            to: to.addr,
            kind,
            bytes,
        });
    }

    fn submit_after(&mut self, event: Timer<PeerId>, after: Duration) {
        let factor = match &event {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.detector.factor(),
            Timer::ChangeSuspectToDown { member_id, .. } => {
                self.detector.suspected(self.now, *member_id);
                self.detector.factor()
            }
            _ => 1,
        };
        let after = after.saturating_mul(factor).as_micros() as Micros;
        self.set(event, self.running().saturating_add(after));
    }
}

/// A probe or an acknowledgement of foca's with so many updates of members at the most, if it has more: they are never
/// held back, and with all the updates that fit each would take a tenth of the budget of a second.
fn trimmed(data: &[u8], most: u16) -> Option<Vec<u8>> {
    let mut rest = data;
    PostcardCodec
        .decode_header(&mut rest)
        .map(|_: Header<PeerId>| ())
        .ok()?;
    let header = data.len() - rest.len();
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    if u16::from_be_bytes(*count) <= most {
        return None;
    }
    for _ in 0..most {
        PostcardCodec
            .decode_member(&mut rest)
            .map(|_: Member<PeerId>| ())
            .ok()?;
    }
    let mut bytes = data[..header].to_vec();
    bytes.extend(most.to_be_bytes());
    bytes.extend(&data[header + 2..data.len() - rest.len()]);
    Some(bytes)
}

/// The header of a datagram of foca's, without ours before it.
pub(super) fn read_header(mut data: &[u8]) -> Option<Header<PeerId>> {
    PostcardCodec.decode_header(&mut data).ok()
}
