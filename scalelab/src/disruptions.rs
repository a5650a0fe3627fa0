//! What comes at once: front ends that start, a zone that is lost and comes back cold, a list that is read anew.
use crate::policy_scaling::{base, counts_since, describe};
use crate::simulated_front_end::{
    FunctionPopularity, HandlingTimes, Scenario, SentMessage, SimulatedFrontEnd, SEC, START_TIME,
};
use crate::{Column, Experiment, Sweep};
use std::collections::BTreeMap;
use std::rc::Rc;
use wrenseam_policy::WorkerState;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "burst-starts",
        about: "Front ends of a fleet of 660 that start at once, then a second apart: their first 10 s.",
        sizes: &[10, 20, 40, 79],
        bound: 660,
        run: |sizes, seed| Ok(starts(sizes, seed)),
    },
    Experiment {
        name: "burst-zone",
        about: "A seventh of the workers falls silent, is told gone after 5 s and back, cold, after 25 s, against the workers.",
        sizes: &[1_400, 2_800, 5_600, 10_000],
        bound: 20_000,
        run: |sizes, seed| Ok(vec![zone(sizes, seed)]),
    },
    Experiment {
        name: "burst-list",
        about: "The whole list read first, anew, anew between single changes, and anew with a tenth of the workers replaced.",
        sizes: &[1_000, 2_000, 4_000, 7_000, 10_000],
        bound: 20_000,
        run: |sizes, seed| Ok(vec![list(sizes, seed)]),
    },
];

fn columns(exact: &[&'static str], timed: &[&'static str]) -> Vec<Column> {
    let column = |exact| move |&name: &&'static str| Column { name, exact };
    exact
        .iter()
        .map(column(true))
        .chain(timed.iter().map(column(false)))
        .collect()
}

/// Starts so many front ends as the largest size says, each by itself, and adds up what the first of them did: all at
/// once, and each a second after the one before.
fn starts(sizes: &[u64], seed: u64) -> Vec<Sweep> {
    let scenario = base(seed);
    let popularity = Rc::new(FunctionPopularity::new(&scenario));
    let mut apart = [0, 1].map(|s| {
        (
            s,
            BTreeMap::<(u64, usize, SentMessage), u64>::new(),
            Vec::new(),
        )
    });
    let (mut sum, mut list, mut rest) = ([0; 4], 0, 0);
    for i in 0..sizes.last().copied().unwrap_or(0) {
        let mut front = SimulatedFrontEnd::with_index(&scenario, &popularity, i as u32, START_TIME);
        list += front.handling_times.endpoint_updates;
        front.sent_log = Some(Vec::new());
        front.run(10 * SEC);
        let c = &front.counts;
        let own = [
            c.attempts,
            c.first_requests,
            c.load_orders + c.queries,
            c.loads_begun,
        ];
        sum.iter_mut().zip(own).for_each(|(s, n)| *s += n);
        rest += front.handling_times.total() - front.handling_times.endpoint_updates;
        let log = front.sent_log.take().unwrap_or_default();
        for (s, each, rows) in &mut apart {
            for sent in &log {
                *each
                    .entry((
                        (sent.at - START_TIME) / SEC + i * *s,
                        sent.worker,
                        sent.message,
                    ))
                    .or_default() += 1;
            }
            if !sizes.contains(&(i + 1)) {
                continue;
            }
            let most = |message| {
                each.iter()
                    .filter(|(k, _)| k.2 == message)
                    .map(|(_, &n)| n)
                    .max()
                    .unwrap_or(0)
            };
            let of = |n: u64| n as f64 / (i + 1) as f64;
            let exact = sum.map(of).into_iter().chain([
                most(SentMessage::Attempt) as f64,
                most(SentMessage::LoadOrder) as f64,
            ]);
            let timed = [of(list) / 1e6, rest as f64 / 1e3 / sum[0].max(1) as f64];
            rows.push((i + 1, exact.chain(timed).collect()));
        }
    }
    let exact = [
        "calls sent each",
        "first calls each",
        "orders each",
        "loads begun each",
        "most calls at a worker in 1 s",
        "most orders at a worker in 1 s",
    ];
    let sweep = |(s, _, rows)| Sweep {
        title: format!(
            "front ends that start {s} s apart, first 10 s: {}",
            describe(&scenario)
        ),
        varied: "started",
        columns: columns(&exact, &["ms for the first list", "us/call"]),
        rows,
    };
    apart.map(sweep).into()
}

fn zone(sizes: &[u64], seed: u64) -> Sweep {
    let play = |&n: &u64| {
        let scenario = Scenario {
            workers: n as usize,
            ..base(seed)
        };
        let mut front = SimulatedFrontEnd::new(&scenario);
        front.run(41 * SEC);
        let lost: Vec<usize> = (0..scenario.workers)
            .filter(|w| w % scenario.zones == 0)
            .collect();
        // Each step: what it counts, us a call, ms of the list's event, ms of the longest event else.
        let mut step = |change: &dyn Fn(&mut SimulatedFrontEnd), span: u64| {
            let before = front.counts.clone();
            front.handling_times = HandlingTimes::default();
            change(&mut front);
            let list = front.handling_times.endpoint_updates as f64 / 1e6;
            front.handling_times = HandlingTimes::default();
            front.run(span * SEC);
            let calls = (front.counts.requests - before.requests).max(1) as f64;
            let us = front.handling_times.total() as f64 / 1e3 / calls;
            (
                counts_since(&front.counts, &before),
                us,
                list,
                front.handling_times.longest as f64 / 1e6,
            )
        };
        let usual = step(&|_| {}, 5);
        let silent = step(&|f| f.disconnect_workers(&lost), 5);
        let gone = step(
            &|f| f.update_endpoints(false, &lost, WorkerState::Gone, 0),
            20,
        );
        let back = step(
            &|f| {
                f.reconnect_workers(&lost);
                let now = f.now;
                f.update_endpoints(false, &lost, WorkerState::Ready, now);
            },
            20,
        );
        let row = vec![
            silent.0[1],
            silent.0[5] + gone.0[5] + back.0[5],
            silent.0[4],
            silent.0[2] + gone.0[2] + back.0[2],
            usual.0[3] / 5.0,
            (silent.0[3] + gone.0[3]) / 25.0,
            back.0[3] / 20.0,
            usual.1,
            silent.1,
            back.1,
            gone.2,
            back.2,
            back.3,
        ];
        (n, row)
    };
    Sweep {
        title: format!(
            "workers, a zone of seven lost for 25 s: {}",
            describe(&base(seed))
        ),
        varied: "workers",
        columns: columns(
            &[
                "calls to nobody",
                "refused or failed",
                "questions while silent",
                "loads begun",
                "orders/s before",
                "orders/s while away",
                "orders/s once back",
            ],
            &[
                "us/call before",
                "us/call while silent",
                "us/call once back",
                "ms for the list: gone",
                "ms: back",
                "longest event once back, ms",
            ],
        ),
        rows: sizes.iter().map(play).collect(),
    }
}

fn list(sizes: &[u64], seed: u64) -> Sweep {
    let play = |&n: &u64| {
        let scenario = Scenario {
            workers: n as usize,
            ..base(seed)
        };
        let mut front = SimulatedFrontEnd::new(&scenario);
        let first = front.handling_times.endpoint_updates as f64 / 1e6;
        let holds = front.counts.held_bytes as f64 / 1e6;
        front.run(41 * SEC);
        let mut workers = front.workers().to_vec();
        let told = |front: &mut SimulatedFrontEnd, workers: &[usize], full| {
            front.handling_times = HandlingTimes::default();
            front.update_endpoints(full, workers, WorkerState::Ready, 0);
            front.handling_times.endpoint_updates as f64 / 1e6
        };
        let anew = told(&mut front, &workers, true);
        // Single workers come, and the list is read anew between, with what has come so far.
        let mut between = 0.0;
        for i in 0..10 {
            let new = 1_000_000 + i;
            between += told(&mut front, &[new], false);
            workers.push(new);
            between += told(&mut front, &workers, true);
        }
        let tenth = workers.len() / 10;
        (0..tenth).for_each(|i| workers[i] = 2_000_000 + i);
        let replaced = told(&mut front, &workers, true);
        let (calls, allocated) = (front.counts.requests, front.counts.allocated_bytes);
        front.handling_times = HandlingTimes::default();
        front.run(5 * SEC);
        let calls = (front.counts.requests - calls).max(1) as f64;
        let after = front.handling_times.total() as f64 / 1e3 / calls;
        let allocated = (front.counts.allocated_bytes - allocated) as f64 / 1e3 / calls;
        (
            n,
            vec![holds, allocated, first, anew, between, replaced, after],
        )
    };
    Sweep {
        title: format!("workers, the list read anew: {}", describe(&base(seed))),
        varied: "workers",
        columns: columns(
            &[
                "MB held after the first",
                "KB allocated/call, 5 s after the replacement",
            ],
            &[
                "ms for the first list",
                "ms for the same anew",
                "ms for 10 changes and 10 lists",
                "ms for a tenth replaced",
                "us/call, 5 s after",
            ],
        ),
        rows: sizes.iter().map(play).collect(),
    }
}
