//! Membership between front ends by SWIM, on the `foca` crate, without I/O: datagrams come in as bytes
//! with the time, and what is to be sent, and when to be woken, is collected for the caller. Load summaries
//! ride on foca's messages as custom broadcasts, where front ends that take no part in the averaging
//! ([`super::average`]) want them.
//!
//! Foca's timers pass through here: those of probes and suspicions are lengthened, and suspicions confirmed or not, by
//! the [`Detector`]. Foca's time stands still while the process did not run.
mod runtime;
mod settings;
mod summaries;
mod timers;

pub use settings::SwimSettings;
pub(crate) use settings::MIN_PROBE_PERIOD;

use super::detector::{Detector, SuspicionOutcome};
use super::identity::{header, PeerId, MAX_DATAGRAM, MAX_INCARNATION, SWIM_VERSION};
use super::traffic::Outgoing;
use foca::{Config, Foca, Member, Message, PostcardCodec, Timer};
use rand::{rngs::SmallRng, SeedableRng};
use runtime::{read_header, FocaRuntime};
use settings::configure;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use summaries::{SharedSummaries, SummaryHandler};
use wrenseam_policy::Micros;

/// Datagrams dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Larger than [`MAX_DATAGRAM`].
    pub oversized: u64,
    /// Of another cluster or version, or without our header.
    pub foreign: u64,
    /// With our header, but foca (or a summary in it) could not read or take it.
    pub garbled: u64,
}

/// A change of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer is counted alive.
    Up(PeerId),
    /// A peer was declared down.
    Down(PeerId),
    /// A peer said that it leaves.
    Left(PeerId),
    /// A peer goes on under a larger incarnation.
    NewIncarnation(PeerId),
    /// This front end lost all its peers.
    Isolated,
    /// This front end was declared down by the others and came back under a new incarnation.
    Rejoined,
}

/// A change of membership, and when it was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedPeerEvent {
    /// When, in microseconds.
    pub at: Micros,
    /// What changed.
    pub event: PeerEvent,
}

type FleetFoca = Foca<PeerId, PostcardCodec, SmallRng, SummaryHandler>;

/// One front end's membership and the summaries that came with it.
pub struct Swim {
    foca: FleetFoca,
    runtime: FocaRuntime,
    summaries: SharedSummaries,
    own: PeerId,
    settings: SwimSettings,
    config: Config,
    seed: u64,
    /// Whether this front end has said that it leaves.
    leaving: bool,
    /// Datagrams dropped, by cause.
    pub dropped: DropCounts,
    /// Summaries published by this front end.
    published: u64,
}

impl Swim {
    /// Membership for the front end at `own`, in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: SwimSettings, seed: u64) -> Swim {
        let config = configure(&settings);
        let summaries = SharedSummaries::new(settings.max_summaries, settings.summary_ttl);
        let own = PeerId {
            addr: own,
            incarnation: incarnation.min(MAX_INCARNATION),
        };
        let foca = new_foca(own, &config, seed, &summaries);
        let detector = Detector::new(settings.probe_period, settings.suspicion_timeout);
        let runtime = FocaRuntime::new(header(SWIM_VERSION, settings.cluster), detector);
        Swim {
            foca,
            runtime,
            summaries,
            own,
            settings,
            config,
            seed,
            leaving: false,
            dropped: DropCounts::default(),
            published: 0,
        }
    }

    /// This front end as its peers know it.
    pub fn own(&self) -> PeerId {
        self.own
    }

    /// This front end's failure detection.
    pub fn detector(&mut self) -> &mut Detector {
        &mut self.runtime.detector
    }

    /// Sets the time of what follows.
    fn set_now(&mut self, now: Micros) {
        self.runtime.now = now;
        self.summaries.set_now(now);
    }

    /// Goes on under a larger incarnation, with the members as they are known. Foca's own way to a new identity would
    /// declare the former one down, and with it, for whoever hears that first, this front end.
    pub fn renew(&mut self, now: Micros, incarnation: u64) {
        let members: Vec<Member<PeerId>> = self.foca.iter_membership_state().cloned().collect();
        self.start_foca(now, incarnation);
        let events = std::mem::take(&mut self.runtime.events);
        // Refused only for a member that cannot be encoded, and these were decoded or made here.
        let _ = self
            .foca
            .apply_many(members.into_iter(), false, &mut self.runtime);
        self.runtime.events = events; // to others nothing has changed
        let _ = self.foca.gossip(&mut self.runtime); // it can only fail to encode members, as above
    }

    /// Begins anew as a front end that knows nobody: what it knew of the members is out of date.
    pub fn restart(&mut self, now: Micros) {
        let incarnation = self.own.incarnation.saturating_add(1);
        self.start_foca(now, incarnation);
        self.runtime.detector.restart();
        self.runtime.changed = true;
        self.runtime.push_event(PeerEvent::Isolated);
    }

    /// Puts a new state machine in place of the one before, under this incarnation.
    fn start_foca(&mut self, now: Micros, incarnation: u64) {
        self.set_now(now);
        self.own.incarnation = incarnation.min(MAX_INCARNATION);
        self.seed = self.seed.wrapping_add(1);
        self.foca = new_foca(self.own, &self.config, self.seed, &self.summaries);
        // They were of the state machine before, whose timers this one could not tell from its own.
        self.runtime.timers.clear();
        self.runtime.defunct = false;
        let reduced_gossip = std::mem::take(&mut self.runtime.reduced_gossip);
        self.set_reduced_gossip(reduced_gossip);
    }

    /// If the others declared us down: comes back under a new incarnation.
    fn rejoin(&mut self) {
        if self.runtime.defunct && !self.leaving {
            let now = self.runtime.now;
            self.renew(now, self.own.incarnation.saturating_add(1));
            self.runtime.push_event(PeerEvent::Rejoined);
        }
    }

    /// This front end leaves, and from here on takes part in nothing. `notify`: with foca's own message too, which says
    /// no more than that it is down.
    pub fn leave(&mut self, now: Micros, notify: bool) {
        self.set_now(now);
        self.leaving = true;
        if notify {
            let _ = self.foca.leave_cluster(&mut self.runtime); // it can only fail to encode ourselves
        }
    }

    /// Takes up that `id` is alive, as somebody else knows; `disseminate`: passes it on as an update.
    pub fn mark_alive(&mut self, now: Micros, id: PeerId, disseminate: bool) {
        self.apply_member(now, Member::alive(id), disseminate);
    }

    /// Takes up that `id` is gone, as somebody else knows; `disseminate`: passes it on as an update.
    pub fn mark_down(&mut self, now: Micros, id: PeerId, disseminate: bool) {
        self.apply_member(now, Member::down(id), disseminate);
    }

    fn apply_member(&mut self, now: Micros, member: Member<PeerId>, disseminate: bool) {
        self.set_now(now);
        if member.id().addr == self.own.addr || self.leaving {
            return;
        }
        // Refused only for a member that cannot be encoded, and this one was decoded or made here.
        let _ = self
            .foca
            .apply_many(std::iter::once(member), disseminate, &mut self.runtime);
    }

    /// Forgets a member that is gone.
    pub fn forget(&mut self, id: PeerId) {
        let _ = self
            .foca
            .handle_timer(Timer::RemoveDown(id), &mut self.runtime); // a stale timer is foca's to drop
    }

    /// Whether periodic gossip goes to one peer a round from now on, instead of all that are configured, and probes
    /// carry fewer updates: updates of many members then take longer and fewer bytes a second.
    pub fn set_reduced_gossip(&mut self, reduced: bool) {
        if reduced == self.runtime.reduced_gossip {
            return;
        }
        self.runtime.reduced_gossip = reduced;
        let mut config = self.config.clone();
        if let Some(gossip) = config.periodic_gossip.as_mut().filter(|_| reduced) {
            gossip.num_members = NonZeroUsize::MIN;
        }
        let _ = self.foca.set_config(config); // refused only for a changed probe
    }

    /// Asks a random peer counted alive for its list of members; `chance` is uniform in [0, 1).
    pub fn request_member_list(&mut self, now: Micros, chance: f64) {
        self.set_now(now);
        let alive = self.foca.num_members();
        let which = ((alive as f64 * chance) as usize).min(alive.saturating_sub(1));
        let peer = self.foca.iter_members().nth(which);
        if let Some(peer) = peer.map(|member| *member.id()) {
            let _ = self.foca.announce(peer, &mut self.runtime); // it fails only for ourselves, no member
        }
    }

    /// Asks to join by way of a peer at `seed`.
    pub fn join(&mut self, now: Micros, seed: SocketAddr) {
        self.set_now(now);
        if seed == self.own.addr || self.leaving {
            return;
        }
        let peer = PeerId {
            addr: seed,
            incarnation: 0,
        };
        // An error here means that the seed is ourselves: nothing to do.
        let _ = self.foca.announce(peer, &mut self.runtime);
    }

    /// Takes a datagram that came at `now`; what cannot be taken is counted in [`Swim::dropped`]. Who sent it, if
    /// it is a peer's.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) -> Option<PeerId> {
        self.set_now(now);
        if bytes.len() > MAX_DATAGRAM {
            self.dropped.oversized += 1;
            return None;
        }
        let Some(data) = bytes.strip_prefix(&self.runtime.header) else {
            self.dropped.foreign += 1;
            return None;
        };
        let header = read_header(data);
        if let Some(probe) = header
            .as_ref()
            .and_then(|header| acknowledged_probe(&header.message))
        {
            self.runtime.detector.record_ack(now, probe);
        }
        if self.foca.handle_data(data, &mut self.runtime).is_err() {
            self.dropped.garbled += 1;
            return None;
        }
        self.rejoin();
        let from = header
            .map(|header| header.src)
            .filter(|src| src.addr != self.own.addr)?;
        self.runtime.detector.record_contact(now, from.addr);
        Some(from)
    }

    /// Whether a datagram is of this fleet and of `version`, and no longer than any we send.
    pub fn is_ours(&self, bytes: &[u8], version: u8) -> bool {
        let header = header(version, self.settings.cluster);
        bytes.len() <= MAX_DATAGRAM && bytes.starts_with(&header)
    }

    /// Whether the peers alive may have changed since the last call.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.runtime.changed)
    }

    /// When foca wants to be woken next, if at all.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let due = self.runtime.timers.next_due()?;
        Some(due.saturating_add(self.runtime.stalled))
    }

    /// The process did not run for so long: foca's time stood still.
    pub fn handle_stall(&mut self, span: Micros) {
        self.runtime.stalled += span;
        self.runtime.detector.handle_stall();
    }

    /// Runs the timers due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.set_now(now);
        while self.next_wakeup().is_some_and(|due| due <= now) {
            let Some(timer) = self.runtime.timers.pop() else {
                return;
            };
            if self.may_run(now, &timer) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime); // a stale timer is foca's to drop
            }
        }
    }

    /// Whether a timer that is due runs: that of a suspicion only if the [`Detector`] confirms it, and it is set anew
    /// where the suspicion is extended.
    fn may_run(&mut self, now: Micros, timer: &Timer<PeerId>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, .. } = timer else {
            return true;
        };
        match self.runtime.detector.resolve_suspicion(now, *member_id) {
            SuspicionOutcome::Confirmed => true,
            SuspicionOutcome::Cleared => false,
            SuspicionOutcome::Extended => {
                let due = self.runtime.running() + self.settings.probe_period / 2;
                self.runtime.timers.set(timer.clone(), due);
                false
            }
        }
    }

    /// Datagrams to send; they are the caller's from then on.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.runtime.outbox)
    }

    /// Changes of membership since the last call.
    pub fn events(&mut self) -> Vec<TimedPeerEvent> {
        let events = std::mem::take(&mut self.runtime.events);
        for timed in &events {
            if let PeerEvent::Down(id) = timed.event {
                self.summaries.forget(id.addr);
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
        self.foca.iter_members().map(|member| member.id().addr)
    }
}

/// The number of the probe of ours that a message acknowledges, if it is an acknowledgement.
fn acknowledged_probe(message: &Message<PeerId>) -> Option<u8> {
    match message {
        Message::Ack(number)
        | Message::ForwardedAck {
            probe_number: number,
            ..
        } => Some(*number),
        _ => None,
    }
}

fn new_foca(own: PeerId, config: &Config, seed: u64, summaries: &SharedSummaries) -> FleetFoca {
    let handler = SummaryHandler::new(own.addr, summaries.clone());
    let rng = SmallRng::seed_from_u64(seed);
    Foca::with_custom_broadcast(own, config.clone(), rng, PostcardCodec, handler)
}
