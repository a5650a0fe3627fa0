//! The time and resource usage of processes that start at once.
use super::{measured, mib, ms, quantile, DEFAULT_WORKERS};
use crate::harness::{
    spawn_thread, unreachable_endpoints, wait_until, DiscoveryService, FrontEndOptions,
    FrontEndProcess, ResourceUsage, WatchEvent,
};
use crate::{ExperimentError, Sweep};
use std::sync::mpsc;
use std::time::Duration;

/// Interval at which a process is asked whether it is ready: long, as the polling uses the same processors as the
/// processes that are measured.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the processes get the endpoint list from.
#[derive(Clone, Copy, PartialEq)]
enum ListSource {
    /// From the discovery service only.
    Discovery,
    /// From their configuration files; the discovery service has nothing newer.
    Configuration,
}

impl ListSource {
    fn title(self) -> &'static str {
        match self {
            ListSource::Discovery => {
                "Processes started at once; the board tells 4,000 workers; one core for all"
            }
            ListSource::Configuration => {
                "Processes started at once; their configuration tells 4,000 workers; one core for all"
            }
        }
    }
}

/// A process that has become ready. It is kept running until all have.
struct StartedProcess {
    /// Time from its start until it was ready.
    ready_ms: f64,
    /// Its usage when it was ready.
    usage: ResourceUsage,
    _process: FrontEndProcess,
}

pub(super) fn simultaneous_start(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for source in [ListSource::Discovery, ListSource::Configuration] {
        let mut rows = Vec::new();
        for &processes in sizes {
            rows.push((processes, row(processes, source, seed)?));
        }
        sweeps.push(Sweep {
            title: source.title().to_owned(),
            varied: "processes at once",
            columns: vec![
                measured("ms from exec to ready, median"),
                measured("nine in ten"),
                measured("last"),
                measured("ms of processor each"),
                measured("most RSS of one, MiB"),
            ],
            rows,
        });
    }
    Ok(sweeps)
}

fn row(count: u64, source: ListSource, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let list = WatchEvent::complete(1, &unreachable_endpoints(DEFAULT_WORKERS));
    let discovery = DiscoveryService::start(vec![list.clone()])?;
    let known_events = match source {
        ListSource::Discovery => Vec::new(),
        ListSource::Configuration => vec![list],
    };
    let spawn = |index| {
        FrontEndProcess::spawn(&FrontEndOptions {
            discovery: Some(discovery.address),
            index,
            seed: seed + index as u64,
            known_events: known_events.clone(),
            ..FrontEndOptions::default()
        })
    };
    let processes = (0..count as usize)
        .map(spawn)
        .collect::<Result<Vec<_>, _>>()?;
    let started = wait_for_all(processes)?;
    let mut ready: Vec<f64> = started.iter().map(|s| s.ready_ms).collect();
    let mut cpu_times: Vec<f64> = started.iter().map(|s| ms(s.usage.cpu_time)).collect();
    let mut peaks: Vec<f64> = started
        .iter()
        .map(|s| mib(s.usage.peak_resident_kib))
        .collect();
    Ok(vec![
        quantile(&mut ready, 0.5),
        quantile(&mut ready, 0.9),
        quantile(&mut ready, 1.0),
        quantile(&mut cpu_times, 0.5),
        quantile(&mut peaks, 1.0),
    ])
}

/// Waits for each process in a thread of its own, so that waiting for one does not delay the time taken of another.
fn wait_for_all(processes: Vec<FrontEndProcess>) -> Result<Vec<StartedProcess>, ExperimentError> {
    let (sender, started) = mpsc::channel();
    for process in processes {
        let sender = sender.clone();
        spawn_thread(move || {
            let _ = sender.send(wait_until_ready(process));
        })?;
    }
    drop(sender);
    started.iter().collect()
}

fn wait_until_ready(mut process: FrontEndProcess) -> Result<StartedProcess, ExperimentError> {
    process.wait_for_listeners()?;
    wait_until("the front end to be ready", READY_POLL_INTERVAL, || {
        process.is_ready()
    })?;
    Ok(StartedProcess {
        ready_ms: ms(process.started_at.elapsed()),
        usage: process.usage()?,
        _process: process,
    })
}
