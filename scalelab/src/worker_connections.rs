//! Connections to workers: how many stand, and which share of calls pays for one. Measured at one process beside
//! the worked-out model.
use crate::harness::{self, FrontEndOptions, FrontEndProcess, InferenceClient, WatchEvent};
use crate::process_experiments::quantile;
use crate::simulated_workers::{ServiceTimes, SimulatedWorkers};
use crate::{Column, Experiment, ExperimentError, Sweep};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::limits::KEPT;
use wrenseam::worker::pool::Pool;

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
const KEPT_FOR: f64 = 12.5;
const WARM: Duration = Duration::from_secs(14);
const MEASURED_TIME: Duration = Duration::from_secs(12);
/// Exponent at which the middle of 16,000 functions is called once in a minute, of 100,000 calls/s in all.
const ZIPF: f64 = 1.65;

/// How calls are spread over functions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// All alike.
    Even,
    /// By Zipf: the middle one is called once a minute by the whole fleet.
    Zipf,
}

/// Connections that stand and the share of calls that find none, where each function has its calls at one worker that
/// any is with equal chance, a connection stays for `kept` seconds after a call, and at most `most` stand: those
/// called last. `shares` are the functions' parts of all `rate` calls a second.
pub fn worked_out(workers: f64, rate: f64, kept: f64, shares: &[f64], most: f64) -> (f64, f64) {
    let not_called = |share: &f64| (-rate * kept * share).exp();
    let called: f64 = shares.iter().map(|s| 1.0 - not_called(s)).sum();
    // A worker that none of those functions stands at.
    let free = (-called / workers).exp();
    let standing = workers * (1.0 - free);
    let late = shares.iter().map(|s| s * not_called(s)).sum::<f64>() * free;
    match standing > most {
        true => (most, late.max(1.0 - most / workers)),
        false => (standing, late),
    }
}

/// Connections that the pool lets stand beside the test's clients.
pub fn most(max_descriptors: usize) -> f64 {
    Pool::new(max_descriptors, KEPT).most(CLIENTS as usize) as f64
}

/// The functions' parts of all calls, by rank.
pub fn shares(spread: Spread) -> Vec<f64> {
    let weight = |rank: u64| {
        if spread == Spread::Zipf {
            (rank as f64).powf(-ZIPF)
        } else {
            1.0
        }
    };
    let weights: Vec<f64> = (1..=FUNCTIONS).map(weight).collect();
    let all: f64 = weights.iter().sum();
    weights.into_iter().map(|w| w / all).collect()
}

#[derive(Default)]
struct Answers {
    served: AtomicU64,
    other: AtomicU64,
    /// Times of those served, ms.
    times: Mutex<Vec<f64>>,
}

fn even(chance: &mut Pcg64) -> f64 {
    (chance.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// One client: calls at seeded Poisson times wait_until `stop`.
fn client(
    to: std::net::SocketAddr,
    rate: f64,
    seed: u64,
    ranks: &[f64],
    load: Duration,
    stop: &AtomicBool,
    answers: &Answers,
) {
    let mut chance = Pcg64::seed_from_u64(seed);
    let mut kept: Option<InferenceClient> = None;
    let mut due = Instant::now();
    loop {
        due += Duration::from_secs_f64(-(1.0 - even(&mut chance)).ln() / rate);
        while let Some(wait) = due.checked_duration_since(Instant::now()) {
            std::thread::sleep(wait.min(Duration::from_millis(200)));
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let drawn = even(&mut chance);
        let function = ranks.partition_point(|&sum| sum < drawn) as u64 + 1;
        let since = Instant::now();
        // One that was closed while idle is made again, as the protocol's clients do.
        let first = kept.as_mut().map(|c| c.call(function, load));
        let status = match first {
            Some(Ok(status)) => Ok(status),
            _ => InferenceClient::connect(to).and_then(|mut c| {
                let status = c.call(function, load);
                kept = Some(c);
                status
            }),
        };
        if matches!(status, Ok(200)) {
            answers.served.fetch_add(1, Ordering::Relaxed);
            harness::lock(&answers.times).push(since.elapsed().as_secs_f64() * 1000.0);
        } else {
            answers.other.fetch_add(1, Ordering::Relaxed);
            if status.is_err() {
                kept = None;
            }
        }
    }
}

/// One row: so many workers, calls a second and descriptors.
fn measure(
    workers: u64,
    rate: u64,
    max_descriptors: usize,
    spread: Spread,
    seed: u64,
) -> Result<Vec<f64>, ExperimentError> {
    let work = ServiceTimes {
        load: Duration::from_millis(100),
        call: Duration::from_millis(5),
    };
    let simulated = SimulatedWorkers::start(workers, work)?;
    let told = FrontEndOptions {
        known_events: vec![WatchEvent::complete(1, &simulated.list)],
        max_descriptors,
        seed,
        ..FrontEndOptions::default()
    };
    let program = FrontEndProcess::start(&told)?;
    let (stop, answers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Answers::default()),
    );
    let parts = shares(spread);
    let (w, r) = (workers as f64, rate as f64);
    let (standing_worked, share_worked) = worked_out(w, r, KEPT_FOR, &parts, most(max_descriptors));
    // Summed up, so that a number from 0 to 1 draws a function.
    let ranks = parts
        .iter()
        .scan(0.0, |sum, part| (*sum += part, Some(*sum)).1)
        .collect::<Vec<f64>>();
    let ranks = Arc::new(ranks);
    for n in 0..CLIENTS {
        let (stop, answers, ranks, to) =
            (stop.clone(), answers.clone(), ranks.clone(), program.kserve);
        let (each, seed) = (rate as f64 / CLIENTS as f64, seed << 16 | n);
        harness::spawn_thread(move || client(to, each, seed, &ranks, work.load, &stop, &answers))?;
    }
    std::thread::sleep(WARM);
    let counted = simulated.counts.counts();
    let (served, other) = (
        answers.served.load(Ordering::Relaxed),
        answers.other.load(Ordering::Relaxed),
    );
    harness::lock(&answers.times).clear();
    harness::lock(&simulated.counts.called).clear();
    let (before, since) = (program.usage()?, Instant::now());
    let (mut descriptors, mut standing, mut looks) = (0, 0, 0);
    while since.elapsed() < MEASURED_TIME {
        descriptors = descriptors.max(program.usage()?.descriptors);
        (standing, looks) = (
            standing + simulated.counts.standing.load(Ordering::Relaxed),
            looks + 1,
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let after = program.usage()?;
    let now = simulated.counts.counts();
    let [accepts, calls, orders, questions] = std::array::from_fn(|i| (now[i] - counted[i]) as f64);
    let served = (answers.served.load(Ordering::Relaxed) - served) as f64;
    let other = (answers.other.load(Ordering::Relaxed) - other) as f64;
    stop.store(true, Ordering::Relaxed);
    let called = harness::lock(&simulated.counts.called).len() as f64;
    let row = vec![
        descriptors as f64,
        standing as f64 / f64::from(looks.max(1)),
        standing_worked,
        100.0 * accepts / calls.max(1.0),
        100.0 * share_worked,
        called,
        calls / MEASURED_TIME.as_secs_f64(),
        (orders + questions) / MEASURED_TIME.as_secs_f64(),
        100.0 * served / (served + other).max(1.0),
        quantile(&mut harness::lock(&answers.times), 0.99),
        after.cpu_percent(&before),
        after.resident_kib as f64 / 1024.0,
    ];
    Ok(row)
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

fn by_workers(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for max_descriptors in [1_024, 16_384] {
        let row = |&w: &u64| Ok((w, measure(w, CALLS, max_descriptors, Spread::Even, seed)?));
        let rows = sizes
            .iter()
            .map(row)
            .collect::<Result<_, ExperimentError>>()?;
        let title = format!(
            "Connections at {CALLS} calls/s, {FUNCTIONS} functions evenly, {max_descriptors} descriptors"
        );
        sweeps.push(Sweep {
            title,
            varied: "workers",
            columns: columns(),
            rows,
        });
    }
    Ok(sweeps)
}

fn by_calls(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for (spread, told) in [
        (Spread::Even, "evenly"),
        (Spread::Zipf, "by Zipf with exponent 1.65"),
    ] {
        let row = |&r: &u64| Ok((r, measure(4_000, r, 1_024, spread, seed)?));
        let rows = sizes
            .iter()
            .map(row)
            .collect::<Result<_, ExperimentError>>()?;
        let title = format!(
            "Connections before 4,000 workers, {FUNCTIONS} functions {told}, 1,024 descriptors"
        );
        sweeps.push(Sweep {
            title,
            varied: "calls a second",
            columns: columns(),
            rows,
        });
    }
    Ok(sweeps)
}
