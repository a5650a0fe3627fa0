//! Membership of front ends by SWIM, on the `foca` crate, without I/O: the caller passes in datagrams and the time, and
//! takes out datagrams to send and the time of the next wakeup. Load summaries are piggybacked on foca's messages as
//! custom broadcasts while the fleet has front ends that do not support the averaging ([`super::average`]).
//!
//! Foca's timers are kept here. The [`Detector`] lengthens those of probes and suspicions, and decides whether a peer
//! whose suspicion times out is declared down. Foca's clock stops while the process does not run.
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
use settings::foca_config;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use summaries::{SharedSummaries, SummaryHandler};
use wrenseam_policy::Micros;

/// Datagrams dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Larger than [`MAX_DATAGRAM`].
    pub oversized: u64,
    /// Without the header of this cluster and this protocol version.
    pub foreign: u64,
    /// With the right header, but not decodable or rejected by foca, or with an invalid summary.
    pub garbled: u64,
}

/// A change of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A peer came up.
    Up(PeerId),
    /// A peer was declared down.
    Down(PeerId),
    /// A peer announced that it leaves, and is now gone.
    Left(PeerId),
    /// A live peer has adopted a larger incarnation.
    NewIncarnation(PeerId),
    /// This front end no longer counts any peer as alive.
    Isolated,
    /// This front end was declared down by its peers and rejoined under a new incarnation.
    Rejoined,
}

/// A change of membership with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedPeerEvent {
    /// When this front end noticed the change, in microseconds.
    pub at: Micros,
    /// What changed.
    pub event: PeerEvent,
}

type FleetFoca = Foca<PeerId, PostcardCodec, SmallRng, SummaryHandler>;

/// The SWIM state of one front end, and the load summaries that its peers gossip.
pub struct Swim {
    foca: FleetFoca,
    runtime: FocaRuntime,
    summaries: SharedSummaries,
    own: PeerId,
    settings: SwimSettings,
    config: Config,
    /// Seeds foca's random numbers; raised with each new state machine.
    seed: u64,
    /// Whether this front end has left: it then ignores what it learns of members, and does not rejoin.
    has_left: bool,
    /// Datagrams dropped, by cause.
    pub dropped: DropCounts,
    /// Sequence number of the last summary that this front end published.
    last_summary_seq: u64,
}

impl Swim {
    /// The state of a front end that knows no peers, at gossip address `own`. `seed` is for random numbers.
    pub fn new(own: SocketAddr, incarnation: u64, settings: SwimSettings, seed: u64) -> Swim {
        let config = foca_config(&settings);
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
            has_left: false,
            dropped: DropCounts::default(),
            last_summary_seq: 0,
        }
    }

    /// The gossip address and present incarnation of this front end.
    pub fn own(&self) -> PeerId {
        self.own
    }

    /// The failure detector.
    pub fn detector(&mut self) -> &mut Detector {
        &mut self.runtime.detector
    }

    /// Sets the time that foca's callbacks and the summaries use until the next call.
    fn set_now(&mut self, now: Micros) {
        self.runtime.now = now;
        self.summaries.set_now(now);
    }

    /// Continues under a larger incarnation with the members that are known. Foca's own change of identity is not used:
    /// it declares the former identity down, and a peer that receives that update first would count this front end as
    /// down.
    pub fn renew(&mut self, now: Micros, incarnation: u64) {
        let members: Vec<Member<PeerId>> = self.foca.iter_membership_state().cloned().collect();
        self.replace_foca(now, incarnation);
        let events = std::mem::take(&mut self.runtime.events);
        // Fails only for a member that cannot be encoded, and these were decoded or created here.
        let _ = self
            .foca
            .apply_many(members.into_iter(), false, &mut self.runtime);
        self.runtime.events = events; // the members have not changed, so their Up events are discarded
        let _ = self.foca.gossip(&mut self.runtime); // can only fail to encode members, as above
    }

    /// Drops all members, whose state is out of date, and continues under the next incarnation.
    pub fn restart(&mut self, now: Micros) {
        let incarnation = self.own.incarnation.saturating_add(1);
        self.replace_foca(now, incarnation);
        self.runtime.detector.restart();
        self.runtime.changed = true;
        self.runtime.push_event(PeerEvent::Isolated);
    }

    /// Replaces foca's state machine by a new one without members, under this incarnation.
    fn replace_foca(&mut self, now: Micros, incarnation: u64) {
        self.set_now(now);
        self.own.incarnation = incarnation.min(MAX_INCARNATION);
        self.seed = self.seed.wrapping_add(1);
        self.foca = new_foca(self.own, &self.config, self.seed, &self.summaries);
        // The new state machine could not tell the timers of the former one from its own.
        self.runtime.timers.clear();
        self.runtime.defunct = false;
        let reduced_gossip = std::mem::take(&mut self.runtime.reduced_gossip);
        self.set_reduced_gossip(reduced_gossip);
    }

    /// Rejoins under the next incarnation if the peers declared this front end down.
    fn rejoin(&mut self) {
        if self.runtime.defunct && !self.has_left {
            let now = self.runtime.now;
            self.renew(now, self.own.incarnation.saturating_add(1));
            self.runtime.push_event(PeerEvent::Rejoined);
        }
    }

    /// Leaves the fleet for good. With `notify`, peers also get foca's message, by which they count this front end as
    /// down.
    pub fn leave(&mut self, now: Micros, notify: bool) {
        self.set_now(now);
        self.has_left = true;
        if notify {
            let _ = self.foca.leave_cluster(&mut self.runtime); // can only fail to encode our own identity
        }
    }

    /// Applies the information, received outside of SWIM, that `id` is alive; with `disseminate`, gossips it as an
    /// update.
    pub fn mark_alive(&mut self, now: Micros, id: PeerId, disseminate: bool) {
        self.apply_member(now, Member::alive(id), disseminate);
    }

    /// Applies the information, received outside of SWIM, that `id` is down or has left; with `disseminate`, gossips it
    /// as an update.
    pub fn mark_down(&mut self, now: Micros, id: PeerId, disseminate: bool) {
        self.apply_member(now, Member::down(id), disseminate);
    }

    fn apply_member(&mut self, now: Micros, member: Member<PeerId>, disseminate: bool) {
        self.set_now(now);
        if member.id().addr == self.own.addr || self.has_left {
            return;
        }
        // Fails only for a member that cannot be encoded, and this one was decoded or created here.
        let _ = self
            .foca
            .apply_many(std::iter::once(member), disseminate, &mut self.runtime);
    }

    /// Removes the tombstone of a member that is gone.
    pub fn forget(&mut self, id: PeerId) {
        let _ = self
            .foca
            .handle_timer(Timer::RemoveDown(id), &mut self.runtime); // foca drops stale timers itself
    }

    /// Turns reduced gossip on or off: periodic gossip goes to one peer a round instead of the configured number, and
    /// probes piggyback fewer updates. Updates of many members then take fewer bytes a second, and longer to spread.
    pub fn set_reduced_gossip(&mut self, reduced: bool) {
        if reduced == self.runtime.reduced_gossip {
            return;
        }
        self.runtime.reduced_gossip = reduced;
        let mut config = self.config.clone();
        if let Some(gossip) = config.periodic_gossip.as_mut().filter(|_| reduced) {
            gossip.num_members = NonZeroUsize::MIN;
        }
        let _ = self.foca.set_config(config); // fails only for other probe times or newly enabled tasks
    }

    /// Requests the member list of a random live peer; `chance`, uniform in [0, 1), selects it.
    pub fn request_member_list(&mut self, now: Micros, chance: f64) {
        self.set_now(now);
        let alive = self.foca.num_members();
        let index = ((alive as f64 * chance) as usize).min(alive.saturating_sub(1));
        let peer = self.foca.iter_members().nth(index);
        if let Some(peer) = peer.map(|member| *member.id()) {
            let _ = self.foca.announce(peer, &mut self.runtime); // can only fail to encode the header
        }
    }

    /// Asks the peer at `seed` to let us join.
    pub fn join(&mut self, now: Micros, seed: SocketAddr) {
        self.set_now(now);
        if seed == self.own.addr || self.has_left {
            return;
        }
        let peer = PeerId {
            addr: seed,
            incarnation: 0,
        };
        // Can only fail to encode the header.
        let _ = self.foca.announce(peer, &mut self.runtime);
    }

    /// Handles a datagram that arrived at `now`, and returns its sender. `None` if it was dropped, which is counted in
    /// [`Swim::dropped`], or if its sender has our own address.
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

    /// Whether a datagram has the header of this cluster and `version`, and is within [`MAX_DATAGRAM`].
    pub fn is_ours(&self, bytes: &[u8], version: u8) -> bool {
        let header = header(version, self.settings.cluster);
        bytes.len() <= MAX_DATAGRAM && bytes.starts_with(&header)
    }

    /// Whether the live peers may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.runtime.changed)
    }

    /// When [`Swim::tick`] is due next; `None` while no timer is set.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let due = self.runtime.timers.next_due()?;
        Some(due.saturating_add(self.runtime.stalled_for))
    }

    /// Accounts for a `span` in which the process did not run: foca's timers are due that much later.
    pub fn handle_stall(&mut self, span: Micros) {
        self.runtime.stalled_for += span;
        self.runtime.detector.handle_stall();
    }

    /// Runs the timers due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.set_now(now);
        while self.next_wakeup().is_some_and(|due| due <= now) {
            let Some(timer) = self.runtime.timers.pop() else {
                return;
            };
            if self.should_run(now, &timer) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime); // foca drops stale timers itself
            }
        }
    }

    /// Whether a timer that is due is passed on to foca. That of a suspicion is only if the [`Detector`] confirms the
    /// suspicion; if it extends it, the timer is set again.
    fn should_run(&mut self, now: Micros, timer: &Timer<PeerId>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, .. } = timer else {
            return true;
        };
        match self.runtime.detector.resolve_suspicion(now, *member_id) {
            SuspicionOutcome::Confirmed => true,
            SuspicionOutcome::Cleared => false,
            SuspicionOutcome::Extended => {
                let due = self.runtime.foca_now() + self.settings.probe_period / 2;
                self.runtime.timers.set(timer.clone(), due);
                false
            }
        }
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.runtime.outbox)
    }

    /// Removes and returns the changes of membership since the last call, and drops the summaries of the peers that
    /// went down.
    pub fn take_events(&mut self) -> Vec<TimedPeerEvent> {
        let events = std::mem::take(&mut self.runtime.events);
        for timed in &events {
            if let PeerEvent::Down(id) = timed.event {
                self.summaries.forget(id.addr);
            }
        }
        events
    }

    /// The number of live peers.
    pub fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// The addresses of the live peers.
    pub fn members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.foca.iter_members().map(|member| member.id().addr)
    }
}

/// The number of our probe that a message acknowledges; `None` if it is not an acknowledgement.
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
