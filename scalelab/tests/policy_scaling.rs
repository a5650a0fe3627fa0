//! The counts and bytes of the module's scale tests at small sizes: the same every run, and no steeper than they are now.
use rstest::rstest;
use scalelab::policy_scaling::{play, sweep};
use scalelab::simulated_front_end::{Scenario, SimulatedFrontEnd, SEC};
use scalelab::{disruptions, policy_scaling, slow_start_senders, ExperimentError, Sweep};

/// Small enough for seconds without optimisation.
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
        .expect("an exact column of this name")
}

#[rstest]
#[case::where_workers_load(Scenario { load_on_demand: true, ..small() })]
#[case::where_only_orders_load(Scenario { load_on_demand: false, ..small() })]
#[case::with_list_changes(Scenario { endpoint_changes_per_s: 2.0, ..small() })]
fn counts_and_bytes_are_the_same_every_run(#[case] scenario: Scenario) {
    assert_eq!(play(&scenario).exact, play(&scenario).exact);
    let other = Scenario {
        seed: 2,
        ..scenario
    };
    assert_ne!(
        play(&scenario).exact,
        play(&other).exact,
        "another seed, other calls"
    );
}

/// The slopes of this day and a tenth more: a build may be flatter, not steeper.
#[rstest]
#[case::held_by_workers("MB held", 0.00147, |s: &mut Scenario, n| s.workers = n as usize, &[100, 200, 400, 800])]
#[case::allocated_by_workers("KB allocated/call", 0.0356, |s: &mut Scenario, n| s.workers = n as usize, &[100, 200, 400, 800])]
#[case::held_by_functions("MB held", 1.32e-4, |s: &mut Scenario, n| s.functions = n as usize, &[100, 200, 400, 800])]
#[case::allocated_by_fleet("KB allocated/call", 0.001, |s: &mut Scenario, n| s.front_ends = n as u32, &[30, 100, 330, 660])]
#[case::allocated_by_changes("KB allocated/call", 0.302, |s: &mut Scenario, n| s.endpoint_changes_per_s = n as f64, &[1, 2, 4, 8])]
#[case::allocated_by_zones("KB allocated/call", 0.05, |s: &mut Scenario, n| s.zones = n as usize, &[1, 2, 4, 7])]
#[case::held_by_keep("MB held", 0.0632, |s: &mut Scenario, n| s.keep_alive = n * SEC, &[1, 2, 4, 8])]
fn slopes_are_no_steeper_than_they_were(
    #[case] figure: &str,
    #[case] most: f64,
    #[case] vary: fn(&mut Scenario, u64),
    #[case] sizes: &[u64],
) {
    let table = sweep(1, "size", sizes, &small(), vary);
    let fit = table.fit(column(&table, figure)).expect("four sizes");
    assert!(fit.slope <= most, "{figure}: {fit:?}\n{}", table.markdown());
}

/// What a front end that has just started asks for, and the whole of what all of them send to a cold worker.
#[test]
fn attempts_at_a_warming_worker_do_not_grow_with_the_front_ends() {
    let pressed = slow_start_senders::EXPERIMENTS
        .iter()
        .find(|e| e.name == "seats-pressed")
        .expect("an experiment");
    let tables = (pressed.run)(&[2, 4, 8, 16], 1).expect("runs");
    let most = tables[0].points(column(&tables[0], "most, as part of the rule"));
    assert!(most.iter().all(|p| p.1 > 0.0 && p.1 <= 1.0), "{most:?}");
}

#[test]
fn a_simulated_front_end_loses_no_request() {
    let mut front = SimulatedFrontEnd::new(&small());
    front.run(30 * SEC);
    let c = &front.counts;
    assert!(c.requests > 400 && c.rejected + c.failed == 0, "{c:?}");
    assert!(
        c.attempts >= c.requests && c.attempts < c.requests + 20,
        "{c:?}"
    );
    assert!(c.held_bytes > 0 && c.allocations > c.requests, "{c:?}");
}

#[test]
fn a_size_beyond_the_bound_is_reported_and_ends_the_run() {
    let all = policy_scaling::EXPERIMENTS
        .iter()
        .chain(slow_start_senders::EXPERIMENTS)
        .chain(disruptions::EXPERIMENTS);
    for e in all {
        let (asked, bound) = (e.bound + 1, e.bound);
        assert_eq!(
            e.sizes(&[1, 2, 3, asked]),
            Err(ExperimentError::SizeOutOfBounds { asked, bound }),
            "{}",
            e.name
        );
        assert_eq!(e.sizes(&[]).map(|s| s.len() >= 4), Ok(true), "{}", e.name);
    }
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(["run", "module-workers", "--sizes", "1000,2000,4000,20001"])
        .output()
        .expect("runs");
    assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0));
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(
        said.contains("size 20001 is not within 1 to 20000"),
        "{said}"
    );
}
