//! What comes at once: front ends that start, a zone that is lost and comes back with nothing loaded, an endpoint list
//! that is read again.
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

/// Seconds of a front end that has just started.
const START_S: u64 = 10;
/// Seconds until what a front end keeps has come to its level.
const WARM_UP_S: u64 = 41;
/// Seconds played before a zone is lost, and until its loss is in the endpoint list.
const BEFORE_LOSS_S: u64 = 5;
const SILENT_S: u64 = 5;
/// Seconds that the zone is not in the endpoint list, and that are played once it is back.
const ABSENT_S: u64 = 20;
const RECOVERY_S: u64 = 20;
/// Changes between which the list is read again.
const CHANGES: usize = 10;
/// Seconds played after a part of the list was replaced.
const AFTER_REPLACEMENT_S: u64 = 5;
/// Indices of the workers that join: above those of all lists.
const FIRST_JOINED_WORKER: usize = 1_000_000;
const FIRST_REPLACING_WORKER: usize = 2_000_000;

/// A second, a worker and a kind of message.
type MessageSlot = (u64, usize, SentMessage);

/// Front ends that start a fixed time apart.
struct StartSeries {
    /// Seconds between the starts.
    seconds_apart: u64,
    /// Messages by second, worker and kind.
    messages: BTreeMap<MessageSlot, u64>,
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

    /// Adds what the front end of this index sent.
    fn add(&mut self, index: u64, log: &[SentRecord]) {
        for sent in log {
            let second = (sent.at - START_TIME) / SEC + index * self.seconds_apart;
            let slot = (second, sent.worker, sent.message);
            *self.messages.entry(slot).or_default() += 1;
        }
    }

    /// The most messages of this kind that one worker had in one second.
    fn most(&self, message: SentMessage) -> f64 {
        let slots = self.messages.iter();
        let counts = slots.filter(|(slot, _)| slot.2 == message);
        counts.map(|(_, &count)| count).max().unwrap_or(0) as f64
    }
}

/// Sums over the front ends that have started so far.
#[derive(Default)]
struct StartTotals {
    attempts: u64,
    first_requests: u64,
    load_orders_and_queries: u64,
    loads_begun: u64,
    first_list_ns: u64,
    other_handling_ns: u64,
}

/// Starts as many front ends as the largest size, each by itself, and adds up what the first of them did: all at once,
/// and each a second after the one before.
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
        let each = |total: u64| total as f64 / started as f64;
        vec![
            each(self.attempts),
            each(self.first_requests),
            each(self.load_orders_and_queries),
            each(self.loads_begun),
            series.most(SentMessage::Attempt),
            series.most(SentMessage::LoadOrder),
            each(self.first_list_ns) / 1e6,
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

/// What a front end did in one phase.
struct Phase {
    unreachable: u64,
    loads_begun: u64,
    load_orders: u64,
    queries: u64,
    not_served: u64,
    us_per_request: f64,
    /// Time of the endpoint update at the phase's begin.
    list_ms: f64,
    /// Longest time of any other event.
    longest_ms: f64,
}

impl Phase {
    /// Begins a phase by `change` and plays this many seconds.
    fn play(
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

/// The workers of one zone.
pub(crate) fn first_zone(scenario: &Scenario) -> Vec<usize> {
    let in_zone = |worker: &usize| worker.is_multiple_of(scenario.zones);
    (0..scenario.workers).filter(in_zone).collect()
}

/// One zone falls silent, leaves the list and comes back with nothing loaded.
fn lose_zone(scenario: &Scenario) -> Vec<f64> {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    front_end.run(WARM_UP_S * SEC);
    let lost = first_zone(scenario);
    let usual = Phase::play(&mut front_end, BEFORE_LOSS_S, |_| {});
    let silent = Phase::play(&mut front_end, SILENT_S, |front_end| {
        front_end.disconnect_workers(&lost);
    });
    let gone = Phase::play(&mut front_end, ABSENT_S, |front_end| {
        front_end.update_endpoints(false, &lost, WorkerState::Gone, 0);
    });
    let back = Phase::play(&mut front_end, RECOVERY_S, |front_end| {
        front_end.reconnect_workers(&lost);
        front_end.update_endpoints(false, &lost, WorkerState::Ready, front_end.now);
    });
    let per_second = |orders: u64, seconds: u64| orders as f64 / seconds as f64;
    vec![
        silent.unreachable as f64,
        (silent.not_served + gone.not_served + back.not_served) as f64,
        silent.queries as f64,
        (silent.loads_begun + gone.loads_begun + back.loads_begun) as f64,
        per_second(usual.load_orders, BEFORE_LOSS_S),
        per_second(silent.load_orders + gone.load_orders, SILENT_S + ABSENT_S),
        per_second(back.load_orders, RECOVERY_S),
        usual.us_per_request,
        silent.us_per_request,
        back.us_per_request,
        gone.list_ms,
        back.list_ms,
        back.longest_ms,
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

/// Time of one endpoint update, ms.
fn update_ms(front_end: &mut SimulatedFrontEnd, complete: bool, workers: &[usize]) -> f64 {
    front_end.handling_times = HandlingTimes::default();
    front_end.update_endpoints(complete, workers, WorkerState::Ready, 0);
    front_end.handling_times.endpoint_updates as f64 / 1e6
}

/// The list read first, read again, read again between single changes, and with a tenth of the workers replaced.
fn read_lists(scenario: &Scenario) -> Vec<f64> {
    let mut front_end = SimulatedFrontEnd::new(scenario);
    let first_ms = front_end.handling_times.endpoint_updates as f64 / 1e6;
    let held_mb = front_end.counts.held_bytes as f64 / 1e6;
    front_end.run(WARM_UP_S * SEC);
    let mut workers = front_end.workers().to_vec();
    let again_ms = update_ms(&mut front_end, true, &workers);
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
        again_ms,
        changes_ms,
        replaced_ms,
        front_end.handling_times.total() as f64 / 1e3 / requests,
    ]
}
