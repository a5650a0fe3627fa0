//! Characterization test of all decisions: seeded event streams are fed to the policy, and its actions are hashed into
//! one digest per stream. Actions are encoded by variant number and fields, so that renaming one does not change the
//! digest.
//!
//! A changed digest means that a decision or a draw of a random number changed. A new digest may be recorded only by a
//! commit that intends to change decisions.
mod world;

use rstest::rstest;
use world::Traffic::{self, Busy, Light, Overload};
use world::{Scenario, Simulation};
use wrenseam_policy::*;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;

/// Number of events of a stream without overload.
const EVENTS: usize = 12_000;

/// FNV-1a hash of the encoded actions.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }

    fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        text.bytes().for_each(|byte| self.byte(byte));
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                worker,
                timeout,
                retry_window,
            } => {
                self.byte(0);
                self.number(*id);
                self.text(worker);
                self.number(*timeout);
                self.byte(u8::from(retry_window.is_some()));
                self.number(retry_window.unwrap_or(0));
            }
            Action::Cancel { id, attempt } => {
                self.byte(1);
                self.number(*id);
                self.number(*attempt as u64);
            }
            Action::Reject { id, retry_after } => {
                self.byte(2);
                self.number(*id);
                self.number(*retry_after);
            }
            Action::Fail { id } => {
                self.byte(3);
                self.number(*id);
            }
            Action::Timer { delay, token } => {
                self.byte(4);
                self.number(*delay);
                self.number(*token);
            }
            Action::Load {
                worker,
                function,
                replicas,
            } => {
                self.byte(5);
                self.text(worker);
                self.number(*function);
                self.number(u64::from(*replicas));
            }
            Action::Unload { worker, function } => {
                self.byte(6);
                self.text(worker);
                self.number(*function);
            }
            Action::WatchEndpoints => self.byte(7),
            Action::Log { text } => {
                self.byte(8);
                self.text(text);
            }
        }
    }
}

fn settings(scenario: &Scenario) -> Settings {
    let class = |idempotency, key_scope, latency_objective, priority_weight| ClassSettings {
        idempotency,
        key_scope,
        key_memory: 3 * SEC,
        latency_objective,
        priority_weight,
        ..ClassSettings::default()
    };
    let tenant = |quota_per_s| TenantSettings {
        quota_per_s,
        ..TenantSettings::default()
    };
    let key_scope = if scenario.load_on_demand {
        KeyScope::Zone
    } else {
        KeyScope::Cell
    };
    Settings {
        front_ends: scenario.front_ends,
        front_end_index: scenario.hedging.then_some(scenario.front_ends / 2),
        classes: vec![
            class(Idempotency::Idempotent, KeyScope::All, 400 * MS, 1.0),
            class(Idempotency::Keyed, key_scope, 800 * MS, 3.0),
            class(Idempotency::NotIdempotent, KeyScope::All, SEC, 2.0),
        ],
        tenants: if scenario.reports {
            vec![tenant(40.0), tenant(60.0)]
        } else {
            vec![]
        },
        over_quota_weight: 0.2,
        kind_memory_mb: vec![4_000.0, 2_500.0],
        keep_alive: 8 * SEC,
        load_on_demand: scenario.load_on_demand,
        load_orders: true,
        order_timeout: 10 * SEC,
        load_budget_window: if scenario.hedging { 5 * SEC } else { 0 },
        load_budget_base: 4.0,
        load_budget_per_request: 0.2,
        max_attempts: if scenario.hedging { 6 } else { 3 },
        cancellation: scenario.hedging || scenario.load_on_demand,
        hedging: scenario.hedging,
        max_retry_after: SEC,
        slow_start_initial_share: 0.25,
        slow_start_duration: 10 * SEC,
        overload_multiple: 2.0,
        overload_window: SEC,
        watch_endpoints: scenario.reports,
        ..Settings::default()
    }
}

/// Number of actions of each kind: shows whether a stream exercises the policy at all.
#[derive(Debug, Default)]
struct Counts {
    sends: usize,
    cancels: usize,
    rejections: usize,
    failures: usize,
    loads: usize,
    polls: usize,
}

impl Counts {
    fn add(&mut self, action: &Action) {
        match action {
            Action::Send { .. } => self.sends += 1,
            Action::Cancel { .. } => self.cancels += 1,
            Action::Reject { .. } => self.rejections += 1,
            Action::Fail { .. } => self.failures += 1,
            Action::Load { replicas: 0, .. } => self.polls += 1,
            Action::Load { .. } => self.loads += 1,
            _ => {}
        }
    }

    fn exercise_the_policy(&self) -> bool {
        self.sends > 1_000 && self.rejections > 100 && self.failures > 20 && self.loads > 40
    }
}

/// Runs a stream: the front end is on standby from one third of it to one half, and is restarted at two thirds.
fn run(scenario: Scenario) -> (Digest, Counts) {
    let mut simulation = Simulation::new(scenario);
    let mut controller = Controller::new(settings(&scenario), scenario.seed);
    let mut digest = Digest::new();
    let mut counts = Counts::default();
    let mut actions = Vec::new();
    for step in 0..scenario.events {
        if step == scenario.events / 3 || step == scenario.events / 2 {
            controller.set_standby(step == scenario.events / 3);
        }
        if step == scenario.events * 2 / 3 {
            controller = Controller::new(settings(&scenario), scenario.seed + 1);
            simulation.restart_front_end();
        }
        let (now, event) = simulation.next();
        controller.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            digest.number(now);
            digest.action(&action);
            counts.add(&action);
            simulation.carry_out(&action);
        }
        if step % 500 == 0 {
            (0..scenario.workers).for_each(|w| {
                digest.byte(u8::from(controller.is_unreachable(&format!("worker-{w}"))))
            });
        }
    }
    (digest, counts)
}

// A case is named after the number of front ends; with "orders_only", workers load no function on demand.
// Columns: front ends, workers, load on demand, reports, hedging and load budget, traffic, digest.
#[rstest]
#[case::one_orders_only(1, 12, false, false, false, Light, 0xf2e3_fc65_5030_bf90)]
#[case::one_orders_only_reports(1, 12, false, true, true, Light, 0xb901_b506_287d_24fa)]
#[case::one_on_demand(1, 12, true, false, false, Light, 0x9a54_9936_f1b4_f149)]
#[case::one_on_demand_reports(1, 12, true, true, true, Light, 0x49f9_afd1_a66f_19da)]
#[case::eight_orders_only(8, 14, false, false, true, Light, 0x765e_02bf_ac33_6d75)]
#[case::eight_orders_only_reports(8, 14, false, true, false, Light, 0xbf1f_5bdd_4be5_a76e)]
#[case::eight_on_demand(8, 14, true, false, true, Light, 0xe871_c250_79cd_45f4)]
#[case::eight_on_demand_reports(8, 14, true, true, false, Light, 0xbd19_1960_f428_57e2)]
#[case::three_hundred_orders_only(300, 30, false, false, false, Light, 0xd07d_14c9_2e81_0d16)]
#[case::three_hundred_orders_only_reports(300, 30, false, true, true, Light, 0x7688_057a_ae27_e692)]
#[case::three_hundred_on_demand(300, 30, true, false, false, Light, 0xe67a_171e_7016_fbe1)]
#[case::three_hundred_on_demand_reports(300, 30, true, true, true, Light, 0xe693_988c_3e2e_0653)]
#[case::one_busy(1, 8, true, true, true, Busy, 0xbb25_8bac_8650_798b)]
#[case::one_busy_orders_only(1, 8, false, false, false, Busy, 0x4df8_a3b4_0cfd_4fb1)]
#[case::eight_busy(8, 8, true, true, true, Busy, 0xafed_f088_1f40_5804)]
#[case::three_hundred_busy(300, 8, true, true, true, Busy, 0x7623_e376_d878_35a2)]
#[case::one_overloaded(1, 6, true, true, true, Overload, 0x78c0_11e8_0fe1_9f7e)]
#[case::one_overloaded_without_reports(1, 6, true, false, false, Overload, 0x2ad3_72d2_77a1_a212)]
#[case::eight_overloaded(8, 6, true, true, false, Overload, 0x5c1b_a286_0398_65ba)]
#[case::eight_overloaded_orders_only(8, 6, false, false, true, Overload, 0xc15a_f4ea_0559_0d72)]
#[case::three_hundred_overloaded(300, 6, true, true, true, Overload, 0x796e_e9ec_05f3_fa39)]
fn decisions_of_a_stream_stay_the_same(
    #[case] front_ends: u32,
    #[case] workers: usize,
    #[case] load_on_demand: bool,
    #[case] reports: bool,
    #[case] hedging: bool,
    #[case] traffic: Traffic,
    #[case] expected: u64,
) {
    let events = if traffic == Overload {
        2 * EVENTS
    } else {
        EVENTS
    };
    let scenario = Scenario {
        seed: 1,
        front_ends,
        workers,
        load_on_demand,
        reports,
        hedging,
        traffic,
        events,
    };
    let (digest, counts) = run(scenario);
    assert!(counts.exercise_the_policy(), "too few actions: {counts:?}");
    assert_eq!(
        digest.0, expected,
        "digest {:#018x} of {counts:?}",
        digest.0
    );
}
