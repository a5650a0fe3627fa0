//! Membership between front ends by SWIM, on the `foca` crate, without I/O: datagrams come in as bytes
//! with the time, and what is to be sent, and when to be woken, is collected for the caller. Load summaries
//! ride on foca's messages as custom broadcasts, where front ends that take no part in the averaging ([`super::average`]) want them.
use super::identity::{header, PeerId, HEADER_BYTES, MAX_DATAGRAM, SWIM_VERSION};
use super::summary::{Offered, Summaries, Summary, SummaryError};
use bramblepath::Micros;
use foca::{BroadcastHandler, Config, Foca, Invalidates, Notification, PostcardCodec, Runtime, Timer};
use rand::{rngs::SmallRng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A peer that is down is remembered as such for twice the time in which all are probed, and from one minute to an
/// hour: a process whose clock was set back comes in again only after it.
const DOWN_FOR: Duration = Duration::from_secs(60);
const DOWN_FOR_MOST: Duration = Duration::from_secs(3600);

/// The settings of membership, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// A name shared by the fleet: datagrams of another are dropped.
    pub cluster: u32,
    /// How often a random peer is probed.
    pub probe: Micros,
    /// After how long a suspect is declared down.
    pub suspect_for: Micros,
    /// The fleet's expected size, for how often news is passed on.
    pub expected: usize,
    /// Times that news of a member are passed on besides foca's 4 log10 of the expected size.
    pub extra_transmissions: u8,
    /// How long a summary counts after it came.
    pub fresh_for: Micros,
    /// Peers of which summaries are held at the most.
    pub capacity: usize,
}

/// Datagrams dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Larger than [`MAX_DATAGRAM`].
    pub oversized: u64,
    /// Of another cluster or version, or without our header.
    pub foreign: u64,
    /// With our header, but foca (or a summary in it) could not read or take it.
    pub garbled: u64,
}

/// A change of membership, as foca told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer is counted alive.
    Up(PeerId),
    /// A peer was declared down.
    Down(PeerId),
    /// This front end lost all its peers.
    Alone,
    /// This front end was declared down by the others and came back under a new incarnation.
    Rejoined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SummaryKey {
    origin: SocketAddr,
    seq: u64,
}

impl Invalidates for SummaryKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin && self.seq >= other.seq
    }
}

/// The handler of custom broadcasts: takes summaries into the shared table.
struct Gossiped {
    own: SocketAddr,
    held: Arc<Mutex<(Summaries, Micros)>>,
}

impl BroadcastHandler<PeerId> for Gossiped {
    type Key = SummaryKey;
    type Error = SummaryError;

    fn receive_item(
        &mut self, data: &[u8], _sender: Option<&PeerId>,
    ) -> Result<Option<SummaryKey>, SummaryError> {
        let s = Summary::decode(data)?;
        let Some(origin) = s.origin else { return Ok(None) };
        let key = SummaryKey { origin, seq: s.seq };
        if origin == self.own {
            return Ok(Some(key)); // our own, added to be sent on
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = held.1;
        Ok((held.0.offer(now, self.own, s) == Offered::Newer).then_some(key))
    }
}

/// What foca asks of the world, collected.
#[derive(Default)]
struct Outside {
    now: Micros,
    seq: u64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerSlot)>>,
    events: Vec<(Micros, PeerEvent)>,
    /// A peer came up or went down since this was last asked.
    changed: bool,
    header: [u8; HEADER_BYTES],
}

/// A timer with an order, so that the heap can hold it.
#[derive(Debug, PartialEq, Eq)]
struct TimerSlot(Timer<PeerId>);

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

impl Runtime<PeerId> for Outside {
    fn notify(&mut self, n: Notification<'_, PeerId>) {
        let event = match n {
            Notification::MemberUp(id) => PeerEvent::Up(*id),
            Notification::MemberDown(id) => PeerEvent::Down(*id),
            Notification::Idle => PeerEvent::Alone,
            Notification::Rejoin(_) => PeerEvent::Rejoined,
            _ => return,
        };
        self.changed |= matches!(event, PeerEvent::Up(_) | PeerEvent::Down(_));
        self.events.push((self.now, event));
    }

    fn send_to(&mut self, to: PeerId, data: &[u8]) {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
        bytes.extend_from_slice(&self.header);
        bytes.extend_from_slice(data);
        self.out.push((to.addr, bytes));
    }

    fn submit_after(&mut self, event: Timer<PeerId>, after: Duration) {
        self.seq += 1;
        let due = self.now.saturating_add(after.as_micros() as Micros);
        self.timers.push(Reverse((due, self.seq, TimerSlot(event))));
    }
}

/// One front end's membership and the summaries it holds.
pub struct Swim {
    foca: Foca<PeerId, PostcardCodec, SmallRng, Gossiped>,
    outside: Outside,
    held: Arc<Mutex<(Summaries, Micros)>>,
    own: PeerId,
    config: Config,
    /// Whether periodic gossip goes to one peer a round instead of all.
    sparing: bool,
    /// Datagrams dropped, by cause.
    pub dropped: Dropped,
    /// Summaries published by this front end.
    published: u64,
}

impl Swim {
    /// Membership for the front end at `own`, in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: SwimSettings, seed: u64) -> Swim {
        let size = NonZeroU32::new(settings.expected.clamp(1, 100_000) as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(size);
        let probe = Duration::from_micros(settings.probe.max(10_000));
        config.probe_period = probe;
        config.probe_rtt = probe / 2;
        config.suspect_to_down_after = Duration::from_micros(settings.suspect_for.max(settings.probe));
        config.max_packet_size = NonZeroUsize::new(MAX_DATAGRAM - HEADER_BYTES).unwrap_or(NonZeroUsize::MIN);
        let times = config.max_transmissions.saturating_add(settings.extra_transmissions);
        config.max_transmissions = times;
        // Who missed the news of a peer that is down finds out by its own probes, one a period, and until then tells
        // others that it is up: those remember better for as long, or the dead come back by hearsay.
        let rounds = probe.saturating_mul(2 * size.get());
        config.remove_down_after = Some(rounds.clamp(DOWN_FOR, DOWN_FOR_MOST));
        if let Some(g) = config.periodic_gossip.as_mut() {
            g.frequency = probe / 4;
        }
        if let Some(a) = config.periodic_announce.as_mut() {
            a.frequency = probe * 5;
        }
        if let Some(a) = config.periodic_announce_to_down_members.as_mut() {
            a.frequency = probe * 5;
        }
        let held = Arc::new(Mutex::new((Summaries::new(settings.capacity, settings.fresh_for), 0)));
        let handler = Gossiped { own, held: held.clone() };
        let id = PeerId { addr: own, incarnation };
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::with_custom_broadcast(id, config.clone(), rng, PostcardCodec, handler);
        let outside = Outside { header: header(SWIM_VERSION, settings.cluster), ..Outside::default() };
        Swim {
            foca,
            outside,
            held,
            own: id,
            config,
            sparing: false,
            dropped: Dropped::default(),
            published: 0,
        }
    }

    fn at(&mut self, now: Micros) {
        self.outside.now = now;
        self.held.lock().unwrap_or_else(PoisonError::into_inner).1 = now;
    }

    /// Whether periodic gossip is to go to one peer a round from now on, instead of all that are configured: news
    /// of many members then take longer and fewer bytes a second. Probes, suspicion and answers are not changed.
    pub fn spare(&mut self, sparing: bool) {
        if sparing == self.sparing {
            return;
        }
        self.sparing = sparing;
        let mut config = self.config.clone();
        if let Some(g) = config.periodic_gossip.as_mut().filter(|_| sparing) {
            g.num_members = NonZeroUsize::MIN;
        }
        let _ = self.foca.set_config(config); // refused only for a changed probe
    }

    /// Asks a random peer counted alive for its list of members.
    pub fn ask_for_members(&mut self, now: Micros, chance: f64) {
        self.at(now);
        let n = self.foca.num_members();
        let which = ((n as f64 * chance) as usize).min(n.saturating_sub(1));
        let peer = self.foca.iter_members().nth(which).map(|m| *m.id());
        if let Some(peer) = peer {
            let _ = self.foca.announce(peer, &mut self.outside);
        }
    }

    /// Asks to join by way of a peer at `seed`.
    pub fn join(&mut self, now: Micros, seed: SocketAddr) {
        self.at(now);
        if seed != self.own.addr {
            // An error here is foca's word that the seed is ourselves: nothing to do.
            let _ = self.foca.announce(PeerId { addr: seed, incarnation: 0 }, &mut self.outside);
        }
    }

    /// Takes a datagram that came at `now`; what cannot be taken is counted in [`Swim::dropped`].
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.at(now);
        if bytes.len() > MAX_DATAGRAM {
            self.dropped.oversized += 1;
        } else if bytes.len() < HEADER_BYTES || bytes[..HEADER_BYTES] != self.outside.header {
            self.dropped.foreign += 1;
        } else if self.foca.handle_data(&bytes[HEADER_BYTES..], &mut self.outside).is_err() {
            self.dropped.garbled += 1;
        }
    }

    /// Whether a datagram is of this fleet and of `version`, and no longer than any we send.
    pub fn is_ours(&self, bytes: &[u8], version: u8) -> bool {
        let mut header = self.outside.header;
        header[2] = version;
        bytes.len() <= MAX_DATAGRAM && bytes.starts_with(&header)
    }

    /// Whether the peers alive may have changed since the last call.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.outside.changed)
    }

    /// When foca wants to be woken next, if at all.
    pub fn next(&self) -> Option<Micros> {
        self.outside.timers.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Runs the timers due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.at(now);
        while self.next().is_some_and(|due| due <= now) {
            let Some(Reverse((_, _, TimerSlot(timer)))) = self.outside.timers.pop() else { break };
            let _ = self.foca.handle_timer(timer, &mut self.outside); // a stale timer is foca's to drop
        }
    }

    /// Hands this front end's summary to be gossiped, with the next sequence number.
    pub fn publish(&mut self, now: Micros, mut summary: Summary) {
        self.at(now);
        self.published += 1;
        summary.origin = Some(self.own.addr);
        summary.seq = self.published;
        let _ = self.foca.add_broadcast(&summary.encode()); // only ever our own well-formed bytes
    }

    /// Datagrams to send, with their addresses.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outside.out)
    }

    /// Changes of membership since the last call, with when they were noticed.
    pub fn events(&mut self) -> Vec<(Micros, PeerEvent)> {
        let events = std::mem::take(&mut self.outside.events);
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, e) in &events {
            if let PeerEvent::Down(id) = e {
                held.0.forget(id.addr);
            }
        }
        events
    }

    /// Peers counted alive.
    pub fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// The addresses of the peers counted alive.
    pub fn members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.foca.iter_members().map(|m| m.id().addr)
    }

    /// Whether a fresh summary is of a front end that takes no part in the averaging (see [`Summary::views`]).
    pub fn mixed(&self, now: Micros) -> bool {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).0.fresh(now).any(|s| !s.views)
    }

    /// The fleet's pressure in thousandths (see [`Summaries::pressure`]), with ours at `own`.
    pub fn pressure(&self, now: Micros, own: u32) -> u32 {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).0.pressure(now, own)
    }

    /// Fresh summaries of peers.
    pub fn summaries(&self, now: Micros) -> Vec<Summary> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).0.fresh(now).copied().collect()
    }
}
