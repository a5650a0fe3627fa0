//! Experiments with changes that happen all at once: front ends start, a zone is lost and returns with nothing loaded,
//! or a complete endpoint list arrives.
use crate::policy_scaling::{base, columns, describe};
use crate::simulated_front_end::{
    FunctionPopularity, HandlingTimes, Scenario, SentMessage, SentRecord, SimulatedFrontEnd, SEC,
    START_TIME,
};
use crate::{Experiment, Sweep};
use std::collections::BTreeMap;
use std::rc::Rc;
use wrenseam_policy::WorkerState;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "burst-starts",
        about: "First 10 s of front ends in a fleet of 660 that start all at once, or one second apart.",
        sizes: &[10, 20, 40, 79],
        bound: 660,
        run: |sizes, seed| Ok(starts(sizes, seed)),
    },
    Experiment {
        name: "burst-zone",
        about: "By number of workers: a seventh stops answering, leaves the list after 5 s, returns cold after 25 s.",
        sizes: &[1_400, 2_800, 5_600, 10_000],
        bound: 20_000,
        run: |sizes, seed| Ok(vec![zone(sizes, seed)]),
    },
    Experiment {
        name: "burst-list",
        about: "By number of workers: the first list, the same again, one after each change, one with a tenth replaced.",
        sizes: &[1_000, 2_000, 4_000, 7_000, 10_000],
        bound: 20_000,
        run: |sizes, seed| Ok(vec![list(sizes, seed)]),
    },
];

/// Seconds that each started front end runs.
const START_S: u64 = 10;
/// Seconds that a front end runs before a disruption, until the amount of state that it keeps is stationary.
const WARM_UP_S: u64 = 41;
/// Seconds measured before a zone is lost.
const BEFORE_LOSS_S: u64 = 5;
/// Seconds for which the lost zone's workers do not answer but are still in the endpoint list.
const SILENT_S: u64 = 5;
/// Seconds for which the lost zone is not in the endpoint list.
const ABSENT_S: u64 = 20;
/// Seconds measured after the zone has returned.
const RECOVERY_S: u64 = 20;
/// Number of single changes that are each followed by a complete list.
const CHANGES: usize = 10;
/// Seconds measured after a tenth of the workers was replaced.
const AFTER_REPLACEMENT_S: u64 = 5;
/// Index of the first worker that joins by a single change; above the indices of all initial workers.
const FIRST_JOINED_WORKER: usize = 1_000_000;
/// Index of the first worker that replaces another; above the indices of all workers that join by single changes.
const FIRST_REPLACING_WORKER: usize = 2_000_000;

/// Key of the counts of messages: second, worker and kind of message.
type MessageSlot = (u64, usize, SentMessage);

/// Results for front ends that start a fixed time apart.
struct StartSeries {
    /// Seconds between the starts.
    seconds_apart: u64,
    /// Number of messages by second, worker and kind.
    messages: BTreeMap<MessageSlot, u64>,
    /// Rows of the table: number of started front ends and their values.
    rows: Vec<(u64, Vec<f64>)>,
}

impl StartSeries {
    fn new(seconds_apart: u64) -> StartSeries {
        StartSeries {
            seconds_apart,
            messages: BTreeMap::new(),
            rows: Vec::new(),
        }
    }

    /// Adds the messages that the front end of this index sent; `index` determines when it started.
    fn add(&mut self, index: u64, log: &[SentRecord]) {
        for sent in log {
            let second = (sent.at - START_TIME) / SEC + index * self.seconds_apart;
            let slot = (second, sent.worker, sent.message);
            *self.messages.entry(slot).or_default() += 1;
        }
    }

    /// The largest number of messages of this kind that any worker received in one second.
    fn peak(&self, message: SentMessage) -> f64 {
        let slots = self.messages.iter();
        let counts = slots.filter(|(slot, _)| slot.2 == message);
        counts.map(|(_, &count)| count).max().unwrap_or(0) as f64
    }
}

/// Sums over the front ends that have started so far. Times are those that the policy took, in nanoseconds.
#[derive(Default)]
struct StartTotals {
    attempts: u64,
    first_requests: u64,
    load_orders_and_queries: u64,
    loads_begun: u64,
    first_list_ns: u64,
    other_handling_ns: u64,
}

/// Simulates as many front ends as the largest size, one after another and independently, and sums up the results of
/// the first ones at each size. The first table counts them as started all at once, the second as started one second
/// apart.
fn starts(sizes: &[u64], seed: u64) -> Vec<Sweep> {
    let scenario = base(seed);
    let popularity = Rc::new(FunctionPopularity::new(&scenario));
    let mut series = [StartSeries::new(0), StartSeries::new(1)];
    let mut totals = StartTotals::default();
    for index in 0..sizes.last().copied().unwrap_or(0) {
        let mut front_end =
            SimulatedFrontEnd::with_index(&scenario, &popularity, index as u32, START_TIME);
        front_end.sent_log = Some(Vec::new());
        front_end.run(START_S * SEC);
        totals.add(&front_end);
        let log = front_end.sent_log.take().unwrap_or_default();
        let started = index + 1;
        for series in &mut series {
            series.add(index, &log);
            if sizes.contains(&started) {
                let row = totals.row(started, series);
                series.rows.push((started, row));
            }
        }
    }
    series.map(|series| starts_sweep(&scenario, series)).into()
}

impl StartTotals {
    fn add(&mut self, front_end: &SimulatedFrontEnd) {
        let counts = &front_end.counts;
        self.attempts += counts.attempts;
        self.first_requests += counts.first_requests;
        self.load_orders_and_queries += counts.load_orders + counts.queries;
        self.loads_begun += counts.loads_begun;
        let times = &front_end.handling_times;
        self.first_list_ns += times.endpoint_updates;
        self.other_handling_ns += times.total() - times.endpoint_updates;
    }

    fn row(&self, started: u64, series: &StartSeries) -> Vec<f64> {
        let mean = |total: u64| total as f64 / started as f64;
        vec![
            mean(self.attempts),
            mean(self.first_requests),
            mean(self.load_orders_and_queries),
            mean(self.loads_begun),
            series.peak(SentMessage::Attempt),
            series.peak(SentMessage::LoadOrder),
            mean(self.first_list_ns) / 1e6,
            self.other_handling_ns as f64 / 1e3 / self.attempts.max(1) as f64,
        ]
    }
}

fn starts_sweep(scenario: &Scenario, series: StartSeries) -> Sweep {
    Sweep {
        title: format!(
            "front ends that start {} s apart, first 10 s: {}",
            series.seconds_apart,
            describe(scenario)
        ),
        varied: "started",
        columns: columns(
            &[
                "calls sent each",
                "first calls each",
                "orders each",
                "loads begun each",
                "most calls at a worker in 1 s",
                "most orders at a worker in 1 s",
            ],
            &["ms for the first list", "us/call"],
        ),
        rows: series.rows,
    }
}

/// Measurements of a front end during one phase of an experiment.
struct Phase {
    /// Attempts sent to a worker that could not be reached.
    unreachable: u64,
    loads_begun: u64,
    load_orders: u64,
    queries: u64,
    /// Requests rejected or failed.
    not_served: u64,
    /// Time that the policy took per request, in microseconds, without the update at the beginning of the phase.
    us_per_request: f64,
    /// Time that the policy took for the endpoint update at the beginning of the phase, in milliseconds; 0 if there was
    /// none.
    list_ms: f64,
    /// Longest time that the policy took for any other event, in milliseconds.
    longest_ms: f64,
}

impl Phase {
    /// Applies `change`, then runs the front end for this many simulated seconds and measures it.
    fn run(
        front_end: &mut SimulatedFrontEnd,
        seconds: u64,
        change: impl FnOnce(&mut SimulatedFrontEnd),
    ) -> Phase {
        let before = front_end.counts.clone();
        front_end.handling_times = HandlingTimes::default();
        change(front_end);
        let list_ms = front_end.handling_times.endpoint_updates as f64 / 1e6;
        front_end.handling_times = HandlingTimes::default();
        front_end.run(seconds * SEC);
        let counts = &front_end.counts;
        let times = &front_end.handling_times;
        let requests = (counts.requests - before.requests).max(1) as f64;
        Phase {
            unreachable: counts.unreachable - before.unreachable,
            loads_begun: counts.loads_begun - before.loads_begun,
            load_orders: counts.load_orders - before.load_orders,
            queries: counts.queries - before.queries,
            not_served: counts.not_served() - before.not_served(),
            us_per_request: times.total() as f64 / 1e3 / requests,
            list_ms,
            longest_ms: times.longest as f64 / 1e6,
        }
    }
}

fn zone(sizes: &[u64], seed: u64) -> Sweep {
    let row = |&workers: &u64| {
        let scenario = Scenario {
            workers: workers as usize,
            ..base(seed)
        };
        (workers, lose_zone(&scenario))
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
        rows: sizes.iter().map(row).collect(),
    }
}

/// The workers of the first zone.
pub(crate) fn first_zone(scenario: &Scenario) -> Vec<usize> {
    let in_zone = |worker: &usize| worker.is_multiple_of(scenario.zones);
    (0..scenario.workers).filter(in_zone).collect()
}

/// The workers of one zone stop answering, leave the endpoint list, and return with nothing loaded. Returns the row of
/// this number of workers.
fn lose_zone(scenario: &Scenario) -> Vec<f64> {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    front_end.run(WARM_UP_S * SEC);
    let lost = first_zone(scenario);
    let before = Phase::run(&mut front_end, BEFORE_LOSS_S, |_| {});
    let silent = Phase::run(&mut front_end, SILENT_S, |front_end| {
        front_end.disconnect_workers(&lost);
    });
    let absent = Phase::run(&mut front_end, ABSENT_S, |front_end| {
        front_end.update_endpoints(false, &lost, WorkerState::Gone, 0);
    });
    let returned = Phase::run(&mut front_end, RECOVERY_S, |front_end| {
        front_end.reconnect_workers(&lost);
        front_end.update_endpoints(false, &lost, WorkerState::Ready, front_end.now);
    });
    let per_second = |orders: u64, seconds: u64| orders as f64 / seconds as f64;
    vec![
        silent.unreachable as f64,
        (silent.not_served + absent.not_served + returned.not_served) as f64,
        silent.queries as f64,
        (silent.loads_begun + absent.loads_begun + returned.loads_begun) as f64,
        per_second(before.load_orders, BEFORE_LOSS_S),
        per_second(silent.load_orders + absent.load_orders, SILENT_S + ABSENT_S),
        per_second(returned.load_orders, RECOVERY_S),
        before.us_per_request,
        silent.us_per_request,
        returned.us_per_request,
        absent.list_ms,
        returned.list_ms,
        returned.longest_ms,
    ]
}

fn list(sizes: &[u64], seed: u64) -> Sweep {
    let row = |&workers: &u64| {
        let scenario = Scenario {
            workers: workers as usize,
            ..base(seed)
        };
        (workers, read_lists(&scenario))
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
        rows: sizes.iter().map(row).collect(),
    }
}

/// Gives the front end an endpoint update, and returns the time that the policy took for it, in milliseconds.
fn update_ms(front_end: &mut SimulatedFrontEnd, complete: bool, workers: &[usize]) -> f64 {
    front_end.handling_times = HandlingTimes::default();
    front_end.update_endpoints(complete, workers, WorkerState::Ready, 0);
    front_end.handling_times.endpoint_updates as f64 / 1e6
}

/// Times the first complete list, the same list again, single changes that are each followed by a complete list, and a
/// complete list in which a tenth of the workers is replaced. Returns the row of this number of workers.
fn read_lists(scenario: &Scenario) -> Vec<f64> {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    let first_ms = front_end.handling_times.endpoint_updates as f64 / 1e6;
    let held_mb = front_end.counts.held_bytes as f64 / 1e6;
    front_end.run(WARM_UP_S * SEC);
    let mut workers = front_end.workers().to_vec();
    let repeated_ms = update_ms(&mut front_end, true, &workers);
    let mut changes_ms = 0.0;
    for change in 0..CHANGES {
        let joined = FIRST_JOINED_WORKER + change;
        changes_ms += update_ms(&mut front_end, false, &[joined]);
        workers.push(joined);
        changes_ms += update_ms(&mut front_end, true, &workers);
    }
    let tenth = workers.len() / 10;
    for (position, worker) in workers[..tenth].iter_mut().enumerate() {
        *worker = FIRST_REPLACING_WORKER + position;
    }
    let replaced_ms = update_ms(&mut front_end, true, &workers);
    let before = front_end.counts.clone();
    front_end.handling_times = HandlingTimes::default();
    front_end.run(AFTER_REPLACEMENT_S * SEC);
    let counts = &front_end.counts;
    let requests = (counts.requests - before.requests).max(1) as f64;
    let allocated_bytes = (counts.allocated_bytes - before.allocated_bytes) as f64;
    vec![
        held_mb,
        allocated_bytes / 1e3 / requests,
        first_ms,
        repeated_ms,
        changes_ms,
        replaced_ms,
        front_end.handling_times.total() as f64 / 1e3 / requests,
    ]
}
