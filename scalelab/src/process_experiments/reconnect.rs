//! The traffic, delay and processor time of many processes that reconnect to one discovery service while endpoints
//! change.
use super::{
    measured, ms, quantile, replacement_event, sleep_until, usages, wait_for_endpoints,
    MarkerEndpoint, DEFAULT_WORKERS, REPLACEMENT_ID_STEP,
};
use crate::harness::{
    endpoint_json, unreachable_address, unreachable_endpoints, wait_until, DiscoveryService,
    FrontEndOptions, FrontEndProcess, WatchEvent,
};
use crate::{ExperimentError, Sweep};
use std::time::{Duration, Instant};

/// Endpoint changes that the processes miss while the service is down. They follow the whole list, which is revision 1.
const MISSED_CHANGES: u64 = 5;
/// Endpoint changes while the processes reconnect.
const LATER_CHANGES: u64 = 10;
/// Time between these changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Position of the first worker that the later changes replace: above those that the missed changes replaced.
const FIRST_LATER_REPLACEMENT: u64 = 100;
/// Interval at which the discovery service's counters are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Rejected watches per process, on average, after which all processes count as having lost the service.
const REJECTIONS_EACH: u64 = 3;

/// What the service sends to reconnecting processes once it is up again.
#[derive(Clone, Copy, PartialEq)]
enum Resync {
    /// The changes that they missed.
    MissedChanges,
    /// The whole list with the missed changes applied.
    WholeList,
}

impl Resync {
    fn title(self) -> &'static str {
        match self {
            Resync::MissedChanges => "A cut board that tells what was missed; 4,000 workers, 10 more changes within a second",
            Resync::WholeList => "A cut board that tells the whole list anew; 4,000 workers, 10 more changes within a second",
        }
    }

    /// The events for this kind of resync. `endpoints` is the list before the missed changes.
    fn events(self, mut endpoints: Vec<String>) -> Vec<WatchEvent> {
        if self == Resync::MissedChanges {
            let change = |n| replacement_event(2 + n, n, DEFAULT_WORKERS);
            return (0..MISSED_CHANGES).map(change).collect();
        }
        for (position, endpoint) in (0..MISSED_CHANGES).zip(&mut endpoints) {
            let address = unreachable_address(position);
            *endpoint = endpoint_json(position + REPLACEMENT_ID_STEP, &address, "ready");
        }
        vec![WatchEvent::complete(1 + MISSED_CHANGES, &endpoints)]
    }
}

pub(super) fn reconnect(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for resync in [Resync::MissedChanges, Resync::WholeList] {
        let mut rows = Vec::new();
        for &processes in sizes {
            rows.push((processes, row(processes, resync, seed)?));
        }
        sweeps.push(Sweep {
            title: resync.title().to_owned(),
            varied: "processes",
            columns: vec![
                measured("bytes each"),
                measured("calls of the board each"),
                measured("ms from the last change to the last that has it"),
                measured("ms of processor each, median"),
                measured("most"),
            ],
            rows,
        });
    }
    Ok(sweeps)
}

fn row(count: u64, resync: Resync, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let endpoints = unreachable_endpoints(DEFAULT_WORKERS);
    let list = WatchEvent::complete(1, &endpoints);
    let discovery = DiscoveryService::start(vec![list.clone()])?;
    let mut processes = start_processes(count, &discovery, &list, seed)?;
    wait_until("a watch from every process", POLL_INTERVAL, || {
        discovery.watches() >= count
    })?;
    discovery.interrupt(resync.events(endpoints));
    wait_until(
        "all processes to lose the discovery service",
        POLL_INTERVAL,
        || discovery.rejected() > REJECTIONS_EACH * count,
    )?;
    let before = usages(&processes)?;
    let bytes = discovery.bytes();
    let watches = discovery.watches();
    let elapsed = restore_and_change(&discovery, &mut processes)?;
    let mut cpu_times = Vec::new();
    for (after, before) in usages(&processes)?.iter().zip(&before) {
        cpu_times.push(ms(after.cpu_time - before.cpu_time));
    }
    let each = |total: u64| total as f64 / count as f64;
    Ok(vec![
        each(discovery.bytes() - bytes),
        each(discovery.watches() - watches),
        ms(elapsed) - ms(CHANGE_INTERVAL) * LATER_CHANGES as f64,
        quantile(&mut cpu_times, 0.5),
        quantile(&mut cpu_times, 1.0),
    ])
}

/// Starts processes whose configuration contains the list, and waits until all have read it.
fn start_processes(
    count: u64,
    discovery: &DiscoveryService,
    list: &WatchEvent,
    seed: u64,
) -> Result<Vec<FrontEndProcess>, ExperimentError> {
    let start = |index| {
        FrontEndProcess::spawn(&FrontEndOptions {
            discovery: Some(discovery.address),
            index,
            seed: seed + index as u64,
            known_events: vec![list.clone()],
            ..FrontEndOptions::default()
        })
    };
    let mut processes = (0..count as usize)
        .map(start)
        .collect::<Result<Vec<_>, _>>()?;
    for process in &mut processes {
        process.wait_for_listeners()?;
        wait_for_endpoints(process, DEFAULT_WORKERS)?;
    }
    Ok(processes)
}

/// Restores the service, sends the later changes and waits until all processes have handled the last. Returns the time
/// since the service was restored.
fn restore_and_change(
    discovery: &DiscoveryService,
    processes: &mut [FrontEndProcess],
) -> Result<Duration, ExperimentError> {
    let marker = MarkerEndpoint::new(1);
    let restored_at = Instant::now();
    discovery.restore();
    for change in 0..LATER_CHANGES {
        sleep_until(restored_at + CHANGE_INTERVAL * (change as u32 + 1));
        let revision = 2 + MISSED_CHANGES + change;
        let event = if change + 1 == LATER_CHANGES {
            WatchEvent::change(revision, std::slice::from_ref(&marker.endpoint))
        } else {
            let replacement = FIRST_LATER_REPLACEMENT + change;
            replacement_event(revision, replacement, DEFAULT_WORKERS)
        };
        discovery.publish(event);
    }
    for process in processes {
        process.wait_for_log(&marker.log_line)?;
    }
    Ok(restored_at.elapsed())
}
