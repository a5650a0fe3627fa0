//! The cost of reading the whole endpoint list again after the discovery service was interrupted.
use super::{exact, measured, ms, wait_for_endpoints, MarkerEndpoint};
use crate::harness::{
    unreachable_endpoints, wait_until, DiscoveryService, FrontEndOptions, FrontEndProcess,
    WatchEvent,
};
use crate::{ExperimentError, Sweep};
use std::time::{Duration, Instant};

/// What one process needed to read the whole list again.
#[derive(Clone, Copy, Debug)]
pub struct ResyncCost {
    /// Bytes of watch events that it was sent.
    pub bytes: u64,
    /// Watches that it opened.
    pub watches: u64,
    /// Time from the service's restoration until it had the list.
    pub time: Duration,
    /// Processor time that it used until it had the list.
    pub cpu_time: Duration,
}

/// Interrupts the discovery service of one process and then has it send the whole list with one worker more. The
/// event's revision is `missed` above the last one that the process has read.
///
/// # Errors
/// The process cannot be started, does not become ready, or does not read the list in time.
pub fn measure_resync(workers: u64, missed: u64, seed: u64) -> Result<ResyncCost, ExperimentError> {
    let mut endpoints = unreachable_endpoints(workers);
    let discovery = DiscoveryService::start(vec![WatchEvent::complete(1, &endpoints)])?;
    let mut process = FrontEndProcess::start(&FrontEndOptions {
        discovery: Some(discovery.address),
        seed,
        ..FrontEndOptions::default()
    })?;
    wait_for_endpoints(&mut process, workers)?;
    let marker = MarkerEndpoint::new(1);
    endpoints.push(marker.endpoint);
    discovery.interrupt(vec![WatchEvent::complete(1 + missed, &endpoints)]);
    wait_until(
        "the process to lose the discovery service",
        Duration::from_millis(5),
        || discovery.rejected() > 1,
    )?;
    let bytes = discovery.bytes();
    let watches = discovery.watches();
    let before = process.usage()?;
    let restored_at = Instant::now();
    discovery.restore();
    process.wait_for_log(&marker.log_line)?;
    let time = restored_at.elapsed();
    let after = process.usage()?;
    Ok(ResyncCost {
        bytes: discovery.bytes() - bytes,
        watches: discovery.watches() - watches,
        time,
        cpu_time: after.cpu_time - before.cpu_time,
    })
}

pub(super) fn resync(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &workers in sizes {
        let mut row = Vec::new();
        // After one missed event the revisions have no gap, after five they have one.
        for missed in [1, 5] {
            let cost = measure_resync(workers, missed, seed)?;
            row.extend([
                cost.bytes as f64,
                cost.watches as f64,
                ms(cost.time),
                ms(cost.cpu_time),
            ]);
        }
        rows.push((workers, row));
    }
    Ok(vec![Sweep {
        title: "The whole list told anew after a cut board, one process".to_owned(),
        varied: "workers",
        columns: vec![
            exact("bytes, one event missed"),
            exact("calls of the board"),
            measured("ms to have it"),
            measured("ms of processor"),
            exact("bytes, five events missed"),
            exact("calls of the board "),
            measured("ms to have it "),
            measured("ms of processor "),
        ],
        rows,
    }])
}
