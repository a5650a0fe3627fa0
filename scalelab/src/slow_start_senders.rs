//! Experiments on slow start and the load budget: how much many front ends that share no state send together to workers
//! in slow start, and how a front end that has just started serves the first request for each function. Titles and
//! column names have the same words as those of [`crate::policy_scaling`].
use crate::disruptions::first_zone;
use crate::policy_scaling::{base, columns, describe};
use crate::simulated_front_end::{
    FunctionPopularity, Scenario, SentMessage, SimulatedFrontEnd, MS, SEC, START_TIME,
};
use crate::{Experiment, Sweep};
use std::rc::Rc;
use wrenseam_policy::{Micros, WorkerState};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "seats-pressed",
        about: "Front ends of one worker in slow start, each with far more requests than the worker can serve.",
        sizes: &[30, 100, 300, 660, 1_024],
        bound: 1_024,
        run: |sizes, seed| Ok(vec![overloaded_worker(sizes, seed)]),
    },
    Experiment {
        name: "seats-zone",
        about: "Front ends of 98 workers, with 10 requests/s per worker over all front ends; a seventh of the workers restart with nothing loaded.",
        sizes: &[30, 100, 300, 660, 1_024],
        bound: 1_024,
        run: |sizes, seed| Ok(vec![restarted_zone(sizes, seed)]),
    },
    Experiment {
        name: "ration",
        about: "First requests per function at a front end that has just started, where workers do not load on demand and only load orders do, against its requests per second.",
        sizes: &[10, 19, 38, 76, 152, 304],
        bound: 1_000,
        run: |sizes, seed| {
            let miss = Scenario { load_on_demand: false, workers: 2_000, ..base(seed) };
            let uniform = Scenario { popularity_exponent: 0.0, popularity_offset: 0.0, ..miss };
            let nothing_loaded = Scenario { other_replicas_loaded: false, ..uniform };
            let vary = |s: &mut Scenario, n| s.requests_per_s = n as f64;
            Ok(vec![
                first_requests("calls/s", sizes, &miss, vary, RATE_RUN),
                first_requests("calls/s, all functions called alike", sizes, &uniform, vary, RATE_RUN),
                first_requests("calls/s, all called alike and nothing stands anywhere", sizes, &nothing_loaded, vary, RATE_RUN),
            ])
        },
    },
    Experiment {
        name: "cold-start",
        about: "Time until the served attempt of a function's first request, where workers load on demand and where only load orders do, against the load time in ms.",
        sizes: &[55, 110, 220, 440],
        bound: 4_000,
        run: |sizes, seed| {
            let load_orders_only = Scenario {
                load_on_demand: false,
                other_replicas_loaded: false,
                workers: 2_000,
                requests_per_s: 0.5,
                popularity_exponent: 0.0,
                popularity_offset: 0.0,
                ..base(seed)
            };
            let on_demand = Scenario { load_on_demand: true, ..load_orders_only };
            let vary = |s: &mut Scenario, n| s.load_time = n * MS;
            Ok(vec![
                first_requests("load, ms", sizes, &on_demand, vary, REACHABLE_RUN),
                first_requests("load, ms; one of seven zones is silent", sizes, &on_demand, vary, SILENT_ZONE_RUN),
                first_requests("load, ms", sizes, &load_orders_only, vary, REACHABLE_RUN),
                first_requests("load, ms; one of seven zones is silent", sizes, &load_orders_only, vary, SILENT_ZONE_RUN),
            ])
        },
    },
];

/// Requests per second that a warm worker can serve, and that the tenants' quotas allow for each worker.
const CAPACITY_PER_S: f64 = 12.0;
/// Seconds simulated after the workers' start or restart.
const SIMULATED_S: u64 = 30;
/// Seconds before the rate of attempts at the zone's warm workers is measured.
const WARM_UP_S: u64 = 20;
/// Seconds over which that rate is measured, before the zone restarts.
const BASELINE_S: u64 = 10;
/// Fraction of the rate of a warm worker at which a restarted worker counts as warm.
const WARM_RATE: f64 = 0.9;
/// Workers in all zones, where one zone restarts.
const ZONED_WORKERS: usize = 98;
/// Requests per second: of each front end in `seats-pressed`, and for each worker over all front ends in `seats-zone`.
const REQUESTS_PER_S: f64 = 10.0;

/// How a run that measures first requests is set up.
#[derive(Clone, Copy)]
struct FirstRequestRun {
    /// Length of the run.
    seconds: u64,
    /// Whether one zone cannot be reached.
    silent_zone: bool,
}

/// The runs of `ration`.
const RATE_RUN: FirstRequestRun = FirstRequestRun {
    seconds: 60,
    silent_zone: false,
};
/// The runs of `cold-start` in which all workers can be reached.
const REACHABLE_RUN: FirstRequestRun = FirstRequestRun {
    seconds: 1_200,
    silent_zone: false,
};
/// The runs of `cold-start` in which one zone cannot be reached.
const SILENT_ZONE_RUN: FirstRequestRun = FirstRequestRun {
    silent_zone: true,
    ..REACHABLE_RUN
};

/// Times of all attempts that the front ends' logs have for these workers, sorted, in microseconds after `started`.
/// Takes the logs.
fn attempt_times(
    front_ends: &mut [SimulatedFrontEnd],
    workers: &[usize],
    started: Micros,
) -> Vec<Micros> {
    let logs = front_ends
        .iter_mut()
        .filter_map(|front_end| front_end.sent_log.take());
    let mut times: Vec<Micros> = logs
        .flatten()
        .filter(|sent| sent.message == SentMessage::Attempt && workers.contains(&sent.worker))
        .map(|sent| sent.at - started)
        .collect();
    times.sort_unstable();
    times
}

/// The highest ratio, over all overload windows within slow start, of the attempts in the window to the attempts that
/// slow start allows at the window's end.
fn worst_window(scenario: &Scenario, times: &[Micros]) -> f64 {
    let settings = scenario.settings();
    let window_s = settings.overload_window as f64 / SEC as f64;
    let mut window_begin = 0;
    let mut worst = 0.0f64;
    for (position, &time) in times.iter().enumerate() {
        if time >= settings.slow_start_duration {
            break;
        }
        while times[window_begin] + settings.overload_window <= time {
            window_begin += 1;
        }
        let progress = time as f64 / settings.slow_start_duration as f64;
        let share = settings.slow_start_initial_share
            + (1.0 - settings.slow_start_initial_share) * progress;
        let allowed = settings.overload_multiple * share * CAPACITY_PER_S * window_s;
        worst = worst.max((position - window_begin + 1) as f64 / allowed);
    }
    worst
}

/// Seconds until the attempts of two consecutive seconds first reach this rate (per second); [`SIMULATED_S`] if they
/// never do.
fn seconds_until(times: &[Micros], rate: f64) -> f64 {
    let reached = |second: &u64| {
        let span = second * SEC..(second + 2) * SEC;
        let attempts = times.iter().filter(|&time| span.contains(time)).count();
        attempts as f64 >= 2.0 * rate
    };
    (0..SIMULATED_S - 1).find(reached).unwrap_or(SIMULATED_S) as f64
}

fn start_front_ends(scenario: &Scenario) -> Vec<SimulatedFrontEnd> {
    let popularity = Rc::new(FunctionPopularity::new(scenario));
    (0..scenario.front_ends)
        .map(|index| SimulatedFrontEnd::with_index(scenario, &popularity, index, START_TIME))
        .collect()
}

fn overloaded_worker(sizes: &[u64], seed: u64) -> Sweep {
    Sweep {
        title: format!(
            "seats: one cold worker that can do {CAPACITY_PER_S} calls/s when warm, 10 calls/s from each front end"
        ),
        varied: "front ends",
        columns: columns(
            &[
                "most, as part of the rule",
                "mean of 12 s, as part of warm",
                "s until 90% of warm",
            ],
            &[],
        ),
        rows: sizes.iter().map(|&size| (size, overloaded_worker_row(size, seed))).collect(),
    }
}

/// One worker that has just started and gets far more requests than it can serve.
fn overloaded_worker_row(front_ends: u64, seed: u64) -> Vec<f64> {
    let scenario = Scenario {
        front_ends: front_ends as u32,
        workers: 1,
        functions: 160,
        requests_per_s: REQUESTS_PER_S,
        quota_per_s: CAPACITY_PER_S,
        ..base(seed)
    };
    let mut front_ends = start_front_ends(&scenario);
    for front_end in &mut front_ends {
        front_end.update_endpoints(false, &[0], WorkerState::Ready, START_TIME);
        front_end.sent_log = Some(Vec::new());
        front_end.run(SIMULATED_S * SEC);
    }
    let times = attempt_times(&mut front_ends, &[0], START_TIME);
    let slow_start = scenario.settings().slow_start_duration;
    let attempts = times.iter().filter(|&&time| time < slow_start).count() as f64;
    let mean_rate = attempts / (slow_start / SEC) as f64 / CAPACITY_PER_S;
    vec![
        worst_window(&scenario, &times),
        mean_rate,
        seconds_until(&times, WARM_RATE * CAPACITY_PER_S),
    ]
}

fn restarted_zone(sizes: &[u64], seed: u64) -> Sweep {
    Sweep {
        title: "seats: 14 of 98 workers come back cold, 10 calls/s a worker over all front ends, warm within 12 s".into(),
        varied: "front ends",
        columns: columns(
            &[
                "calls/s to the 14 before",
                "part of it, 0 to 12 s",
                "part of it, 12 to 30 s",
                "s until 90% of it",
                "refused",
            ],
            &[],
        ),
        rows: sizes.iter().map(|&size| (size, restarted_zone_row(size, seed))).collect(),
    }
}

/// The workers of one zone restart with nothing loaded.
fn restarted_zone_row(front_ends: u64, seed: u64) -> Vec<f64> {
    let scenario = Scenario {
        front_ends: front_ends as u32,
        workers: ZONED_WORKERS,
        functions: 160,
        popularity_offset: 20.0,
        requests_per_s: REQUESTS_PER_S * ZONED_WORKERS as f64 / front_ends as f64,
        quota_per_s: CAPACITY_PER_S * ZONED_WORKERS as f64,
        ..base(seed)
    };
    let zone = first_zone(&scenario);
    let mut front_ends = start_front_ends(&scenario);
    for front_end in &mut front_ends {
        front_end.run(WARM_UP_S * SEC);
        front_end.sent_log = Some(Vec::new());
        front_end.run(BASELINE_S * SEC);
    }
    let baseline_attempts = attempt_times(&mut front_ends, &zone, START_TIME + WARM_UP_S * SEC);
    let baseline_rate = baseline_attempts.len() as f64 / BASELINE_S as f64;
    let started = START_TIME + (WARM_UP_S + BASELINE_S) * SEC;
    let mut not_served = 0;
    for front_end in &mut front_ends {
        not_served += restart_zone(front_end, &zone, started);
    }
    let times = attempt_times(&mut front_ends, &zone, started);
    let slow_start = scenario.settings().slow_start_duration;
    let slow_start_s = slow_start / SEC;
    let in_slow_start = times.iter().filter(|&&time| time < slow_start).count();
    let slow_start_rate = in_slow_start as f64 / slow_start_s as f64;
    let later_rate = (times.len() - in_slow_start) as f64 / (SIMULATED_S - slow_start_s) as f64;
    vec![
        baseline_rate,
        slow_start_rate / baseline_rate,
        later_rate / baseline_rate,
        seconds_until(&times, WARM_RATE * baseline_rate),
        not_served as f64,
    ]
}

/// Restarts the zone's workers and runs on. Returns the number of requests rejected or failed from then on.
fn restart_zone(front_end: &mut SimulatedFrontEnd, zone: &[usize], started: Micros) -> u64 {
    front_end.disconnect_workers(zone);
    front_end.reconnect_workers(zone);
    front_end.update_endpoints(false, zone, WorkerState::Ready, started);
    front_end.sent_log = Some(Vec::new());
    let before = front_end.counts.not_served();
    front_end.run(SIMULATED_S * SEC);
    front_end.counts.not_served() - before
}

/// Measures the first requests per function of a front end that has just started, varying one parameter.
fn first_requests(
    varied: &'static str,
    sizes: &[u64],
    base_scenario: &Scenario,
    vary: impl Fn(&mut Scenario, u64),
    run: FirstRequestRun,
) -> Sweep {
    let row = |&size: &u64| {
        let mut scenario = base_scenario.clone();
        vary(&mut scenario, size);
        (size, first_requests_row(&scenario, run))
    };
    Sweep {
        title: format!(
            "{varied}, the first {seconds} s: {}",
            describe(base_scenario),
            seconds = run.seconds
        ),
        varied,
        columns: columns(
            &[
                "first calls",
                "% of them refused",
                "% of all refused",
                "questions/first call",
                "orders/s",
                "ms to its attempt, median",
                "ms, 99 of 100",
            ],
            &[],
        ),
        rows: sizes.iter().map(row).collect(),
    }
}

fn first_requests_row(scenario: &Scenario, run: FirstRequestRun) -> Vec<f64> {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    if run.silent_zone {
        front_end.disconnect_workers(&first_zone(scenario));
    }
    front_end.run(run.seconds * SEC);
    front_end.first_waits.sort_unstable();
    let waits = &front_end.first_waits;
    let wait_ms = |part: f64| {
        let position = (waits.len() as f64 * part) as usize;
        waits.get(position).map_or(0.0, |&wait| wait as f64 / 1e3)
    };
    let counts = &front_end.counts;
    let first = counts.first_requests.max(1) as f64;
    vec![
        counts.first_requests as f64,
        100.0 * counts.first_rejected as f64 / first,
        100.0 * counts.rejected as f64 / counts.requests.max(1) as f64,
        counts.queries as f64 / first,
        counts.load_orders as f64 / run.seconds as f64,
        wait_ms(0.5),
        wait_ms(0.99),
    ]
}
