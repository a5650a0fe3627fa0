//! Cold workers' seats and the ration of loads: what many modules that share nothing send together, and what one of
//! them refuses.
use crate::policy_scaling::{base, describe};
use crate::simulated_front_end::{
    FunctionPopularity, Scenario, SentMessage, SimulatedFrontEnd, MS, SEC, START_TIME,
};
use crate::{Column, Experiment, Sweep};
use std::rc::Rc;
use wrenseam_policy::{Micros, WorkerState};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "seats-pressed",
        about: "Front ends before one cold worker, each with far more calls than it bears.",
        sizes: &[30, 100, 300, 660, 1_024],
        bound: 1_024,
        run: |sizes, seed| Ok(vec![pressed(sizes, seed)]),
    },
    Experiment {
        name: "seats-zone",
        about: "Front ends before 98 workers with 10 calls/s each together, a seventh of which come back cold.",
        sizes: &[30, 100, 300, 660, 1_024],
        bound: 1_024,
        run: |sizes, seed| Ok(vec![returned(sizes, seed)]),
    },
    Experiment {
        name: "ration",
        about: "First calls at a front end that has just started, where workers answer with a miss and only orders load, against its calls a second.",
        sizes: &[10, 19, 38, 76, 152, 304],
        bound: 1_000,
        run: |sizes, seed| {
            let miss = Scenario { load_on_demand: false, workers: 2_000, ..base(seed) };
            let even = Scenario { popularity_exponent: 0.0, popularity_offset: 0.0, ..miss.clone() };
            let alone = Scenario { other_replicas_loaded: false, ..even.clone() };
            let vary = |s: &mut Scenario, n| s.requests_per_s = n as f64;
            Ok(vec![
                first("calls/s", sizes, &miss, vary, (60, false)),
                first("calls/s, all functions called alike", sizes, &even, vary, (60, false)),
                first("calls/s, all called alike and nothing stands anywhere", sizes, &alone, vary, (60, false)),
            ])
        },
    },
    Experiment {
        name: "cold-start",
        about: "Time until a first call's attempt, where workers load for it and where only orders load, against the time of a load in ms.",
        sizes: &[55, 110, 220, 440],
        bound: 4_000,
        run: |sizes, seed| {
            let alone = Scenario {
                load_on_demand: false,
                other_replicas_loaded: false,
                workers: 2_000,
                requests_per_s: 0.5,
                popularity_exponent: 0.0,
                popularity_offset: 0.0,
                ..base(seed)
            };
            let loads = Scenario { load_on_demand: true, ..alone.clone() };
            let vary = |s: &mut Scenario, n| s.load_time = n * MS;
            Ok(vec![
                first("load, ms", sizes, &loads, vary, (1_200, false)),
                first("load, ms; one of seven zones is silent", sizes, &loads, vary, (1_200, true)),
                first("load, ms", sizes, &alone, vary, (1_200, false)),
                first("load, ms; one of seven zones is silent", sizes, &alone, vary, (1_200, true)),
            ])
        },
    },
];

const CAPACITY: f64 = 12.0; // calls a second that the shares allow for each worker
const SHOWN: u64 = 30; // seconds that are played after the start

fn column(name: &'static str) -> Column {
    Column { name, exact: true }
}

/// Times of the attempts sent to these workers since they started, in order.
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

/// The most that any span of the rule's length held, as a part of what the rule allows at its end.
fn worst(scenario: &Scenario, times: &[Micros]) -> f64 {
    let (set, mut begin, mut worst) = (scenario.settings(), 0, 0.0f64);
    for (n, &t) in times
        .iter()
        .enumerate()
        .take_while(|(_, &t)| t < set.slow_start_duration)
    {
        while times[begin] + set.overload_window <= t {
            begin += 1;
        }
        let share = set.slow_start_from
            + (1.0 - set.slow_start_from) * t as f64 / set.slow_start_duration as f64;
        let span = set.overload_window as f64 / SEC as f64;
        worst =
            worst.max((n - begin + 1) as f64 / (set.overload_multiple * share * CAPACITY * span));
    }
    worst
}

/// The first second after which two seconds held as much as this rate; [`SHOWN`] if none.
fn reaches(times: &[Micros], rate: f64) -> f64 {
    let within = |s: u64| {
        times
            .iter()
            .filter(|&&t| (s * SEC..(s + 2) * SEC).contains(&t))
            .count()
    };
    (0..SHOWN - 1)
        .find(|&s| within(s) as f64 >= 2.0 * rate)
        .unwrap_or(SHOWN) as f64
}

fn pressed(sizes: &[u64], seed: u64) -> Sweep {
    let play = |n: u64| {
        let scenario = Scenario {
            front_ends: n as u32,
            workers: 1,
            functions: 160,
            requests_per_s: 10.0,
            quota_per_s: CAPACITY,
            ..base(seed)
        };
        let popularity = Rc::new(FunctionPopularity::new(&scenario));
        let mut fronts: Vec<_> = (0..n as u32)
            .map(|i| SimulatedFrontEnd::with_index(&scenario, &popularity, i, START_TIME))
            .collect();
        for front in &mut fronts {
            front.update_endpoints(false, &[0], WorkerState::Ready, START_TIME);
            front.sent_log = Some(Vec::new());
            front.run(SHOWN * SEC);
        }
        let (times, within) = (
            attempt_times(&mut fronts, &[0], START_TIME),
            scenario.settings().slow_start_duration,
        );
        let cold = times.iter().filter(|&&t| t < within).count() as f64;
        let rate = cold / (within / SEC) as f64 / CAPACITY;
        (
            n,
            vec![
                worst(&scenario, &times),
                rate,
                reaches(&times, 0.9 * CAPACITY),
            ],
        )
    };
    Sweep {
        title: format!(
            "seats: one cold worker that can do {CAPACITY} calls/s when warm, 10 calls/s from each front end"
        ),
        varied: "front ends",
        columns: ["most, as part of the rule", "mean of 12 s, as part of warm", "s until 90% of warm"]
            .map(column)
            .into(),
        rows: sizes.iter().map(|&n| play(n)).collect(),
    }
}

fn returned(sizes: &[u64], seed: u64) -> Sweep {
    const WORKERS: usize = 98;
    let play = |n: u64| {
        let scenario = Scenario {
            front_ends: n as u32,
            workers: WORKERS,
            functions: 160,
            popularity_offset: 20.0,
            requests_per_s: 10.0 * WORKERS as f64 / n as f64,
            quota_per_s: CAPACITY * WORKERS as f64,
            ..base(seed)
        };
        let popularity = Rc::new(FunctionPopularity::new(&scenario));
        let mut fronts: Vec<_> = (0..n as u32)
            .map(|i| SimulatedFrontEnd::with_index(&scenario, &popularity, i, START_TIME))
            .collect();
        let zone: Vec<usize> = (0..WORKERS).filter(|w| w % scenario.zones == 0).collect();
        for front in &mut fronts {
            front.run(20 * SEC);
            front.sent_log = Some(Vec::new());
            front.run(10 * SEC);
        }
        let usual = attempt_times(&mut fronts, &zone, START_TIME + 20 * SEC).len() as f64 / 10.0;
        let started = START_TIME + 30 * SEC;
        let mut refused = 0;
        for front in &mut fronts {
            front.disconnect_workers(&zone);
            front.reconnect_workers(&zone);
            front.update_endpoints(false, &zone, WorkerState::Ready, started);
            front.sent_log = Some(Vec::new());
            let before = front.counts.rejected + front.counts.failed;
            front.run(SHOWN * SEC);
            refused += front.counts.rejected + front.counts.failed - before;
        }
        let (times, within) = (
            attempt_times(&mut fronts, &zone, started),
            scenario.settings().slow_start_duration,
        );
        let cold = times.iter().filter(|&&t| t < within).count() as f64 / (within / SEC) as f64;
        let after =
            times.iter().filter(|&&t| t >= within).count() as f64 / (SHOWN - within / SEC) as f64;
        let row = vec![
            usual,
            cold / usual,
            after / usual,
            reaches(&times, 0.9 * usual),
            refused as f64,
        ];
        (n, row)
    };
    Sweep {
        title: "seats: 14 of 98 workers come back cold, 10 calls/s a worker over all front ends, warm within 12 s".into(),
        varied: "front ends",
        columns: ["calls/s to the 14 before", "part of it, 0 to 12 s", "part of it, 12 to 30 s", "s until 90% of it", "refused"]
            .map(column)
            .into(),
        rows: sizes.iter().map(|&n| play(n)).collect(),
    }
}

/// First calls of a front end's first seconds, where one zone may be silent.
fn first(
    what: &'static str,
    sizes: &[u64],
    held: &Scenario,
    vary: impl Fn(&mut Scenario, u64),
    (seconds, silent): (u64, bool),
) -> Sweep {
    let row = |&n: &u64| {
        let mut scenario = held.clone();
        vary(&mut scenario, n);
        let mut front = SimulatedFrontEnd::new(&scenario);
        if silent {
            let zone: Vec<usize> = (0..scenario.workers)
                .filter(|w| w % scenario.zones == 0)
                .collect();
            front.disconnect_workers(&zone);
        }
        front.run(seconds * SEC);
        let c = &front.counts;
        front.first_waits.sort_unstable();
        let at = |part: f64| {
            let n = (front.first_waits.len() as f64 * part) as usize;
            front.first_waits.get(n).map_or(0.0, |&w| w as f64 / 1e3)
        };
        let first = c.first_requests.max(1) as f64;
        let row = vec![
            c.first_requests as f64,
            100.0 * c.first_rejected as f64 / first,
            100.0 * c.rejected as f64 / c.requests.max(1) as f64,
            c.queries as f64 / first,
            c.load_orders as f64 / seconds as f64,
            at(0.5),
            at(0.99),
        ];
        (n, row)
    };
    Sweep {
        title: format!("{what}, the first {seconds} s: {}", describe(held)),
        varied: what,
        columns: [
            "first calls",
            "% of them refused",
            "% of all refused",
            "questions/first call",
            "orders/s",
            "ms to its attempt, median",
            "ms, 99 of 100",
        ]
        .map(column)
        .into(),
        rows: sizes.iter().map(row).collect(),
    }
}
