//! A seeded soak: front end processes called all the time while discovery is out of reach or moves, workers drain, crash
//! and come back, and front ends are stopped, restarted and killed as early as the platform may.
//!
//! The long run: `SOAK_SEEDS=1..61 cargo test -p wrenseam --test soak -- --ignored --nocapture`.
mod platform;

use platform::{
    cold_overload, forbidden_duplicates, late_arrivals, start_workers, ClientSettings, Clients,
    Deployment, DiscoveryService, Drain, DrainLimits, EventLog, FrontEnd, FrontEndSettings, Outage,
    RequestOutcome, RequestRecord, SimulatedWorker,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use std::ops::Range;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long trouble goes on.
const TROUBLE: Duration = Duration::from_secs(24);
/// A call's work at a worker.
const WORK: Duration = Duration::from_millis(15);
/// Requests on open connections come so long after SIGTERM, and count as taken when the process is killed.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(700);
/// What discovery has to tell counts as notified so long after it happened.
const NOTIFIED_AFTER: Duration = Duration::from_secs(7);
/// The longest deadline that the platform counts.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// A request that crosses the close of a resting connection within this may be sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// A process that was stopped answers what has waited within this.
const AFTER_STOP: Duration = Duration::from_millis(200);
/// The part of all requests that is served at the least.
const LEAST_SERVED: f64 = 1.0 / 3.0;
/// Soaks that run at once in the long run.
const AT_ONCE: usize = 10;

/// What happens at a time.
#[derive(Clone, Debug)]
enum Step {
    Interrupt(Outage),
    Restore,
    Drain(usize),
    /// The end of a drain, or a crash.
    Stop(usize),
    ListGone(usize),
    Restart(usize),
    MoveDiscovery,
    Terminate(usize),
    Kill(usize),
    Freeze(usize),
    Thaw(usize),
}

/// A run as its seed draws it.
struct Plan {
    seed: u64,
    deployment: Deployment,
    workers: usize,
    front_ends: usize,
    clients: usize,
    pause: Duration,
    steps: Vec<(Duration, Step)>,
}

struct Dice(Pcg32);

impl Dice {
    fn below(&mut self, limit: u32) -> u32 {
        self.0.next_u32() % limit
    }

    fn in_range(&mut self, range: Range<u32>) -> u32 {
        range.start + self.below(range.end - range.start)
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.below(count) == 0
    }

    fn ms(&mut self, range: Range<u32>) -> Duration {
        Duration::from_millis(self.in_range(range).into())
    }
}

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut dice = Dice(Pcg32::seed_from_u64(seed));
        let front_ends = dice.in_range(1..5) as usize;
        let workers = dice.in_range(7..15) as usize;
        let is_crowded = dice.one_in(4);
        let deployment = Deployment {
            front_ends: if dice.one_in(2) { front_ends } else { 48 },
            drain_grace_ms: if dice.one_in(2) { 500 } else { 1_000 },
            health_checks: !dice.one_in(8),
            load_on_demand: !dice.one_in(4),
            give_up_ms: u64::from(dice.in_range(500..2_500)),
            effect: if dice.one_in(2) { "dedup" } else { "fragile" },
            quota_per_s: 400,
        };
        let mut plan = Plan {
            seed,
            deployment,
            workers,
            front_ends,
            clients: if is_crowded {
                30
            } else {
                dice.in_range(3..8) as usize
            },
            pause: Duration::from_millis(if is_crowded { 100 } else { 50 }),
            steps: Vec::new(),
        };
        let outage = plan.draw_outage(&mut dice);
        plan.draw_workers(&mut dice, outage);
        plan.draw_signals(&mut dice);
        plan.steps.sort_by_key(|(at, _)| *at);
        plan
    }

    /// When the outage begins.
    fn draw_outage(&mut self, dice: &mut Dice) -> Duration {
        let outage = [
            Outage::Refused,
            Outage::Silent,
            Outage::Stalled,
            Outage::CutShort,
        ][dice.below(4) as usize];
        let begin = dice.ms(500..5_000);
        let length = if dice.one_in(2) {
            dice.ms(3_000..12_000)
        } else {
            dice.ms(12_000..18_000)
        };
        self.steps.push((begin, Step::Interrupt(outage)));
        self.steps.push((begin + length, Step::Restore));
        begin
    }

    /// At most half of the workers drain or crash, each once; many just after the outage has begun.
    fn draw_workers(&mut self, dice: &mut Dice, outage: Duration) {
        let troubled = dice.in_range(1..self.workers as u32 / 2 + 1);
        for worker in 0..troubled as usize {
            let begin = if dice.one_in(2) {
                dice.ms(500..8_000)
            } else {
                outage + dice.ms(0..1_500)
            };
            let is_crash = dice.one_in(3);
            let stop = if is_crash {
                begin
            } else {
                self.steps.push((begin, Step::Drain(worker)));
                begin + dice.ms(9_000..15_000)
            };
            self.steps.push((stop, Step::Stop(worker)));
            self.steps
                .push((stop + dice.ms(10..800), Step::ListGone(worker)));
            self.steps
                .push((stop + dice.ms(1_000..2_500), Step::Restart(worker)));
        }
    }

    fn draw_signals(&mut self, dice: &mut Dice) {
        if dice.one_in(2) {
            let mut at = dice.ms(1_000..12_000);
            for _ in 0..dice.in_range(1..4) {
                self.steps.push((at, Step::MoveDiscovery));
                at += dice.ms(50..1_500);
            }
        }
        for front_end in 0..self.front_ends {
            match dice.below(4) {
                0 => self
                    .steps
                    .push((dice.ms(1_000..16_000), Step::Terminate(front_end))),
                1 => self
                    .steps
                    .push((dice.ms(1_000..16_000), Step::Kill(front_end))),
                2 => {
                    let at = dice.ms(1_000..16_000);
                    self.steps.push((at, Step::Freeze(front_end)));
                    self.steps
                        .push((at + dice.ms(200..1_500), Step::Thaw(front_end)));
                }
                _ => {}
            }
        }
    }

    /// The earliest SIGKILL after SIGTERM.
    fn kill_after(&self) -> Duration {
        let longest = Duration::from_millis(self.deployment.give_up_ms);
        longest.min(LONGEST_DEADLINE) + TAKEN_AFTER_TERM
    }
}

/// The end of a front end process.
#[derive(Clone, Copy, Debug)]
struct ProcessEnd {
    front_end: usize,
    terminated_at: Option<Instant>,
    killed_at: Instant,
}

/// A time in which drains may be notified late: discovery was out of reach or moved, or a front end stood still.
type Disturbance = Range<Instant>;

/// A soak that is running.
struct Soak {
    plan: Plan,
    start: Instant,
    log: EventLog,
    discovery: [DiscoveryService; 2],
    /// Which of the two front ends follow.
    followed: usize,
    workers: Vec<SimulatedWorker>,
    front_ends: Vec<FrontEnd>,
    /// When front ends that were terminated are killed.
    pending_kills: Vec<(Instant, ProcessEnd)>,
    ends: Vec<ProcessEnd>,
    disturbances: Vec<Disturbance>,
    outage_since: Option<Instant>,
    /// Times in which a front end was stopped.
    frozen: Vec<(usize, Disturbance)>,
    clients: Clients,
}

impl Soak {
    fn start(plan: Plan) -> Soak {
        let (workers, log) = start_workers(plan.workers, WORK);
        let discovery = [DiscoveryService::start(&log), DiscoveryService::start(&log)];
        let mut clients = Clients::new(plan.seed << 16);
        let mut front_ends = Vec::new();
        for index in 0..plan.front_ends {
            let settings = FrontEndSettings {
                deployment: plan.deployment.clone(),
                index,
                seed: plan.seed << 8,
            };
            let front_end = FrontEnd::start(settings, &log, discovery[0].address);
            let client = ClientSettings {
                front_end: index,
                address: front_end.address,
                timeout: Duration::from_millis(plan.deployment.give_up_ms),
                pause: plan.pause,
            };
            clients.add(plan.clients, client);
            front_ends.push(front_end);
        }
        Soak {
            start: Instant::now() + Duration::from_secs(2),
            plan,
            log,
            discovery,
            followed: 0,
            workers,
            front_ends,
            pending_kills: Vec::new(),
            ends: Vec::new(),
            disturbances: Vec::new(),
            outage_since: None,
            frozen: Vec::new(),
            clients,
        }
    }

    fn run(&mut self) {
        let steps = std::mem::take(&mut self.plan.steps);
        eprintln!("soak {}: {steps:?}", self.plan.seed);
        for (at, step) in steps {
            self.wait_until(self.start + at);
            self.take(&step);
        }
        self.wait_until(self.start + TROUBLE);
        self.clients.stop();
    }

    /// Waits, and kills and restarts what is due meanwhile.
    fn wait_until(&mut self, at: Instant) {
        while Instant::now() < at {
            let front_ends = &mut self.front_ends;
            let due = self.pending_kills.iter().position(|(kill_at, end)| {
                *kill_at <= Instant::now() || !front_ends[end.front_end].is_running()
            });
            if let Some(due) = due {
                let (_, end) = self.pending_kills.swap_remove(due);
                self.end_process(end);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn end_process(&mut self, end: ProcessEnd) {
        let front_end = &mut self.front_ends[end.front_end];
        front_end.kill();
        self.ends.push(ProcessEnd {
            killed_at: Instant::now(),
            ..end
        });
        front_end.restart(&self.log, self.discovery[self.followed].address);
    }

    fn take(&mut self, step: &Step) {
        let now = Instant::now();
        match *step {
            Step::Interrupt(outage) => {
                self.outage_since = Some(now);
                for service in &self.discovery {
                    service.interrupt(outage);
                }
            }
            Step::Restore => {
                for service in &self.discovery {
                    service.restore();
                }
                let since = self.outage_since.take().expect("an outage");
                self.disturbances.push(since..now);
            }
            Step::Drain(worker) => {
                self.workers[worker].drain();
                self.publish(worker, "draining");
            }
            Step::Stop(worker) => self.workers[worker].stop(),
            Step::ListGone(worker) => self.publish(worker, "gone"),
            Step::Restart(worker) => {
                self.workers[worker].restart();
                self.publish(worker, "ready");
            }
            Step::MoveDiscovery => {
                self.followed = 1 - self.followed;
                let address = self.discovery[self.followed].address;
                for front_end in &self.front_ends {
                    front_end.move_discovery(&self.log, address);
                }
                self.disturbances.push(now..now + Duration::from_secs(1));
            }
            Step::Terminate(front_end) => {
                if self.is_ending(front_end) {
                    return;
                }
                self.front_ends[front_end].terminate();
                let kill_at = now + self.plan.kill_after();
                let end = ProcessEnd {
                    front_end,
                    terminated_at: Some(now),
                    killed_at: kill_at,
                };
                self.pending_kills.push((kill_at, end));
            }
            Step::Kill(front_end) => {
                if !self.is_ending(front_end) {
                    self.end_process(ProcessEnd {
                        front_end,
                        terminated_at: None,
                        killed_at: now,
                    });
                }
            }
            Step::Freeze(front_end) => {
                self.frozen.push((front_end, now..now));
                self.front_ends[front_end].signal("-STOP");
            }
            Step::Thaw(front_end) => {
                self.front_ends[front_end].signal("-CONT");
                let is_it = |(frozen_front_end, _): &&mut (usize, Disturbance)| {
                    *frozen_front_end == front_end
                };
                let (_, frozen) = self.frozen.iter_mut().find(is_it).expect("stopped before");
                frozen.end = now;
                self.disturbances.push(frozen.clone());
            }
        }
    }

    fn publish(&self, worker: usize, lifecycle: &str) {
        self.log
            .publish(&[self.workers[worker].instance(lifecycle)]);
    }

    fn is_ending(&self, front_end: usize) -> bool {
        let is_it = |(_, end): &(Instant, ProcessEnd)| end.front_end == front_end;
        self.pending_kills.iter().any(is_it)
    }

    /// When a drain counts as notified: at once while discovery is in reach of all, else by the page's clock.
    fn drain_limits(&self, drain: &Drain) -> DrainLimits {
        let grace_ms = self.plan.deployment.drain_grace_ms;
        let around = Duration::from_secs(5);
        let is_disturbed = |disturbance: &Disturbance| {
            drain.began_at + around > disturbance.start && drain.began_at < disturbance.end + around
        };
        let mut limits = DrainLimits::without_notice(grace_ms);
        if !self.disturbances.iter().any(is_disturbed) {
            limits.notified_after = Duration::ZERO;
        }
        limits
    }

    /// Requests that were taken and got no answer in time, though nothing excuses it.
    fn lost(&self) -> Vec<String> {
        let records = self.clients.records();
        let is_lost = |record: &&RequestRecord| match record.outcome {
            RequestOutcome::Unanswered => !self.is_excused(record),
            RequestOutcome::Closed => {
                let crossed = !record.is_first && record.ended_at - record.sent_at <= CROSSING;
                !crossed && !self.is_excused(record)
            }
            _ => false,
        };
        let text = |record: &RequestRecord| {
            format!(
                "{:016x} to n{}: {:?}, sent at {:.3}, ended at {:.3}, wait {:?}, first {}, resting since {:.3}",
                record.id,
                record.front_end,
                record.outcome,
                (record.sent_at - self.start).as_secs_f64(),
                (record.ended_at - self.start).as_secs_f64(),
                record.timeout,
                record.is_first,
                (record.idle_since - self.start).as_secs_f64()
            )
        };
        records.iter().filter(is_lost).map(text).collect()
    }

    /// Whether the process was killed under the request and may have left it, or was stopped when its time ran out.
    fn is_excused(&self, record: &RequestRecord) -> bool {
        let deadline = record.sent_at + record.timeout;
        let was_stopped = self.frozen.iter().any(|(front_end, frozen)| {
            *front_end == record.front_end
                && frozen.start < deadline
                && frozen.end + AFTER_STOP > deadline
                && record.outcome == RequestOutcome::Unanswered
        });
        was_stopped || self.was_killed_under(record)
    }

    fn was_killed_under(&self, record: &RequestRecord) -> bool {
        self.ends.iter().any(|end| {
            let was_open =
                record.sent_at <= end.killed_at && record.ended_at + CROSSING >= end.killed_at;
            let came_late = end
                .terminated_at
                .is_some_and(|at| record.sent_at > at + TAKEN_AFTER_TERM);
            end.front_end == record.front_end && was_open && !came_late
        })
    }

    /// What broke a rule.
    fn faults(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        let limits_of = |drain: &Drain| self.drain_limits(drain);
        let late = late_arrivals(&self.workers, limits_of, self.start);
        faults.extend(late.into_iter().map(|what| format!("drain: {what}")));
        faults.extend(
            forbidden_duplicates(&self.workers, self.plan.deployment.effect)
                .into_iter()
                .map(|what| format!("duplicate: {what}")),
        );
        let capacity_per_s = self.plan.deployment.quota_per_s as f64 / self.workers.len() as f64;
        for worker in &self.workers {
            let Some(&start) = worker.starts().last() else {
                continue;
            };
            if let Some((calls, allowed)) =
                cold_overload(worker, start + NOTIFIED_AFTER, capacity_per_s)
            {
                faults.push(format!("failback: {} got {calls} of {allowed}", worker.id));
            }
        }
        faults.extend(self.lost().into_iter().map(|what| format!("lost: {what}")));
        for (index, front_end) in self.front_ends.iter_mut().enumerate() {
            let is_ending = self
                .pending_kills
                .iter()
                .any(|(_, end)| end.front_end == index);
            if !front_end.is_running() && !is_ending {
                faults.push(format!("crash: n{index}"));
            }
        }
        let records = self.clients.records();
        let served = records
            .iter()
            .filter(|record| record.outcome == RequestOutcome::Served)
            .count();
        let part = served as f64 / records.len().max(1) as f64;
        eprintln!(
            "soak {}: {} requests, {part:.2} served, {} health checks, {:?}",
            self.plan.seed,
            records.len(),
            self.workers
                .iter()
                .map(SimulatedWorker::health_checks)
                .sum::<usize>(),
            self.plan.deployment
        );
        if part < LEAST_SERVED {
            faults.push(format!("service: {part:.3} served"));
        }
        faults
    }
}

fn soak(seed: u64) -> Vec<String> {
    let mut soak = Soak::start(Plan::draw(seed));
    soak.run();
    soak.faults()
}

#[rstest]
fn rules_hold_under_outages_drains_restarts_and_signals(#[values(3, 10, 12, 16)] seed: u64) {
    let faults = soak(seed);
    assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
}

/// The long run, by hand: the seeds in `SOAK_SEEDS`.
#[test]
#[ignore = "takes minutes"]
fn rules_hold_over_many_seeds() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..51".to_owned());
    let (first, end) = seeds.split_once("..").expect("a range");
    let range: Range<u64> = first.parse().expect("a seed")..end.parse().expect("a seed");
    let next = Mutex::new(range);
    let faults = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let Some(seed) = next.lock().expect("not poisoned").next() else {
                    return;
                };
                for fault in soak(seed) {
                    eprintln!("seed {seed}: {fault}");
                    faults.lock().expect("not poisoned").push((seed, fault));
                }
            });
        }
    });
    let faults = faults.into_inner().expect("not poisoned");
    assert!(faults.is_empty(), "{} faults", faults.len());
}
