//! All front ends hold the same view of the fleet, and the right one, soon after faults of any kind; and no front end
//! that lives and is heard is declared down meanwhile. Random schedules on the simulated net, seeded and shrunk.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scalelab::gossip_network::{GossipProtocol, SimulatedNetwork, MS};
use std::collections::BTreeSet;
use wrenseam::fleet::record::Entry;

const S: u64 = 1000 * MS;
/// After the last fault has ended all views are to be equal and right within this.
const AGREED_WITHIN: u64 = 10 * S;
/// A front end that was in fault itself so lately may still be declared down for it.
const TROUBLED_FOR: u64 = 8 * S;

/// One thing that happens; front ends by number, taken modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Leave(usize),
    Restart(usize),
    RestartSetBack(usize),
    Partition { of: usize, ways: u8 },
    Heal,
    CutOneWay(usize, usize),
    Deaf(usize),
    Mute(usize),
    Stop(usize),
    Recover(usize),
    Lose { percent: u8 },
    Repeat { percent: u8 },
    Update(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let front = 0usize..24;
    prop_oneof![
        2 => front.clone().prop_map(Step::Crash),
        1 => front.clone().prop_map(Step::Leave),
        2 => front.clone().prop_map(Step::Restart),
        1 => front.clone().prop_map(Step::RestartSetBack),
        1 => (front.clone(), 2u8..=3).prop_map(|(of, ways)| Step::Partition { of, ways }),
        1 => Just(Step::Heal),
        1 => (front.clone(), front.clone()).prop_map(|(from, to)| Step::CutOneWay(from, to)),
        2 => front.clone().prop_map(Step::Deaf),
        2 => front.clone().prop_map(Step::Mute),
        2 => front.clone().prop_map(Step::Stop),
        2 => front.clone().prop_map(Step::Recover),
        1 => (0u8..=20).prop_map(|percent| Step::Lose { percent }),
        1 => (0u8..=20).prop_map(|percent| Step::Repeat { percent }),
        3 => front.prop_map(Step::Update),
    ]
}

/// A fleet under a schedule, and since when each front end has been out of fault.
struct Play {
    net: SimulatedNetwork,
    troubled_at: Vec<u64>,
    updates: u32,
    checked: usize,
}

impl Play {
    fn new(n: usize, seed: u64) -> Play {
        let net =
            SimulatedNetwork::settled(n, GossipProtocol::BoundedView, seed).expect("all find all");
        Play {
            troubled_at: vec![0; n],
            net,
            updates: 0,
            checked: 0,
        }
    }

    fn size(&self) -> usize {
        self.net.peers.len()
    }

    /// Whether a front end is in fault itself: it does not run, is not heard, does not hear, or is cut off.
    fn in_trouble(&self, i: usize) -> bool {
        let front = &self.net.peers[i];
        let cut_off = self.net.peers.iter().any(|other| other.side != front.side);
        !self.net.up(i) || front.deaf || front.mute || front.stopped || cut_off
    }

    /// How many run though they hear nothing, are not heard, or stand still.
    fn bad(&self) -> usize {
        self.net
            .peers
            .iter()
            .filter(|front| front.deaf || front.mute || front.stopped)
            .count()
    }

    fn run(&mut self, span: u64) {
        let until = self.net.now + span;
        while self.net.now < until {
            for i in 0..self.size() {
                if self.in_trouble(i) {
                    self.troubled_at[i] = self.net.now;
                }
            }
            self.net.run((self.net.now + 50 * MS).min(until));
            self.check_downs();
        }
    }

    /// Nobody was declared down who lives and is heard.
    fn check_downs(&mut self) {
        for down in &self.net.downs[self.checked..] {
            let since = down.at.saturating_sub(self.troubled_at[down.of]);
            let excused =
                self.in_trouble(down.of) || since < TROUBLED_FOR && self.troubled_at[down.of] > 0;
            assert!(
                excused,
                "{} declared {} down at {} ms",
                down.by,
                down.of,
                down.at / MS
            );
        }
        self.checked = self.net.downs.len();
    }

    fn apply(&mut self, step: &Step) {
        let n = self.size();
        let few_bad = (self.bad() + 1) * 4 <= n;
        let up = |net: &SimulatedNetwork| (0..n).filter(|&i| net.up(i)).count();
        match *step {
            Step::Crash(i) if up(&self.net) > 2 => self.net.kill(i % n),
            Step::Leave(i) if up(&self.net) > 2 => self.net.leave(i % n),
            Step::Restart(i) if !self.net.up(i % n) => self.net.start(i % n, 0),
            Step::RestartSetBack(i) if !self.net.up(i % n) => self.net.start_set_back(i % n, 0),
            Step::Partition { of, ways } => {
                let sides = self.net.peers.iter_mut().enumerate();
                sides.for_each(|(i, front)| front.side = ((i + of) % usize::from(ways)) as u8);
            }
            Step::Heal => self.heal(),
            Step::CutOneWay(from, to) if self.net.cut.len() * 4 < n => {
                self.net.cut.insert((from % n, to % n));
            }
            Step::Deaf(i) if few_bad => self.net.peers[i % n].deaf = true,
            Step::Mute(i) if few_bad => self.net.peers[i % n].mute = true,
            Step::Stop(i) if few_bad && self.net.up(i % n) => self.net.stop(i % n, true),
            Step::Recover(i) => self.recover(i % n),
            Step::Lose { percent } => self.net.loss = f64::from(percent) / 100.0,
            Step::Repeat { percent } => self.net.duplication = f64::from(percent) / 100.0,
            Step::Update(i) => self.update(i % n),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.net.peers.iter_mut().for_each(|front| front.side = 0);
        self.net.cut = BTreeSet::new();
    }

    fn recover(&mut self, i: usize) {
        (self.net.peers[i].deaf, self.net.peers[i].mute) = (false, false);
        self.net.stop(i, false);
    }

    /// A front end changes a fact that it shares.
    fn update(&mut self, i: usize) {
        self.updates += 1;
        let (version, value) = (self.updates, format!("value {}", self.updates));
        self.net.update(i, |facts| {
            facts
                .entries
                .insert("fact".to_owned(), Entry { version, value });
        });
    }

    /// Ends all faults; those that do not run stay so.
    fn end_faults(&mut self) {
        self.heal();
        (0..self.size()).for_each(|i| self.recover(i));
        (self.net.loss, self.net.duplication) = (0.0, 0.0);
    }

    /// How long it takes until all views are equal and right, and stay so for a second.
    fn agreed(&mut self, within: u64) -> Result<u64, String> {
        let began = self.net.now;
        let mut since = None;
        while self.net.now < began + within + S {
            match self.net.disagreement(0) {
                Some(_) => since = None,
                None if self.net.now >= *since.get_or_insert(self.net.now) + S => break,
                None => {}
            }
            self.run(100 * MS);
        }
        match since {
            Some(at) if at - began <= within => Ok(at - began),
            _ => Err(self.net.disagreement(0).unwrap_or("too late".to_owned())),
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
    fn all_agree_and_are_right_soon_after_any_schedule(
        n in 3usize..=24,
        seed in any::<u64>(),
        steps in prop::collection::vec((0u64..3000, step()), 3..14),
    ) {
        let mut play = Play::new(n, seed);
        for (gap_ms, step) in &steps {
            play.apply(step);
            play.run(gap_ms * MS);
        }
        play.end_faults();
        if let Err(what) = play.agreed(AGREED_WITHIN) {
            prop_assert!(false, "{} s after the last fault: {}", AGREED_WITHIN / S, what);
        }
    }
}
