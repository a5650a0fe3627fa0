//! Experiments on the decision policy alone: how the time spent in it, its memory and its actions scale with the
//! numbers of workers, functions, requests, front ends, endpoint list changes and zones, with the keep-alive time of
//! idle replicas, and with the time since the start. In titles and column names a call is a request, an order is a load
//! order, a question is a query whether a worker has a function loaded, and refused means rejected.
use crate::simulated_front_end::{HandlingTimes, Scenario, SimulatedFrontEnd, SEC};
use crate::{Column, Experiment, ExperimentError, Sweep};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "module-workers",
        about: "The policy of one front end against the workers listed, for two popularity distributions of the functions.",
        sizes: &[1_000, 2_000, 4_000, 7_000, 10_000],
        bound: 20_000,
        run: |sizes, seed| {
            let zipf = Scenario { popularity_exponent: 1.0, popularity_offset: 0.0, ..base(seed) };
            Ok(vec![
                sweep(RUNS, "workers", sizes, &base(seed), |s, n| s.workers = n as usize),
                sweep(RUNS, "workers, calls spread as 1/rank", sizes, &zipf, |s, n| s.workers = n as usize),
            ])
        },
    },
    Experiment {
        name: "module-functions",
        about: "The policy of one front end against the functions that clients call.",
        sizes: &[1_000, 2_000, 4_000, 8_000, 16_000],
        bound: 64_000,
        run: |sizes, seed| {
            let uniform = Scenario { popularity_exponent: 0.0, popularity_offset: 0.0, ..base(seed) };
            Ok(vec![
                sweep(RUNS, "functions", sizes, &base(seed), |s, n| s.functions = n as usize),
                sweep(RUNS, "functions, all called alike", sizes, &uniform, |s, n| s.functions = n as usize),
            ])
        },
    },
    Experiment {
        name: "module-calls",
        about: "The policy against the requests per second at its front end.",
        sizes: &[19, 38, 76, 152, 304],
        bound: 2_000,
        run: |sizes, seed| Ok(vec![sweep(RUNS, "calls/s", sizes, &base(seed), |s, n| s.requests_per_s = n as f64)]),
    },
    Experiment {
        name: "module-fleet",
        about: "The policy against the front ends that share the workers, at 152 requests per second each.",
        sizes: &[30, 100, 330, 660, 1_024],
        bound: 4_096,
        run: |sizes, seed| {
            let vary = |s: &mut Scenario, n| {
                s.front_ends = n as u32;
                s.quota_per_s = QUOTA_HEADROOM * s.requests_per_s * n as f64;
            };
            Ok(vec![sweep(RUNS, "front ends", sizes, &base(seed), vary)])
        },
    },
    Experiment {
        name: "module-changes",
        about:
            "The policy against endpoint list changes per minute: a worker leaves, at the next change a new one joins.",
        sizes: &[2, 6, 20, 60, 240],
        bound: 3_000,
        run: |sizes, seed| {
            let vary = |s: &mut Scenario, n| s.endpoint_changes_per_s = n as f64 / 60.0;
            Ok(vec![sweep(RUNS, "list changes/min", sizes, &base(seed), vary)])
        },
    },
    Experiment {
        name: "module-zones",
        about: "The policy against the number of zones that the workers are in.",
        sizes: &[1, 2, 4, 7],
        bound: 64,
        run: |sizes, seed| Ok(vec![sweep(RUNS, "zones", sizes, &base(seed), |s, n| s.zones = n as usize)]),
    },
    Experiment {
        name: "module-keep",
        about: "The policy against the seconds for which an idle replica is kept (setting `keep`).",
        sizes: &[5, 10, 20, 40],
        bound: 600,
        run: |sizes, seed| {
            let zipf = Scenario { popularity_exponent: 1.0, popularity_offset: 0.0, ..base(seed) };
            let vary = |s: &mut Scenario, n| s.keep_alive = n * SEC;
            Ok(vec![
                sweep(RUNS, "keep, s", sizes, &base(seed), vary),
                sweep(RUNS, "keep, s, calls spread as 1/rank", sizes, &zipf, vary),
            ])
        },
    },
    Experiment {
        name: "module-hour",
        about: "Memory that the policy holds after a number of minutes, with one endpoint list change every 10 s.",
        sizes: &[1, 2, 5, 10, 20, 40, 60],
        bound: 240,
        run: long_run,
    },
];

/// The base scenario, of which each experiment varies one parameter: the planned size of a deployment.
pub fn base(seed: u64) -> Scenario {
    Scenario {
        seed,
        ..Scenario::default()
    }
}

/// A one-line description of the scenario, for the title of a sweep.
pub fn describe(scenario: &Scenario) -> String {
    let absence = if scenario.load_on_demand {
        "loads"
    } else {
        "a miss"
    };
    format!(
        "{} front ends, {} workers in {} zones, {} functions by (rank + {})^-{}, {} calls/s at this one, keep {} s, {} list changes/s, absence {absence}",
        scenario.front_ends,
        scenario.workers,
        scenario.zones,
        scenario.functions,
        scenario.popularity_offset,
        scenario.popularity_exponent,
        scenario.requests_per_s,
        scenario.keep_alive / SEC,
        scenario.endpoint_changes_per_s
    )
}

/// Quota of all tenants together, as a multiple of the rate at which requests arrive.
const QUOTA_HEADROOM: f64 = 1.2;
/// Seconds measured after the warm-up where the endpoint list does not change.
const MEASURED_S: u64 = 20;
/// Seconds measured after the warm-up where the endpoint list changes: more than without, as changes are infrequent.
const MEASURED_WITH_CHANGES_S: u64 = 120;
/// Runs of each scenario, of which the one with the median time per request is reported.
const RUNS: usize = 3;
/// Endpoint list changes per second in the `module-hour` experiment.
const LONG_RUN_CHANGES_PER_S: f64 = 0.1;

/// The columns of a table: first the figures that are the same in every run, then the measured times.
pub(crate) fn columns(exact: &[&'static str], measured: &[&'static str]) -> Vec<Column> {
    let column = |exact| move |&name: &&'static str| Column { name, exact };
    exact
        .iter()
        .map(column(true))
        .chain(measured.iter().map(column(false)))
        .collect()
}

/// Varies one parameter of a scenario. Each row has the figures of the run with the median time, of `runs` runs (at
/// least one).
pub fn sweep(
    runs: usize,
    varied: &'static str,
    sizes: &[u64],
    base_scenario: &Scenario,
    vary: impl Fn(&mut Scenario, u64),
) -> Sweep {
    let row = |&size: &u64| {
        let mut scenario = base_scenario.clone();
        vary(&mut scenario, size);
        (size, median_row(runs, &scenario))
    };
    Sweep {
        title: format!("{varied}: {}", describe(base_scenario)),
        varied,
        columns: columns(
            &[
                "MB held",
                "allocations/call",
                "KB allocated/call",
                "functions met",
                "orders/s",
                "questions/s",
                "refused or failed/s",
            ],
            &["us/call", "least", "most", "timers, us/s"],
        ),
        rows: sizes.iter().map(row).collect(),
    }
}

/// The figures of the run with the median time per request, and the shortest and longest time of all runs.
fn median_row(runs: usize, scenario: &Scenario) -> Vec<f64> {
    let mut results: Vec<SteadyState> = (0..runs.max(1))
        .map(|_| measure_steady_state(scenario))
        .collect();
    results.sort_by(|a, b| a.us_per_request.total_cmp(&b.us_per_request));
    let least = results[0].us_per_request;
    let most = results[results.len() - 1].us_per_request;
    let median = &results[results.len() / 2];
    let exact = &median.exact;
    vec![
        exact.held_mb,
        exact.allocations_per_request,
        exact.allocated_kb_per_request,
        exact.functions_called,
        exact.load_orders_per_s,
        exact.queries_per_s,
        exact.not_served_per_s,
        median.us_per_request,
        least,
        most,
        median.timer_us_per_s,
    ]
}

/// Figures that are the same in every run of a scenario and seed.
#[derive(Clone, Debug, PartialEq)]
pub struct ExactFigures {
    /// Heap memory that the policy holds at the end, in megabytes.
    pub held_mb: f64,
    /// Heap allocations within the policy per request.
    pub allocations_per_request: f64,
    /// Kilobytes allocated within the policy per request.
    pub allocated_kb_per_request: f64,
    /// Distinct functions called since the start.
    pub functions_called: f64,
    /// Load orders sent per second.
    pub load_orders_per_s: f64,
    /// Queries whether a worker has a function loaded, sent per second.
    pub queries_per_s: f64,
    /// Requests rejected or failed per second.
    pub not_served_per_s: f64,
}

/// What one run measured after the warm-up.
#[derive(Clone, Debug)]
pub struct SteadyState {
    /// Counts and bytes, the same in every run.
    pub exact: ExactFigures,
    /// Time within the policy per request, in microseconds.
    pub us_per_request: f64,
    /// Time within the policy's timer handling per second, in microseconds.
    pub timer_us_per_s: f64,
}

/// Runs a scenario until the policy is in steady state (four keep-alive times and a second), then measures.
pub fn measure_steady_state(scenario: &Scenario) -> SteadyState {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    front_end.run(4 * scenario.keep_alive + SEC);
    let before = front_end.counts.clone();
    front_end.handling_times = HandlingTimes::default();
    let seconds = if scenario.endpoint_changes_per_s > 0.0 {
        MEASURED_WITH_CHANGES_S
    } else {
        MEASURED_S
    };
    front_end.run(seconds * SEC);
    let counts = &front_end.counts;
    let times = &front_end.handling_times;
    let requests = (counts.requests - before.requests).max(1) as f64;
    let per_request = |now: u64, then: u64| (now - then) as f64 / requests;
    let per_second = |now: u64, then: u64| (now - then) as f64 / seconds as f64;
    let allocated_per_request = per_request(counts.allocated_bytes, before.allocated_bytes);
    SteadyState {
        exact: ExactFigures {
            held_mb: counts.held_bytes as f64 / 1e6,
            allocations_per_request: per_request(counts.allocations, before.allocations),
            allocated_kb_per_request: allocated_per_request / 1e3,
            functions_called: front_end.functions_called() as f64,
            load_orders_per_s: per_second(counts.load_orders, before.load_orders),
            queries_per_s: per_second(counts.queries, before.queries),
            not_served_per_s: per_second(counts.not_served(), before.not_served()),
        },
        us_per_request: times.total() as f64 / 1e3 / requests,
        timer_us_per_s: times.timers as f64 / 1e3 / seconds as f64,
    }
}

fn long_run(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let base = Scenario {
        endpoint_changes_per_s: LONG_RUN_CHANGES_PER_S,
        ..base(seed)
    };
    let zipf = Scenario {
        popularity_exponent: 1.0,
        popularity_offset: 0.0,
        ..base
    };
    Ok(vec![
        long_run_sweep(sizes, &base),
        long_run_sweep(sizes, &zipf),
    ])
}

/// Runs one front end and measures it after each of these numbers of minutes. Figures per request and per second are
/// over the time since the row before.
fn long_run_sweep(minutes: &[u64], scenario: &Scenario) -> Sweep {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    let mut elapsed_minutes = 0;
    let mut rows = Vec::new();
    for &minute in minutes {
        let before = front_end.counts.clone();
        front_end.handling_times = HandlingTimes::default();
        let seconds = (minute - elapsed_minutes) * 60;
        front_end.run(seconds * SEC);
        elapsed_minutes = minute;
        let counts = &front_end.counts;
        let requests = (counts.requests - before.requests).max(1) as f64;
        let allocated_kb = (counts.allocated_bytes - before.allocated_bytes) as f64 / 1e3;
        let load_orders = (counts.load_orders - before.load_orders) as f64;
        let row = vec![
            counts.held_bytes as f64 / 1e6,
            front_end.functions_called() as f64,
            allocated_kb / requests,
            load_orders / seconds as f64,
            front_end.handling_times.total() as f64 / 1e3 / requests,
        ];
        rows.push((minute, row));
    }
    Sweep {
        title: format!("minutes: {}", describe(scenario)),
        varied: "minutes",
        columns: columns(
            &["MB held", "functions met", "KB allocated/call", "orders/s"],
            &["us/call"],
        ),
        rows,
    }
}
