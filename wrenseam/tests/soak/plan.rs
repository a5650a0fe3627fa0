//! The plan of a run of the soak test, which follows from its seed.
use crate::platform::{Abuse, Deployment, EventDelay, Flood, Outage, ProcessLimits};
use crate::{ACCEPTED_AFTER_TERM, MAX_AWAITED_TIMEOUT};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::Range;
use std::time::Duration;

/// Limits of the processes, of which each run draws one pair.
const PROCESS_LIMITS: [ProcessLimits; 3] = [
    ProcessLimits {
        memory_mb: 48,
        descriptors: 384,
    },
    ProcessLimits {
        memory_mb: 96,
        descriptors: 512,
    },
    ProcessLimits {
        memory_mb: 192,
        descriptors: 1_024,
    },
];
/// Kinds of clients in a crowd, of which each crowd draws two.
const CROWD_KINDS: [Abuse; 6] = [
    Abuse::RepeatsRequestId,
    Abuse::CancelsAtOnce,
    Abuse::ReadsNothing,
    Abuse::StatesLongestTimeout,
    Abuse::HoldsConnections,
    Abuse::SendsGarbage,
];
/// What clients at full speed send, of which each flood draws one.
const FLOODS: [Flood; 6] = [
    Flood::CancelledRequests,
    Flood::Mixed,
    Flood::UnknownTenant,
    Flood::BeyondOpenRequests,
    Flood::UnknownRole,
    Flood::UnknownModels,
];
/// Numbers of connections, of which each flood draws one.
const FLOOD_CONNECTIONS: [u64; 3] = [1, 3, 8];
/// Changes the seed for floods.
const FLOOD_SEED: u64 = 0x5f10_0d00;
/// Changes the seed for what is drawn last.
const SLOWNESS_SEED: u64 = 0x5103_0000;
/// An event of a run. Workers and front ends are given by their index.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The discovery services become unreachable.
    Interrupt(Outage),
    /// The discovery services become reachable again.
    Restore,
    /// The discovery services become slow, but for their comments.
    DelayEvents(EventDelay),
    /// They are as fast as before.
    EndDelay,
    /// A worker drains, and the endpoint list says so.
    Drain(usize),
    /// A worker's process ends after a drain or by a crash.
    Stop(usize),
    /// The endpoint list lists a stopped worker as gone.
    PublishGone(usize),
    /// A worker restarts, and the endpoint list lists it as ready.
    Restart(usize),
    /// The front ends are switched to the other discovery service.
    MoveDiscovery,
    /// A front end gets SIGTERM. It is killed and restarted once the platform may do so.
    Terminate(usize),
    /// A front end is killed without notice and restarted.
    Kill(usize),
    /// A front end is paused by SIGSTOP.
    Pause(usize),
    /// A paused front end continues.
    Resume(usize),
    /// A client of a crowd begins to misuse a front end.
    Misuse(usize, Abuse),
    /// All clients of crowds stop.
    EndMisuse,
    /// This many connections begin to send to a front end at full speed.
    StartFlood(usize, Flood, u64),
    /// They stop.
    EndFlood,
}

/// The configuration and the steps of a run, which follow from its seed.
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) deployment: Deployment,
    /// Number of workers.
    pub(crate) workers: usize,
    /// Number of front ends that run.
    pub(crate) front_ends: usize,
    pub(crate) clients_per_front_end: usize,
    /// Mean pause of a client between two requests.
    pub(crate) client_pause: Duration,
    pub(crate) limits: ProcessLimits,
    /// Whether workers answer one in sixteen calls at length.
    pub(crate) long_answers: bool,
    /// Steps in the order of their times, which count from the start of the run.
    pub(crate) steps: Vec<(Duration, Step)>,
}

/// A seeded generator of random numbers.
struct SeededRandom(Pcg32);

impl SeededRandom {
    fn below(&mut self, limit: u32) -> u32 {
        self.0.next_u32() % limit
    }

    fn in_range(&mut self, range: Range<u32>) -> u32 {
        range.start + self.below(range.end - range.start)
    }

    /// True with a chance of one in `count`.
    fn one_in(&mut self, count: u32) -> bool {
        self.below(count) == 0
    }

    /// A duration from a range in ms.
    fn duration_ms(&mut self, range: Range<u32>) -> Duration {
        Duration::from_millis(self.in_range(range).into())
    }
}

impl Plan {
    /// The plan of a run with this seed.
    pub(crate) fn generate(seed: u64) -> Plan {
        let mut random = SeededRandom(Pcg32::seed_from_u64(seed));
        let front_ends = random.in_range(1..5) as usize;
        let workers = random.in_range(7..15) as usize;
        let has_many_clients = random.one_in(4);
        let deployment = Deployment {
            front_ends: if random.one_in(2) { front_ends } else { 48 },
            drain_grace_ms: if random.one_in(2) { 500 } else { 1_000 },
            health_checks: !random.one_in(8),
            load_on_demand: !random.one_in(4),
            give_up_ms: u64::from(random.in_range(500..2_500)),
            effect: if random.one_in(2) { "dedup" } else { "fragile" },
            quota_per_s: 400,
            ..Deployment::default()
        };
        let mut plan = Plan {
            seed,
            deployment,
            workers,
            front_ends,
            clients_per_front_end: if has_many_clients {
                30
            } else {
                random.in_range(3..8) as usize
            },
            client_pause: Duration::from_millis(if has_many_clients { 100 } else { 50 }),
            limits: ProcessLimits::default(),
            long_answers: false,
            steps: Vec::new(),
        };
        let outage_begin = plan.add_outage(&mut random);
        plan.add_worker_failures(&mut random, outage_begin);
        plan.add_signals(&mut random);
        // Drawn apart, so that what is drawn above stays the same for each seed.
        let mut random = SeededRandom(Pcg32::seed_from_u64(!seed));
        plan.limits = PROCESS_LIMITS[random.below(3) as usize];
        plan.add_further_signals(&mut random);
        plan.add_crowd(&mut random);
        plan.add_flood(&mut SeededRandom(Pcg32::seed_from_u64(seed ^ FLOOD_SEED)));
        plan.add_slowness(&mut SeededRandom(Pcg32::seed_from_u64(
            seed ^ SLOWNESS_SEED,
        )));
        plan.steps.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Adds the outage of discovery. Returns when it begins.
    fn add_outage(&mut self, random: &mut SeededRandom) -> Duration {
        let outage = [
            Outage::Refused,
            Outage::Silent,
            Outage::Stalled,
            Outage::CutShort,
        ][random.below(4) as usize];
        let begin = random.duration_ms(500..5_000);
        let length = if random.one_in(2) {
            random.duration_ms(3_000..12_000)
        } else {
            random.duration_ms(12_000..18_000)
        };
        self.steps.push((begin, Step::Interrupt(outage)));
        self.steps.push((begin + length, Step::Restore));
        begin
    }

    /// At most half of the workers drain or crash, each once; many of them just after the outage has begun.
    fn add_worker_failures(&mut self, random: &mut SeededRandom, outage_begin: Duration) {
        let failing = random.in_range(1..self.workers as u32 / 2 + 1);
        for worker in 0..failing as usize {
            let begin = if random.one_in(2) {
                random.duration_ms(500..8_000)
            } else {
                outage_begin + random.duration_ms(0..1_500)
            };
            let is_crash = random.one_in(3);
            let stop = if is_crash {
                begin
            } else {
                self.steps.push((begin, Step::Drain(worker)));
                begin + random.duration_ms(9_000..15_000)
            };
            self.steps.push((stop, Step::Stop(worker)));
            self.steps.push((
                stop + random.duration_ms(10..800),
                Step::PublishGone(worker),
            ));
            self.steps.push((
                stop + random.duration_ms(1_000..2_500),
                Step::Restart(worker),
            ));
        }
    }

    /// Adds moves of discovery, and for each front end at most one SIGTERM, SIGKILL or pause.
    fn add_signals(&mut self, random: &mut SeededRandom) {
        if random.one_in(2) {
            let mut at = random.duration_ms(1_000..12_000);
            for _ in 0..random.in_range(1..4) {
                self.steps.push((at, Step::MoveDiscovery));
                at += random.duration_ms(50..1_500);
            }
        }
        for front_end in 0..self.front_ends {
            match random.below(4) {
                0 => self.steps.push((
                    random.duration_ms(1_000..16_000),
                    Step::Terminate(front_end),
                )),
                1 => self
                    .steps
                    .push((random.duration_ms(1_000..16_000), Step::Kill(front_end))),
                2 => {
                    let at = random.duration_ms(1_000..16_000);
                    self.steps.push((at, Step::Pause(front_end)));
                    self.steps
                        .push((at + random.duration_ms(200..1_500), Step::Resume(front_end)));
                }
                _ => {}
            }
        }
    }

    /// Adds a series of further signals to some front ends.
    fn add_further_signals(&mut self, random: &mut SeededRandom) {
        for front_end in 0..self.front_ends {
            let mut at = random.duration_ms(3_000..9_000);
            for _ in 0..random.below(4) {
                let step = match random.below(4) {
                    0 => Step::Kill(front_end),
                    1 => Step::MoveDiscovery,
                    _ => Step::Terminate(front_end),
                };
                self.steps.push((at, step));
                at += random.duration_ms(300..6_000);
            }
        }
    }

    /// In one of three runs, a crowd of clients misuses a front end for some seconds.
    fn add_crowd(&mut self, random: &mut SeededRandom) {
        if !random.one_in(3) {
            return;
        }
        let front_end = random.below(self.front_ends as u32) as usize;
        let begin = random.duration_ms(1_000..10_000);
        for _ in 0..2 {
            let kind = CROWD_KINDS[random.below(6) as usize];
            self.steps.push((begin, Step::Misuse(front_end, kind)));
        }
        let end = begin + random.duration_ms(2_000..6_000);
        self.steps.push((end, Step::EndMisuse));
    }

    /// In one of three runs, a few connections send to a front end at full speed for some seconds.
    fn add_flood(&mut self, random: &mut SeededRandom) {
        if !random.one_in(3) {
            return;
        }
        let front_end = random.below(self.front_ends as u32) as usize;
        let flood = FLOODS[random.below(FLOODS.len() as u32) as usize];
        let connections = FLOOD_CONNECTIONS[random.below(3) as usize];
        let begin = random.duration_ms(1_000..12_000);
        let end = begin + random.duration_ms(3_000..8_000);
        self.steps
            .push((begin, Step::StartFlood(front_end, flood, connections)));
        self.steps.push((end, Step::EndFlood));
    }

    /// In one of two runs some answers are long, and in one of two discovery is slow for a while, often from within its
    /// outage on.
    fn add_slowness(&mut self, random: &mut SeededRandom) {
        self.long_answers = random.one_in(2);
        if !random.one_in(2) {
            return;
        }
        let delay = random.duration_ms(500..9_000);
        let delay = match random.below(3) {
            0 => EventDelay::FromPublication(delay),
            1 => EventDelay::UntilNextRequest,
            _ => EventDelay::FromRequest(delay),
        };
        let begin = random.duration_ms(500..12_000);
        let end = begin + random.duration_ms(3_000..12_000);
        self.steps.push((begin, Step::DelayEvents(delay)));
        self.steps.push((end, Step::EndDelay));
    }

    /// Time from SIGTERM to the earliest SIGKILL that the platform may send.
    pub(crate) fn kill_delay(&self) -> Duration {
        let timeout = Duration::from_millis(self.deployment.give_up_ms);
        timeout.min(MAX_AWAITED_TIMEOUT) + ACCEPTED_AFTER_TERM
    }
}
