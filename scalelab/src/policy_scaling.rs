//! The decision policy alone: processor time, memory and actions against workers, functions, requests, front ends,
//! endpoint list changes, zones and the keep-alive time of idle replicas.
use crate::simulated_front_end::{HandlingTimes, Scenario, SimulatedFrontEnd, SEC};
use crate::{Column, Experiment, ExperimentError, Sweep};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "module-workers",
        about: "The module at one front end against the workers listed, for two popularities of functions.",
        sizes: &[1_000, 2_000, 4_000, 7_000, 10_000],
        bound: 20_000,
        run: |sizes, seed| {
            let heavy = Scenario { popularity_exponent: 1.0, popularity_offset: 0.0, ..base(seed) };
            Ok(vec![
                sweep(PLAYS, "workers", sizes, &base(seed), |s, n| s.workers = n as usize),
                sweep(PLAYS, "workers, calls spread as 1/rank", sizes, &heavy, |s, n| s.workers = n as usize),
            ])
        },
    },
    Experiment {
        name: "module-functions",
        about: "The module at one front end against the functions that clients call.",
        sizes: &[1_000, 2_000, 4_000, 8_000, 16_000],
        bound: 64_000,
        run: |sizes, seed| {
            let even = Scenario { popularity_exponent: 0.0, popularity_offset: 0.0, ..base(seed) };
            Ok(vec![
                sweep(PLAYS, "functions", sizes, &base(seed), |s, n| s.functions = n as usize),
                sweep(PLAYS, "functions, all called alike", sizes, &even, |s, n| s.functions = n as usize),
            ])
        },
    },
    Experiment {
        name: "module-calls",
        about: "The module against the calls a second of its front end.",
        sizes: &[19, 38, 76, 152, 304],
        bound: 2_000,
        run: |sizes, seed| Ok(vec![sweep(PLAYS, "calls/s", sizes, &base(seed), |s, n| s.requests_per_s = n as f64)]),
    },
    Experiment {
        name: "module-fleet",
        about: "The module against the front ends that share the workers, 152 calls a second each.",
        sizes: &[30, 100, 330, 660, 1_024],
        bound: 4_096,
        run: |sizes, seed| {
            let vary = |s: &mut Scenario, n| {
                s.front_ends = n as u32;
                s.quota_per_s = QUOTA_HEADROOM * s.requests_per_s * n as f64;
            };
            Ok(vec![sweep(PLAYS, "front ends", sizes, &base(seed), vary)])
        },
    },
    Experiment {
        name: "module-changes",
        about:
            "The module against changes of the list a minute: a worker goes, the next time a new one comes.",
        sizes: &[2, 6, 20, 60, 240],
        bound: 3_000,
        run: |sizes, seed| {
            let vary = |s: &mut Scenario, n| s.endpoint_changes_per_s = n as f64 / 60.0;
            Ok(vec![sweep(PLAYS, "list changes/min", sizes, &base(seed), vary)])
        },
    },
    Experiment {
        name: "module-zones",
        about: "The module against the zones that its workers stand in.",
        sizes: &[1, 2, 4, 7],
        bound: 64,
        run: |sizes, seed| Ok(vec![sweep(PLAYS, "zones", sizes, &base(seed), |s, n| s.zones = n as usize)]),
    },
    Experiment {
        name: "module-keep",
        about: "The module against the seconds for which an idle copy is kept (`keep`).",
        sizes: &[5, 10, 20, 40],
        bound: 600,
        run: |sizes, seed| {
            let heavy = Scenario { popularity_exponent: 1.0, popularity_offset: 0.0, ..base(seed) };
            let vary = |s: &mut Scenario, n| s.keep_alive = n * SEC;
            Ok(vec![
                sweep(PLAYS, "keep, s", sizes, &base(seed), vary),
                sweep(PLAYS, "keep, s, calls spread as 1/rank", sizes, &heavy, vary),
            ])
        },
    },
    Experiment {
        name: "module-hour",
        about: "What the module holds after so many minutes, with 1 list change in 10 s.",
        sizes: &[1, 2, 5, 10, 20, 40, 60],
        bound: 240,
        run: hour,
    },
];

/// What is held while one thing is varied: the size to plan with.
pub fn base(seed: u64) -> Scenario {
    Scenario {
        seed,
        ..Scenario::default()
    }
}

/// The scenario in words, for a title.
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

/// Quota of the tenants, as a multiple of the requests that come.
const QUOTA_HEADROOM: f64 = 1.2;
/// Seconds that are measured once what is forgotten has come to its level.
const MEASURED_S: u64 = 20;
/// The same where the endpoint list changes, as changes are seldom.
const MEASURED_WITH_CHANGES_S: u64 = 120;
/// Plays of one scenario: times are their median.
const PLAYS: usize = 3;
/// Endpoint list changes a second in the experiment over an hour.
const HOUR_CHANGES_PER_S: f64 = 0.1;

/// Columns of exact figures, then of measured ones.
pub(crate) fn columns(exact: &[&'static str], measured: &[&'static str]) -> Vec<Column> {
    let column = |exact| move |&name: &&'static str| Column { name, exact };
    exact
        .iter()
        .map(column(true))
        .chain(measured.iter().map(column(false)))
        .collect()
}

/// Varies one thing of a scenario; times are the median of this many plays, one at the least.
pub fn sweep(
    plays: usize,
    what: &'static str,
    sizes: &[u64],
    held: &Scenario,
    vary: impl Fn(&mut Scenario, u64),
) -> Sweep {
    let row = |&size: &u64| {
        let mut scenario = held.clone();
        vary(&mut scenario, size);
        (size, median_row(plays, &scenario))
    };
    Sweep {
        title: format!("{what}: {}", describe(held)),
        varied: what,
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

/// The figures of the play with the median time, beside the least and the most time.
fn median_row(plays: usize, scenario: &Scenario) -> Vec<f64> {
    let mut results: Vec<SteadyState> = (0..plays.max(1)).map(|_| play(scenario)).collect();
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
    /// Megabytes that the policy holds at the end.
    pub held_mb: f64,
    /// Heap allocations for each request.
    pub allocations_per_request: f64,
    /// Kilobytes allocated for each request.
    pub allocated_kb_per_request: f64,
    /// Functions called since the start.
    pub functions_called: f64,
    /// Load orders a second.
    pub load_orders_per_s: f64,
    /// Queries a second.
    pub queries_per_s: f64,
    /// Requests rejected or failed a second.
    pub not_served_per_s: f64,
}

/// What a play measured once the policy's state had come to its level.
#[derive(Clone, Debug)]
pub struct SteadyState {
    /// Counts and bytes.
    pub exact: ExactFigures,
    /// Microseconds within the policy for each request.
    pub us_per_request: f64,
    /// Microseconds within the policy's timers a second.
    pub timer_us_per_s: f64,
}

/// Plays a scenario until the policy's state has come to its level, then measures.
pub fn play(scenario: &Scenario) -> SteadyState {
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

fn hour(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let base = Scenario {
        endpoint_changes_per_s: HOUR_CHANGES_PER_S,
        ..base(seed)
    };
    let by_rank = Scenario {
        popularity_exponent: 1.0,
        popularity_offset: 0.0,
        ..base
    };
    Ok(vec![
        over_minutes(sizes, &base),
        over_minutes(sizes, &by_rank),
    ])
}

/// One front end, measured after each of these minutes; what is counted for a request and a second is since the row
/// before.
fn over_minutes(minutes: &[u64], scenario: &Scenario) -> Sweep {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    let mut played = 0;
    let mut rows = Vec::new();
    for &minute in minutes {
        let before = front_end.counts.clone();
        front_end.handling_times = HandlingTimes::default();
        let seconds = (minute - played) * 60;
        front_end.run(seconds * SEC);
        played = minute;
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
