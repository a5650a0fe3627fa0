//! Connections to workers: how many are open, and which share of requests opens one. Measured at one process beside a
//! model.
mod clients;
mod model;

pub use model::{model, ModelledConnections};

use crate::harness::{self, FrontEndOptions, FrontEndProcess, ResourceUsage, WatchEvent};
use crate::process_experiments::quantile;
use crate::simulated_workers::{CountsSnapshot, ServiceTimes, SimulatedWorkers};
use crate::{Column, Experiment, ExperimentError, Sweep};
use clients::Clients;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wrenseam::limits::RESERVED_DESCRIPTORS;
use wrenseam::worker::pool::PoolLimit;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "links-workers",
        about: "152 calls/s over 16,000 functions at one process, against the workers listed; 1,024 descriptors, then 16,384.",
        sizes: &[1_000, 2_000, 4_000, 10_000],
        bound: 10_000, // each worker's listener is a descriptor here, and so is what connects to it
        run: by_workers,
    },
    Experiment {
        name: "links-calls",
        about: "4,000 workers and 16,000 functions at one process with 1,024 descriptors, against calls/s; even, then by Zipf.",
        sizes: &[20, 40, 80, 152],
        bound: 400,
        run: by_calls,
    },
];

/// Calls a second of one front end at the size to plan with, and functions.
const CALLS: u64 = 152;
const FUNCTIONS: u64 = 16_000;
/// Client connections, each with its own part of the calls.
const CLIENTS: u64 = 64;
/// How long a worker connection stays that is not used: 15 s less a fifth, and half a sweep of 1 s.
const CONNECTION_IDLE_S: f64 = 12.5;
/// What the connections are given to come to their level, and then what is counted.
const WARM_UP_TIME: Duration = Duration::from_secs(14);
const MEASURED_TIME: Duration = Duration::from_secs(12);
/// Exponent at which the middle of 16,000 functions is called once in a minute, of 100,000 calls/s in all.
const ZIPF_EXPONENT: f64 = 1.65;

const KIB_PER_MIB: f64 = 1024.0;
/// How often connections and descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SERVICE_TIMES: ServiceTimes = ServiceTimes {
    load: Duration::from_millis(100),
    call: Duration::from_millis(5),
};

/// How requests are spread over functions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// All alike.
    Even,
    /// By Zipf: the middle one is called once a minute by the whole fleet.
    Zipf,
}

/// Connections that the pool keeps open beside the experiment's clients.
pub fn most(max_descriptors: usize) -> f64 {
    PoolLimit::new(max_descriptors, RESERVED_DESCRIPTORS).max_connections(CLIENTS as usize) as f64
}

/// The functions' parts of all requests, by rank.
pub fn shares(spread: Spread) -> Vec<f64> {
    let weight = |rank: u64| match spread {
        Spread::Even => 1.0,
        Spread::Zipf => (rank as f64).powf(-ZIPF_EXPONENT),
    };
    let weights: Vec<f64> = (1..=FUNCTIONS).map(weight).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

/// What was sampled while the row's time passed.
#[derive(Default)]
struct Samples {
    most_descriptors: usize,
    mean_connections: f64,
}

fn sample(
    process: &FrontEndProcess,
    workers: &SimulatedWorkers,
) -> Result<Samples, ExperimentError> {
    let started = Instant::now();
    let mut samples = Samples::default();
    let mut connections = 0;
    let mut count = 0;
    while started.elapsed() < MEASURED_TIME {
        let descriptors = process.usage()?.descriptors;
        samples.most_descriptors = samples.most_descriptors.max(descriptors);
        connections += workers.counts.standing.load(Ordering::Relaxed);
        count += 1;
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    samples.mean_connections = connections as f64 / f64::from(count.max(1));
    Ok(samples)
}

/// What one row varies.
#[derive(Clone, Copy)]
struct Load {
    workers: u64,
    requests_per_s: u64,
    max_descriptors: usize,
    spread: Spread,
}

/// One row: the model beside one process, of which the time after the warm-up counts.
fn row(load: Load, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let workers = SimulatedWorkers::start(load.workers, SERVICE_TIMES)?;
    let process = FrontEndProcess::start(&FrontEndOptions {
        known_events: vec![WatchEvent::complete(1, &workers.list)],
        max_descriptors: load.max_descriptors,
        seed,
        ..FrontEndOptions::default()
    })?;
    let shares = shares(load.spread);
    let modelled = model(
        load.workers as f64,
        load.requests_per_s as f64,
        CONNECTION_IDLE_S,
        &shares,
        most(load.max_descriptors),
    );
    let clients = Clients::start(process.kserve, load.requests_per_s, &shares, seed)?;
    std::thread::sleep(WARM_UP_TIME);
    let measured = measure(&process, &workers, &clients);
    clients.stop.store(true, Ordering::Relaxed);
    Ok(measured?.row(modelled))
}

/// What was measured after the warm-up.
struct Measured {
    samples: Samples,
    counts_before: CountsSnapshot,
    counts: CountsSnapshot,
    served: u64,
    not_served: u64,
    workers_called: usize,
    p99_ms: f64,
    usage_before: ResourceUsage,
    usage: ResourceUsage,
}

fn measure(
    process: &FrontEndProcess,
    workers: &SimulatedWorkers,
    clients: &Clients,
) -> Result<Measured, ExperimentError> {
    let counts_before = workers.counts.snapshot();
    let served_before = clients.served.load(Ordering::Relaxed);
    let not_served_before = clients.not_served.load(Ordering::Relaxed);
    harness::lock(&clients.times).clear();
    harness::lock(&workers.counts.called).clear();
    let usage_before = process.usage()?;
    let samples = sample(process, workers)?;
    let usage = process.usage()?;
    let counts = workers.counts.snapshot();
    let served = clients.served.load(Ordering::Relaxed) - served_before;
    let not_served = clients.not_served.load(Ordering::Relaxed) - not_served_before;
    let workers_called = harness::lock(&workers.counts.called).len();
    let p99_ms = quantile(&mut harness::lock(&clients.times), 0.99);
    Ok(Measured {
        samples,
        counts_before,
        counts,
        served,
        not_served,
        workers_called,
        p99_ms,
        usage_before,
        usage,
    })
}

impl Measured {
    fn row(&self, modelled: ModelledConnections) -> Vec<f64> {
        let accepts = (self.counts.accepts - self.counts_before.accepts) as f64;
        let calls = (self.counts.calls - self.counts_before.calls) as f64;
        let orders = self.counts.orders - self.counts_before.orders;
        let queries = self.counts.questions - self.counts_before.questions;
        let seconds = MEASURED_TIME.as_secs_f64();
        let answered = (self.served + self.not_served).max(1) as f64;
        vec![
            self.samples.most_descriptors as f64,
            self.samples.mean_connections,
            modelled.open,
            100.0 * accepts / calls.max(1.0),
            100.0 * modelled.opening_share,
            self.workers_called as f64,
            calls / seconds,
            (orders + queries) as f64 / seconds,
            100.0 * self.served as f64 / answered,
            self.p99_ms,
            self.usage.cpu_percent(&self.usage_before),
            self.usage.resident_kib as f64 / KIB_PER_MIB,
        ]
    }
}

fn columns() -> Vec<Column> {
    [
        "descriptors, most",
        "worker connections, mean",
        "worked out",
        "connections opened, % of calls",
        "worked out ",
        "workers called in 12 s",
        "calls/s at the workers",
        "orders and questions/s there",
        "% served",
        "p99, ms",
        "% of a core",
        "RSS, MiB",
    ]
    .into_iter()
    .map(|name| Column { name, exact: false })
    .collect()
}

fn sweep(
    title: String,
    varied: &'static str,
    loads: impl Iterator<Item = (u64, Load)>,
    seed: u64,
) -> Result<Sweep, ExperimentError> {
    let mut rows = Vec::new();
    for (size, load) in loads {
        rows.push((size, row(load, seed)?));
    }
    Ok(Sweep {
        title,
        varied,
        columns: columns(),
        rows,
    })
}

fn by_workers(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for max_descriptors in [1_024, 16_384] {
        let title = format!(
            "Connections at {CALLS} calls/s, {FUNCTIONS} functions evenly, {max_descriptors} descriptors"
        );
        let load = |&workers: &u64| Load {
            workers,
            requests_per_s: CALLS,
            max_descriptors,
            spread: Spread::Even,
        };
        let loads = sizes.iter().map(|size| (*size, load(size)));
        sweeps.push(sweep(title, "workers", loads, seed)?);
    }
    Ok(sweeps)
}

fn by_calls(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for (spread, description) in [
        (Spread::Even, "evenly"),
        (Spread::Zipf, "by Zipf with exponent 1.65"),
    ] {
        let title = format!(
            "Connections before 4,000 workers, {FUNCTIONS} functions {description}, 1,024 descriptors"
        );
        let load = |&requests_per_s: &u64| Load {
            workers: 4_000,
            requests_per_s,
            max_descriptors: 1_024,
            spread,
        };
        let loads = sizes.iter().map(|size| (*size, load(size)));
        sweeps.push(sweep(title, "calls a second", loads, seed)?);
    }
    Ok(sweeps)
}
