//! The policy's scale experiments at small sizes: counts and bytes are the same in every run, and no figure grows more
//! steeply with the size than its limit.
use rstest::rstest;
use scalelab::policy_scaling::{measure_steady_state, sweep};
use scalelab::simulated_front_end::{Scenario, SimulatedFrontEnd, SEC};
use scalelab::{disruptions, policy_scaling, slow_start_senders, ExperimentError, Sweep};

/// A scenario small enough to run in seconds in a build without optimisation.
fn small() -> Scenario {
    Scenario {
        workers: 200,
        functions: 300,
        requests_per_s: 20.0,
        keep_alive: 2 * SEC,
        ..Scenario::default()
    }
}

fn column(sweep: &Sweep, name: &str) -> usize {
    sweep
        .columns
        .iter()
        .position(|c| c.name == name && c.exact)
        .expect("an exact column with this name")
}

#[rstest]
#[case::where_workers_load(Scenario { load_on_demand: true, ..small() })]
#[case::where_only_orders_load(Scenario { load_on_demand: false, ..small() })]
#[case::with_list_changes(Scenario { endpoint_changes_per_s: 2.0, ..small() })]
fn counts_and_bytes_are_the_same_every_run(#[case] scenario: Scenario) {
    assert_eq!(
        measure_steady_state(&scenario).exact,
        measure_steady_state(&scenario).exact
    );
    let other = Scenario {
        seed: 2,
        ..scenario
    };
    assert_ne!(
        measure_steady_state(&scenario).exact,
        measure_steady_state(&other).exact,
        "another seed gives other requests"
    );
}

/// Each limit has a margin of a tenth over the present slope: a change may make a slope flatter, but not steeper than
/// its limit.
#[rstest]
#[case::held_by_workers("MB held", 0.00147, |s: &mut Scenario, n| s.workers = n as usize, &[100, 200, 400, 800])]
#[case::allocated_by_workers("KB allocated/call", 0.0356, |s: &mut Scenario, n| s.workers = n as usize, &[100, 200, 400, 800])]
#[case::held_by_functions("MB held", 1.32e-4, |s: &mut Scenario, n| s.functions = n as usize, &[100, 200, 400, 800])]
#[case::allocated_by_fleet("KB allocated/call", 0.001, |s: &mut Scenario, n| s.front_ends = n as u32, &[30, 100, 330, 660])]
#[case::allocated_by_changes("KB allocated/call", 0.302, |s: &mut Scenario, n| s.endpoint_changes_per_s = n as f64, &[1, 2, 4, 8])]
#[case::allocated_by_zones("KB allocated/call", 0.05, |s: &mut Scenario, n| s.zones = n as usize, &[1, 2, 4, 7])]
#[case::held_by_keep("MB held", 0.0632, |s: &mut Scenario, n| s.keep_alive = n * SEC, &[1, 2, 4, 8])]
fn slopes_are_within_their_limits(
    #[case] figure: &str,
    #[case] max_slope: f64,
    #[case] vary: fn(&mut Scenario, u64),
    #[case] sizes: &[u64],
) {
    let table = sweep(1, "size", sizes, &small(), vary);
    let fit = table.fit(column(&table, figure)).expect("four sizes");
    assert!(
        fit.slope <= max_slope,
        "{figure}: {fit:?}\n{}",
        table.markdown()
    );
}

/// The front ends share no state about a worker in slow start, but together, however many they are, they must not send
/// it more than slow start allows.
#[test]
fn attempts_of_all_front_ends_stay_within_slow_start() {
    let experiment = slow_start_senders::EXPERIMENTS
        .iter()
        .find(|e| e.name == "seats-pressed")
        .expect("the experiment exists");
    let tables = (experiment.run)(&[2, 4, 8, 16], 1).expect("the experiment runs");
    let ratios = tables[0].points(column(&tables[0], "most, as part of the rule"));
    assert!(ratios.iter().all(|p| p.1 > 0.0 && p.1 <= 1.0), "{ratios:?}");
}

#[test]
fn a_simulated_front_end_loses_no_request() {
    let mut front_end = SimulatedFrontEnd::new(&small());
    front_end.run(30 * SEC);
    let counts = &front_end.counts;
    assert!(
        counts.requests > 400 && counts.rejected + counts.failed == 0,
        "{counts:?}"
    );
    assert!(
        counts.attempts >= counts.requests && counts.attempts < counts.requests + 20,
        "{counts:?}"
    );
    assert!(
        counts.held_bytes > 0 && counts.allocations > counts.requests,
        "{counts:?}"
    );
}

#[test]
fn a_size_beyond_the_bound_is_reported_and_ends_the_run() {
    let experiments = policy_scaling::EXPERIMENTS
        .iter()
        .chain(slow_start_senders::EXPERIMENTS)
        .chain(disruptions::EXPERIMENTS);
    for experiment in experiments {
        let (asked, bound) = (experiment.bound + 1, experiment.bound);
        assert_eq!(
            experiment.sizes(&[1, 2, 3, asked]),
            Err(ExperimentError::SizeOutOfBounds { asked, bound }),
            "{}",
            experiment.name
        );
        assert_eq!(
            experiment.sizes(&[]).map(|s| s.len() >= 4),
            Ok(true),
            "{}",
            experiment.name
        );
    }
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(["run", "module-workers", "--sizes", "1000,2000,4000,20001"])
        .output()
        .expect("scalelab starts");
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr
            .contains("size 20001 is out of range: this experiment runs at sizes from 1 to 20000"),
        "{stderr}"
    );
}
