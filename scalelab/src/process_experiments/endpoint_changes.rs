//! The resource usage of a process without requests while endpoints change.
use super::{
    exact, measured, mib, replacement_event, sleep_until, wait_for_endpoints, DEFAULT_WORKERS,
    MAX_ENDPOINTS_PER_EVENT, MEASURED_TIME, SETTLE_TIME,
};
use crate::harness::{
    unreachable_endpoints, DiscoveryService, FrontEndOptions, FrontEndProcess, WatchEvent,
};
use crate::{ExperimentError, Sweep};
use std::time::Instant;

pub(super) fn endpoint_changes(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for workers in [1_000, DEFAULT_WORKERS] {
        let mut rows = Vec::new();
        for &rate in sizes {
            rows.push((rate, row(workers, rate, seed)?));
        }
        sweeps.push(Sweep {
            title: format!(
                "List changes: one process, {workers} workers, each change an instance replaced"
            ),
            varied: "changes a second",
            columns: vec![
                measured("% of a core"),
                measured("of it the core's thread"),
                exact("bytes a change"),
                exact("bytes/s"),
                measured("MiB grown in 10 s"),
            ],
            rows,
        });
    }
    Ok(sweeps)
}

/// One row: `rate` workers are replaced per second.
fn row(workers: u64, rate: u64, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let endpoints = unreachable_endpoints(workers);
    let discovery =
        DiscoveryService::start(WatchEvent::split(&endpoints, MAX_ENDPOINTS_PER_EVENT))?;
    let mut process = FrontEndProcess::start(&FrontEndOptions {
        discovery: Some(discovery.address),
        seed,
        ..FrontEndOptions::default()
    })?;
    wait_for_endpoints(&mut process, workers)?;
    std::thread::sleep(SETTLE_TIME);
    let list_bytes = discovery.bytes();
    let before = process.usage()?;
    let started = Instant::now();
    let changes = rate * MEASURED_TIME.as_secs();
    for change in 0..changes {
        sleep_until(started + MEASURED_TIME.mul_f64((change + 1) as f64 / changes as f64));
        discovery.publish(replacement_event(2 + change, change, workers));
    }
    let after = process.usage()?;
    wait_for_endpoints(&mut process, 2 * changes)?;
    let change_bytes = (discovery.bytes() - list_bytes) as f64;
    Ok(vec![
        after.cpu_percent(&before),
        after.core_thread_percent(&before),
        change_bytes / changes as f64,
        change_bytes / MEASURED_TIME.as_secs_f64(),
        mib(after.resident_kib) - mib(before.resident_kib),
    ])
}
