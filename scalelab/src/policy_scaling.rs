//! The decision module alone: processor time, memory and actions against workers, functions, calls, front ends, list
//! changes, zones and the time that idle copies are kept.
use crate::simulated_front_end::{HandlingTimes, PolicyCounts, Scenario, SimulatedFrontEnd, SEC};
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
            let scenario = |s: &mut Scenario, n| {
                (s.front_ends, s.quota_per_s) = (n as u32, 1.2 * s.requests_per_s * n as f64);
            };
            Ok(vec![sweep(PLAYS, "front ends", sizes, &base(seed), scenario)])
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
pub fn describe(s: &Scenario) -> String {
    let absence = if s.load_on_demand { "loads" } else { "a miss" };
    format!(
        "{} front ends, {} workers in {} zones, {} functions by (rank + {})^-{}, {} calls/s at this one, keep {} s, {} list changes/s, absence {absence}",
        s.front_ends, s.workers, s.zones, s.functions, s.popularity_offset, s.popularity_exponent, s.requests_per_s, s.keep_alive / SEC, s.endpoint_changes_per_s
    )
}

/// Seconds that are measured once what is forgotten has come to its level, and where the list changes.
const MEASURED: [u64; 2] = [20, 120];
const PLAYS: usize = 3;

/// Varies one thing of a scenario; times are the median of so many plays, one at the least.
pub fn sweep(
    plays: usize,
    what: &'static str,
    sizes: &[u64],
    held: &Scenario,
    vary: impl Fn(&mut Scenario, u64),
) -> Sweep {
    let rows = sizes.iter().map(|&n| {
        let mut scenario = held.clone();
        vary(&mut scenario, n);
        let mut all: Vec<_> = (0..plays.max(1)).map(|_| play(&scenario)).collect();
        all.sort_by(|a, b| a.1[0].total_cmp(&b.1[0]));
        let (exact, [us, timer]) = all[all.len() / 2];
        let (least, most) = (all[0].1[0], all[all.len() - 1].1[0]);
        (
            n,
            exact.into_iter().chain([us, least, most, timer]).collect(),
        )
    });
    Sweep {
        title: format!("{what}: {}", describe(held)),
        varied: what,
        columns: columns(),
        rows: rows.collect(),
    }
}

/// The columns of [`sweep`].
fn columns() -> Vec<Column> {
    let exact = [
        "MB held",
        "allocations/call",
        "KB allocated/call",
        "functions met",
        "orders/s",
        "questions/s",
        "refused or failed/s",
    ];
    let timed = ["us/call", "least", "most", "timers, us/s"];
    let column = |exact| move |name| Column { name, exact };
    exact
        .into_iter()
        .map(column(true))
        .chain(timed.into_iter().map(column(false)))
        .collect()
}

/// Plays a scenario until it has come to its level, then for as many seconds as `MEASURED` says.
pub fn play(scenario: &Scenario) -> ([f64; 7], [f64; 2]) {
    let mut front = SimulatedFrontEnd::new(scenario);
    front.run(4 * scenario.keep_alive + SEC);
    let before = front.counts.clone();
    front.handling_times = HandlingTimes::default();
    let measured = MEASURED[usize::from(scenario.endpoint_changes_per_s > 0.0)];
    front.run(measured * SEC);
    let (c, s) = (&front.counts, &front.handling_times);
    let calls = (c.requests - before.requests).max(1) as f64;
    let each = |now: u64, then: u64| (now - then) as f64 / calls;
    let second = |now: u64, then: u64| (now - then) as f64 / measured as f64;
    let exact = [
        c.held_bytes as f64 / 1e6,
        each(c.allocations, before.allocations),
        each(c.allocated_bytes, before.allocated_bytes) / 1e3,
        front.functions_called() as f64,
        second(c.load_orders, before.load_orders),
        second(c.queries, before.queries),
        second(c.rejected + c.failed, before.rejected + before.failed),
    ];
    (
        exact,
        [
            s.total() as f64 / 1e3 / calls,
            s.timers as f64 / 1e3 / measured as f64,
        ],
    )
}

fn hour(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let exact =
        ["MB held", "functions met", "KB allocated/call", "orders/s"].map(|name| (name, true));
    let columns = exact.into_iter().chain([("us/call", false)]);
    let columns: Vec<_> = columns
        .map(|(name, exact)| Column { name, exact })
        .collect();
    let shapes = [
        Scenario {
            endpoint_changes_per_s: 0.1,
            ..base(seed)
        },
        Scenario {
            endpoint_changes_per_s: 0.1,
            popularity_exponent: 1.0,
            popularity_offset: 0.0,
            ..base(seed)
        },
    ];
    let play = |scenario: &Scenario| {
        let (mut front, mut minute) = (SimulatedFrontEnd::new(scenario), 0);
        // What is counted a call and a second is since the row before.
        let row = |&n: &u64| {
            let before = front.counts.clone();
            front.handling_times = HandlingTimes::default();
            front.run((n - minute) * 60 * SEC);
            let seconds = ((n - minute) * 60) as f64;
            minute = n;
            let c = &front.counts;
            let calls = (c.requests - before.requests).max(1) as f64;
            let kb = (c.allocated_bytes - before.allocated_bytes) as f64 / 1e3 / calls;
            let orders = (c.load_orders - before.load_orders) as f64 / seconds;
            let us = front.handling_times.total() as f64 / 1e3 / calls;
            (
                n,
                vec![
                    c.held_bytes as f64 / 1e6,
                    front.functions_called() as f64,
                    kb,
                    orders,
                    us,
                ],
            )
        };
        let rows = sizes.iter().map(row).collect();
        Sweep {
            title: format!("minutes: {}", describe(scenario)),
            varied: "minutes",
            columns: columns.clone(),
            rows,
        }
    };
    Ok(shapes.iter().map(play).collect())
}

/// The difference of two counts, as far as tables show it: attempts, to nobody, that load, orders, questions, refused or
/// failed.
pub fn counts_since(now: &PolicyCounts, then: &PolicyCounts) -> [f64; 6] {
    [
        now.attempts - then.attempts,
        now.unreachable - then.unreachable,
        now.loads_begun - then.loads_begun,
        now.load_orders - then.load_orders,
        now.queries - then.queries,
        now.rejected + now.failed - then.rejected - then.failed,
    ]
    .map(|n| n as f64)
}
