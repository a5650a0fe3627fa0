//! Property test with random fault schedules on the simulated network, seeded and shrunk. Soon after the last fault,
//! all front ends must hold the same, correct view of the fleet; meanwhile no running, reachable front end may be
//! declared down.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scalelab::gossip_network::{GossipProtocol, SimulatedNetwork, MS};
use std::collections::BTreeSet;
use wrenseam::fleet::record::Entry;

/// One second, in microseconds of simulated time.
const SEC: u64 = 1000 * MS;
/// Time from the end of the last fault within which all views must be equal and correct, in microseconds.
const CONVERGENCE_LIMIT: u64 = 10 * SEC;
/// For how long after a front end's own fault has ended it may still be declared down because of it, in microseconds.
const FAULT_EXCUSES_FOR: u64 = 8 * SEC;

/// A step of a schedule. Indices of front ends are taken modulo the size of the fleet.
#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Leave(usize),
    Restart(usize),
    RestartWithClockSetBack(usize),
    /// Puts the front end at `index` on side `(index + offset) % sides`.
    Partition {
        offset: usize,
        sides: u8,
    },
    /// Ends the partition and all link cuts.
    Heal,
    /// Cuts the link from the first front end to the second, one way.
    CutLink(usize, usize),
    BlockInbound(usize),
    BlockOutbound(usize),
    Stop(usize),
    /// Ends blocked traffic and a stop of this front end.
    Recover(usize),
    SetLoss {
        percent: u8,
    },
    SetDuplication {
        percent: u8,
    },
    /// The front end publishes changed metadata.
    Update(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0usize..24;
    prop_oneof![
        2 => index.clone().prop_map(Step::Crash),
        1 => index.clone().prop_map(Step::Leave),
        2 => index.clone().prop_map(Step::Restart),
        1 => index.clone().prop_map(Step::RestartWithClockSetBack),
        1 => (index.clone(), 2u8..=3).prop_map(|(offset, sides)| Step::Partition { offset, sides }),
        1 => Just(Step::Heal),
        1 => (index.clone(), index.clone()).prop_map(|(from, to)| Step::CutLink(from, to)),
        2 => index.clone().prop_map(Step::BlockInbound),
        2 => index.clone().prop_map(Step::BlockOutbound),
        2 => index.clone().prop_map(Step::Stop),
        2 => index.clone().prop_map(Step::Recover),
        1 => (0u8..=20).prop_map(|percent| Step::SetLoss { percent }),
        1 => (0u8..=20).prop_map(|percent| Step::SetDuplication { percent }),
        3 => index.prop_map(Step::Update),
    ]
}

/// A fleet that runs a schedule of faults.
struct ScheduleRun {
    network: SimulatedNetwork,
    /// When each front end was last in a fault of its own, in simulated microseconds; 0 if never.
    last_fault_at: Vec<u64>,
    /// Number of metadata updates so far.
    updates: u32,
    /// Number of down reports checked so far.
    checked: usize,
}

impl ScheduleRun {
    fn new(front_ends: usize, seed: u64) -> ScheduleRun {
        let network = SimulatedNetwork::settled(front_ends, GossipProtocol::BoundedView, seed)
            .expect("every front end finds all others");
        ScheduleRun {
            last_fault_at: vec![0; front_ends],
            network,
            updates: 0,
            checked: 0,
        }
    }

    fn size(&self) -> usize {
        self.network.peers.len()
    }

    /// Whether a front end is in a fault of its own: it does not run or is stopped, its traffic is blocked, or there is
    /// a partition.
    fn in_fault(&self, index: usize) -> bool {
        let peer = &self.network.peers[index];
        let partitioned = self
            .network
            .peers
            .iter()
            .any(|other| other.side != peer.side);
        !self.network.is_running(index)
            || peer.inbound_blocked
            || peer.outbound_blocked
            || peer.stopped
            || partitioned
    }

    /// Number of front ends that are stopped or have their traffic blocked.
    fn impaired(&self) -> usize {
        self.network
            .peers
            .iter()
            .filter(|peer| peer.inbound_blocked || peer.outbound_blocked || peer.stopped)
            .count()
    }

    /// Runs for `duration` microseconds, and checks the down reports every 50 ms.
    fn run(&mut self, duration: u64) {
        let end = self.network.now + duration;
        while self.network.now < end {
            for index in 0..self.size() {
                if self.in_fault(index) {
                    self.last_fault_at[index] = self.network.now;
                }
            }
            self.network.run((self.network.now + 50 * MS).min(end));
            self.check_down_reports();
        }
    }

    /// Asserts that no front end was declared down unless it is in a fault of its own or recently was.
    fn check_down_reports(&mut self) {
        for report in &self.network.down_reports[self.checked..] {
            let since_fault = report.at.saturating_sub(self.last_fault_at[report.peer]);
            let excused = self.in_fault(report.peer)
                || since_fault < FAULT_EXCUSES_FOR && self.last_fault_at[report.peer] > 0;
            assert!(
                excused,
                "front end {} wrongly declared front end {} down at {} ms",
                report.reporter,
                report.peer,
                report.at / MS
            );
        }
        self.checked = self.network.down_reports.len();
    }

    /// Applies a step, unless too few front ends would keep running unimpaired or it does not apply to the front end's
    /// state.
    fn apply(&mut self, step: &Step) {
        let front_ends = self.size();
        let may_impair = (self.impaired() + 1) * 4 <= front_ends;
        let running = |network: &SimulatedNetwork| {
            let indices = 0..front_ends;
            indices.filter(|&index| network.is_running(index)).count()
        };
        match *step {
            Step::Crash(index) if running(&self.network) > 2 => {
                self.network.kill(index % front_ends)
            }
            Step::Leave(index) if running(&self.network) > 2 => {
                self.network.leave(index % front_ends)
            }
            Step::Restart(index) if !self.network.is_running(index % front_ends) => {
                self.network.start(index % front_ends, 0)
            }
            Step::RestartWithClockSetBack(index)
                if !self.network.is_running(index % front_ends) =>
            {
                self.network
                    .start_with_clock_set_back(index % front_ends, 0)
            }
            Step::Partition { offset, sides } => {
                let peers = self.network.peers.iter_mut().enumerate();
                peers.for_each(|(index, peer)| {
                    peer.side = ((index + offset) % usize::from(sides)) as u8;
                });
            }
            Step::Heal => self.heal(),
            Step::CutLink(from, to) if self.network.cut_links.len() * 4 < front_ends => {
                self.network
                    .cut_links
                    .insert((from % front_ends, to % front_ends));
            }
            Step::BlockInbound(index) if may_impair => {
                self.network.peers[index % front_ends].inbound_blocked = true
            }
            Step::BlockOutbound(index) if may_impair => {
                self.network.peers[index % front_ends].outbound_blocked = true
            }
            Step::Stop(index) if may_impair && self.network.is_running(index % front_ends) => {
                self.network.set_stopped(index % front_ends, true)
            }
            Step::Recover(index) => self.recover(index % front_ends),
            Step::SetLoss { percent } => self.network.loss = f64::from(percent) / 100.0,
            Step::SetDuplication { percent } => {
                self.network.duplication = f64::from(percent) / 100.0
            }
            Step::Update(index) => self.update(index % front_ends),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.network.peers.iter_mut().for_each(|peer| peer.side = 0);
        self.network.cut_links = BTreeSet::new();
    }

    fn recover(&mut self, index: usize) {
        let peer = &mut self.network.peers[index];
        (peer.inbound_blocked, peer.outbound_blocked) = (false, false);
        self.network.set_stopped(index, false);
    }

    /// A front end changes an entry of its metadata.
    fn update(&mut self, index: usize) {
        self.updates += 1;
        let (version, value) = (self.updates, format!("value {}", self.updates));
        self.network.update(index, |metadata| {
            metadata
                .entries
                .insert("fact".to_owned(), Entry { version, value });
        });
    }

    /// Ends all faults, except that front ends that do not run stay down.
    fn end_faults(&mut self) {
        self.heal();
        (0..self.size()).for_each(|index| self.recover(index));
        (self.network.loss, self.network.duplication) = (0.0, 0.0);
    }

    /// Runs until all views have been equal and correct for one second. Returns the time until they became so, in
    /// microseconds, or what is wrong if that took longer than `timeout` microseconds.
    fn run_until_converged(&mut self, timeout: u64) -> Result<u64, String> {
        let start = self.network.now;
        let mut holds_since = None;
        while self.network.now < start + timeout + SEC {
            match self.network.disagreement(0) {
                Some(_) => holds_since = None,
                None if self.network.now >= *holds_since.get_or_insert(self.network.now) + SEC => {
                    break
                }
                None => {}
            }
            self.run(100 * MS);
        }
        match holds_since {
            Some(at) if at - start <= timeout => Ok(at - start),
            _ => Err(self
                .network
                .disagreement(0)
                .unwrap_or("converged too late".to_owned())),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 240,
        max_shrink_iters: 200,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_views_are_equal_and_correct_soon_after_any_schedule(
        front_ends in 3usize..=24,
        seed in any::<u64>(),
        steps in prop::collection::vec((0u64..3000, step()), 3..14),
    ) {
        let mut schedule_run = ScheduleRun::new(front_ends, seed);
        for (gap_ms, step) in &steps {
            schedule_run.apply(step);
            schedule_run.run(gap_ms * MS);
        }
        schedule_run.end_faults();
        if let Err(error) = schedule_run.run_until_converged(CONVERGENCE_LIMIT) {
            prop_assert!(false, "{} s after the last fault: {}", CONVERGENCE_LIMIT / SEC, error);
        }
    }
}
