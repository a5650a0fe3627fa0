//! The resource usage of a process without requests, against the number of workers in its endpoint list.
use super::{
    exact, measured, mib, ms, wait_for_endpoints, MAX_ENDPOINTS_PER_EVENT, MEASURED_TIME,
    SETTLE_TIME,
};
use crate::harness::{
    unreachable_endpoints, DiscoveryService, FrontEndOptions, FrontEndProcess, WatchEvent,
};
use crate::{ExperimentError, Sweep};

pub(super) fn idle(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &workers in sizes {
        rows.push((workers, row(workers, seed)?));
    }
    Ok(vec![Sweep {
        title: "An idle process against the workers listed; 10 s each, nobody calls".to_owned(),
        varied: "workers",
        columns: vec![
            measured("% of a core, idle"),
            measured("of it the core's thread"),
            measured("RSS, MiB"),
            exact("bytes of the list at a start"),
            measured("ms from exec to the whole list"),
            measured("ms of processor to there"),
        ],
        rows,
    }])
}

fn row(workers: u64, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let endpoints = unreachable_endpoints(workers);
    let discovery =
        DiscoveryService::start(WatchEvent::split(&endpoints, MAX_ENDPOINTS_PER_EVENT))?;
    let mut process = FrontEndProcess::start(&FrontEndOptions {
        discovery: Some(discovery.address),
        seed,
        ..FrontEndOptions::default()
    })?;
    wait_for_endpoints(&mut process, workers)?;
    let list_time = process.started_at.elapsed();
    let usage_with_list = process.usage()?;
    std::thread::sleep(SETTLE_TIME);
    let before = process.usage()?;
    std::thread::sleep(MEASURED_TIME);
    let after = process.usage()?;
    Ok(vec![
        after.cpu_percent(&before),
        after.core_thread_percent(&before),
        mib(after.resident_kib),
        discovery.bytes() as f64,
        ms(list_time),
        ms(usage_with_list.cpu_time),
    ])
}
