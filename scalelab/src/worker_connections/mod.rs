//! Experiments on connections to workers: how many are open, and which share of the requests opens one, measured at one
//! front end process and compared with a model, whose figures are in the columns `worked out`.
mod clients;
mod model;

pub use model::{model_connections, ModelledConnections};

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
        about: "152 requests/s over 16,000 functions at one process, against the workers listed; limits of 1,024 and of 16,384 descriptors.",
        sizes: &[1_000, 2_000, 4_000, 10_000],
        bound: 10_000, // each worker takes descriptors of this process: its listener and its connections
        run: by_workers,
    },
    Experiment {
        name: "links-calls",
        about: "4,000 workers and 16,000 functions at one process with a limit of 1,024 descriptors, against requests/s; functions called uniformly, then by Zipf.",
        sizes: &[20, 40, 80, 152],
        bound: 400,
        run: by_request_rate,
    },
];

/// Requests per second at one front end of a deployment of the planned size.
const REQUESTS_PER_S: u64 = 152;
/// Functions that the clients call.
const FUNCTIONS: u64 = 16_000;
/// Clients, each with a connection and an equal part of the requests.
const CLIENTS: u64 = 64;
/// Mean time until an idle worker connection is closed: the idle timeout of 15 s less a fifth, and half of the interval
/// of 1 s at which connections are checked.
const CONNECTION_IDLE_S: f64 = 12.5;
/// Time before the measurement, in which the number of connections reaches its steady state.
const WARM_UP_TIME: Duration = Duration::from_secs(14);
/// Length of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(12);
/// Zipf exponent at which the median of 16,000 functions is called once a minute where all front ends together get
/// 100,000 requests/s.
const ZIPF_EXPONENT: f64 = 1.65;

const KIB_PER_MIB: f64 = 1024.0;
/// Interval at which connections and descriptors are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SERVICE_TIMES: ServiceTimes = ServiceTimes {
    load: Duration::from_millis(100),
    request: Duration::from_millis(5),
};

/// How requests are distributed over the functions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestDistribution {
    /// All functions have the same share.
    Uniform,
    /// Zipf: the whole fleet calls the median function once a minute.
    Zipf,
}

/// Worker connections that the pool keeps open at most under this limit of descriptors, beside the connections of the
/// experiment's clients.
pub fn max_worker_connections(max_descriptors: usize) -> f64 {
    PoolLimit::new(max_descriptors, RESERVED_DESCRIPTORS).max_connections(CLIENTS as usize) as f64
}

/// The functions' shares of all requests, by rank; their sum is 1.
pub fn shares(distribution: RequestDistribution) -> Vec<f64> {
    let weight = |rank: u64| match distribution {
        RequestDistribution::Uniform => 1.0,
        RequestDistribution::Zipf => (rank as f64).powf(-ZIPF_EXPONENT),
    };
    let weights: Vec<f64> = (1..=FUNCTIONS).map(weight).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

/// What was sampled during the measurement.
#[derive(Default)]
struct Samples {
    /// The most descriptors that the front end process had open.
    most_descriptors: usize,
    /// Mean number of open worker connections.
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
        connections += workers.counts.open_connections.load(Ordering::Relaxed);
        count += 1;
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    samples.mean_connections = connections as f64 / f64::from(count.max(1));
    Ok(samples)
}

/// The parameters of one row.
#[derive(Clone, Copy)]
struct RowParameters {
    workers: u64,
    requests_per_s: u64,
    max_descriptors: usize,
    distribution: RequestDistribution,
}

/// One row: the figures of one process, measured after the warm-up, and those of the model.
fn row(parameters: RowParameters, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let workers = SimulatedWorkers::start(parameters.workers, SERVICE_TIMES)?;
    let process = FrontEndProcess::start(&FrontEndOptions {
        known_events: vec![WatchEvent::complete(1, &workers.endpoints)],
        max_descriptors: parameters.max_descriptors,
        seed,
        ..FrontEndOptions::default()
    })?;
    let shares = shares(parameters.distribution);
    let modelled = model_connections(
        parameters.workers as f64,
        parameters.requests_per_s as f64,
        CONNECTION_IDLE_S,
        &shares,
        max_worker_connections(parameters.max_descriptors),
    );
    let clients = Clients::start(process.kserve, parameters.requests_per_s, &shares, seed)?;
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
    harness::lock(&clients.response_times_ms).clear();
    harness::lock(&workers.counts.workers_called).clear();
    let usage_before = process.usage()?;
    let samples = sample(process, workers)?;
    let usage = process.usage()?;
    let counts = workers.counts.snapshot();
    let served = clients.served.load(Ordering::Relaxed) - served_before;
    let not_served = clients.not_served.load(Ordering::Relaxed) - not_served_before;
    let workers_called = harness::lock(&workers.counts.workers_called).len();
    let p99_ms = quantile(&mut harness::lock(&clients.response_times_ms), 0.99);
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
        let accepted =
            (self.counts.accepted_connections - self.counts_before.accepted_connections) as f64;
        let requests = (self.counts.requests - self.counts_before.requests) as f64;
        let load_orders = self.counts.load_orders - self.counts_before.load_orders;
        let queries = self.counts.queries - self.counts_before.queries;
        let seconds = MEASURED_TIME.as_secs_f64();
        let answered = (self.served + self.not_served).max(1) as f64;
        vec![
            self.samples.most_descriptors as f64,
            self.samples.mean_connections,
            modelled.open,
            100.0 * accepted / requests.max(1.0),
            100.0 * modelled.opening_share,
            self.workers_called as f64,
            requests / seconds,
            (load_orders + queries) as f64 / seconds,
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
    row_parameters: impl Iterator<Item = (u64, RowParameters)>,
    seed: u64,
) -> Result<Sweep, ExperimentError> {
    let mut rows = Vec::new();
    for (size, parameters) in row_parameters {
        rows.push((size, row(parameters, seed)?));
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
            "Connections at {REQUESTS_PER_S} calls/s, {FUNCTIONS} functions evenly, {max_descriptors} descriptors"
        );
        let parameters = |&workers: &u64| RowParameters {
            workers,
            requests_per_s: REQUESTS_PER_S,
            max_descriptors,
            distribution: RequestDistribution::Uniform,
        };
        let rows = sizes.iter().map(|size| (*size, parameters(size)));
        sweeps.push(sweep(title, "workers", rows, seed)?);
    }
    Ok(sweeps)
}

fn by_request_rate(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for (distribution, description) in [
        (RequestDistribution::Uniform, "evenly"),
        (RequestDistribution::Zipf, "by Zipf with exponent 1.65"),
    ] {
        let title = format!(
            "Connections before 4,000 workers, {FUNCTIONS} functions {description}, 1,024 descriptors"
        );
        let parameters = |&requests_per_s: &u64| RowParameters {
            workers: 4_000,
            requests_per_s,
            max_descriptors: 1_024,
            distribution,
        };
        let rows = sizes.iter().map(|size| (*size, parameters(size)));
        sweeps.push(sweep(title, "calls a second", rows, seed)?);
    }
    Ok(sweeps)
}
