//! Membership between front ends by SWIM, on the `foca` crate, without I/O: datagrams come in as bytes
//! with the time, and what is to be sent, and when to be woken, is collected for the caller. Load summaries
//! ride on foca's messages as custom broadcasts, where front ends that take no part in the averaging
//! ([`super::average`]) want them.
//!
//! Foca's timers pass through here: those of probes and suspicions are lengthened, and suspicions judged, by the
//! [`Detector`]. Foca's time stands still while the process did not run.
mod runtime;
mod settings;
mod summaries;

use settings::configure;
pub use settings::SwimSettings;

use super::detector::{Detector, SuspicionOutcome};
use super::identity::{header, PeerId, MAX_DATAGRAM, MAX_INCARNATION, SWIM_VERSION};
use super::summary::Summaries;
use super::traffic::Outgoing;
use foca::{Config, Foca, Member, Message, PostcardCodec, State, Timer};
use rand::{rngs::SmallRng, SeedableRng};
use runtime::{read_header, FocaRuntime, SummaryHandler, TimerSlot};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, PoisonError};
use wrenseam_policy::Micros;

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
    /// A peer told that it leaves.
    Left(PeerId),
    /// A peer goes on under a larger incarnation.
    NewIncarnation(PeerId),
    /// This front end lost all its peers.
    Isolated,
    /// This front end was declared down by the others and came back under a new incarnation.
    Rejoined,
}

/// One front end's membership and the summaries it holds.
pub struct Swim {
    foca: Foca<PeerId, PostcardCodec, SmallRng, SummaryHandler>,
    runtime: FocaRuntime,
    held: Arc<Mutex<(Summaries, Micros)>>,
    own: PeerId,
    settings: SwimSettings,
    config: Config,
    seed: u64,
    /// Whether this front end has told that it leaves.
    leaving: bool,
    /// Datagrams dropped, by cause.
    pub dropped: Dropped,
    /// Summaries published by this front end.
    published: u64,
}

impl Swim {
    /// Membership for the front end at `own`, in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: SwimSettings, seed: u64) -> Swim {
        let config = configure(&settings);
        let held = Arc::new(Mutex::new((
            Summaries::new(settings.capacity, settings.fresh_for),
            0,
        )));
        let own = PeerId {
            addr: own,
            incarnation: incarnation.min(MAX_INCARNATION),
        };
        let foca = start(own, &config, seed, &held);
        let detector = Detector::new(settings.probe, settings.suspect_for);
        let runtime = FocaRuntime {
            header: header(SWIM_VERSION, settings.cluster),
            detector,
            ..FocaRuntime::default()
        };
        Swim {
            foca,
            runtime,
            held,
            own,
            settings,
            config,
            seed,
            leaving: false,
            dropped: Dropped::default(),
            published: 0,
        }
    }

    /// This front end as its peers know it.
    pub fn own(&self) -> PeerId {
        self.own
    }

    /// How this front end's failure detection sees itself.
    pub fn detector(&mut self) -> &mut Detector {
        &mut self.runtime.detector
    }

    fn at(&mut self, now: Micros) {
        self.runtime.now = now;
        self.held.lock().unwrap_or_else(PoisonError::into_inner).1 = now;
    }

    /// Goes on under a larger incarnation, with the members as they are known. Foca's own way to a new identity would
    /// declare the former one down, and with it, for whoever hears that first, this front end.
    pub fn renew(&mut self, now: Micros, incarnation: u64) {
        let members: Vec<Member<PeerId>> = self.foca.iter_membership_state().cloned().collect();
        self.begin(now, incarnation);
        let events = std::mem::take(&mut self.runtime.events);
        // Refused only for a member that cannot be encoded, and these were decoded or made here.
        let _ = self
            .foca
            .apply_many(members.into_iter(), false, &mut self.runtime);
        self.runtime.events = events; // to others nothing has changed
        let _ = self.foca.gossip(&mut self.runtime);
    }

    /// Begins anew as a front end that knows nobody: what it held of the members is too old to be told.
    pub fn restart(&mut self, now: Micros) {
        let incarnation = self.own.incarnation.saturating_add(1);
        self.begin(now, incarnation);
        self.runtime.detector.restart();
        self.runtime.changed = true;
        self.runtime.events.push((now, PeerEvent::Isolated));
    }

    fn begin(&mut self, now: Micros, incarnation: u64) {
        self.at(now);
        self.own.incarnation = incarnation.min(MAX_INCARNATION);
        self.seed = self.seed.wrapping_add(1);
        self.foca = start(self.own, &self.config, self.seed, &self.held);
        // They were of the foca before, whose timers this one could not tell from its own.
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
            self.runtime.events.push((now, PeerEvent::Rejoined));
        }
    }

    /// This front end leaves, and from here on takes part in nothing. `tell`: by foca's own word too, which says no
    /// more than that it is down.
    pub fn leave(&mut self, now: Micros, tell: bool) {
        self.at(now);
        self.leaving = true;
        if tell {
            let _ = self.foca.leave_cluster(&mut self.runtime); // it can only fail to encode ourselves
        }
    }

    /// Takes up that `id` is alive, or is gone, as somebody else knows; `spread`: disseminates it as an update.
    pub fn learn(&mut self, now: Micros, id: PeerId, gone: bool, spread: bool) {
        self.at(now);
        if id.addr == self.own.addr || self.leaving {
            return;
        }
        let member = if gone {
            Member::down(id)
        } else {
            Member::alive(id)
        };
        let _ = self
            .foca
            .apply_many(std::iter::once(member), spread, &mut self.runtime);
    }

    /// Forgets a member that is gone.
    pub fn forget(&mut self, id: PeerId) {
        let _ = self
            .foca
            .handle_timer(Timer::RemoveDown(id), &mut self.runtime);
    }

    /// Whether periodic gossip is to go to one peer a round from now on, instead of all that are configured, and probes
    /// are to carry fewer updates: updates of many members then take longer and fewer bytes a second.
    pub fn set_reduced_gossip(&mut self, reduced_gossip: bool) {
        if reduced_gossip == self.runtime.reduced_gossip {
            return;
        }
        self.runtime.reduced_gossip = reduced_gossip;
        let mut config = self.config.clone();
        if let Some(g) = config.periodic_gossip.as_mut().filter(|_| reduced_gossip) {
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
            let _ = self.foca.announce(peer, &mut self.runtime);
        }
    }

    /// Asks to join by way of a peer at `seed`.
    pub fn join(&mut self, now: Micros, seed: SocketAddr) {
        self.at(now);
        if seed != self.own.addr && !self.leaving {
            // An error here is foca's word that the seed is ourselves: nothing to do.
            let _ = self.foca.announce(
                PeerId {
                    addr: seed,
                    incarnation: 0,
                },
                &mut self.runtime,
            );
        }
    }

    /// Takes a datagram that came at `now`; what cannot be taken is counted in [`Swim::dropped`]. Who sent it, if
    /// it is a peer's.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) -> Option<PeerId> {
        self.at(now);
        if bytes.len() > MAX_DATAGRAM {
            self.dropped.oversized += 1;
            return None;
        }
        let Some(data) = bytes.strip_prefix(&self.runtime.header) else {
            self.dropped.foreign += 1;
            return None;
        };
        let header = read_header(data);
        if let Some(
            Message::Ack(number)
            | Message::ForwardedAck {
                probe_number: number,
                ..
            },
        ) = header.as_ref().map(|header| &header.message)
        {
            self.runtime.detector.acknowledged(now, *number);
        }
        if self.foca.handle_data(data, &mut self.runtime).is_err() {
            self.dropped.garbled += 1;
            return None;
        }
        self.rejoin();
        let from = header
            .map(|header| header.src)
            .filter(|src| src.addr != self.own.addr)?;
        self.runtime.detector.heard(now, from.addr);
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
    pub fn next(&self) -> Option<Micros> {
        let due = self
            .runtime
            .timers
            .peek()
            .map(|Reverse((due, _, _))| *due)?;
        Some(due.saturating_add(self.runtime.stalled))
    }

    /// The process did not run for so long: foca's time stood still.
    pub fn stalled(&mut self, span: Micros) {
        self.runtime.stalled += span;
        self.runtime.detector.stalled();
    }

    /// Runs the timers due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.at(now);
        while self.next().is_some_and(|due| due <= now) {
            let Some(Reverse((_, _, TimerSlot(timer)))) = self.runtime.timers.pop() else {
                break;
            };
            if let Timer::ChangeSuspectToDown { member_id, .. } = &timer {
                match self.runtime.detector.suspicion_timed_out(now, *member_id) {
                    SuspicionOutcome::Confirmed => {}
                    SuspicionOutcome::Cleared => continue,
                    SuspicionOutcome::Extended => {
                        let due = self.runtime.running() + self.settings.probe / 2;
                        self.runtime.set(timer, due);
                        continue;
                    }
                }
            }
            let _ = self.foca.handle_timer(timer, &mut self.runtime); // a stale timer is foca's to drop
        }
    }

    /// Datagrams to send.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.runtime.out)
    }

    /// Changes of membership since the last call, with when they were noticed.
    pub fn events(&mut self) -> Vec<(Micros, PeerEvent)> {
        let events = std::mem::take(&mut self.runtime.events);
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

    /// What foca holds of the member at an address.
    pub fn known(&self, addr: SocketAddr) -> Option<(PeerId, bool)> {
        let member = self
            .foca
            .iter_membership_state()
            .find(|member| member.id().addr == addr)?;
        Some((*member.id(), member.state() == State::Down))
    }
}

fn start(
    own: PeerId,
    config: &Config,
    seed: u64,
    held: &Arc<Mutex<(Summaries, Micros)>>,
) -> Foca<PeerId, PostcardCodec, SmallRng, SummaryHandler> {
    let handler = SummaryHandler {
        own: own.addr,
        held: held.clone(),
    };
    let rng = SmallRng::seed_from_u64(seed);
    Foca::with_custom_broadcast(own, config.clone(), rng, PostcardCodec, handler)
}
