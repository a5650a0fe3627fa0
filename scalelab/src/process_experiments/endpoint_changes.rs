//! What list changes take.
use super::{
    exact, listed, measured, mib, replaced, DEFAULT_WORKERS, MAX_ENDPOINTS_PER_EVENT,
    MEASURED_TIME, SETTLE_TIME,
};
use crate::harness::{
    unreachable_endpoints, watch_events, DiscoveryService, FrontEndOptions, FrontEndProcess,
};
use crate::{ExperimentError, Sweep};
use std::time::Instant;

pub(super) fn changes(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for workers in [1_000, DEFAULT_WORKERS] {
        let mut rows = Vec::new();
        for &rate in sizes {
            let discovery = DiscoveryService::start(watch_events(
                &unreachable_endpoints(workers),
                MAX_ENDPOINTS_PER_EVENT,
            ))?;
            let told = FrontEndOptions {
                discovery: Some(discovery.address),
                seed,
                ..FrontEndOptions::default()
            };
            let mut program = FrontEndProcess::start(&told)?;
            listed(&mut program, workers)?;
            std::thread::sleep(SETTLE_TIME);
            let (list, before, since) = (discovery.bytes(), program.usage()?, Instant::now());
            let count = rate * MEASURED_TIME.as_secs();
            for n in 0..count {
                let due = since + MEASURED_TIME.mul_f64((n + 1) as f64 / count as f64);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                discovery.tell(2 + n, replaced(2 + n, n, workers));
            }
            let after = program.usage()?;
            listed(&mut program, 2 * count)?;
            let bytes = (discovery.bytes() - list) as f64;
            rows.push((
                rate,
                vec![
                    after.cpu_percent(&before),
                    after.core_thread_percent(&before),
                    bytes / count as f64,
                    bytes / MEASURED_TIME.as_secs_f64(),
                    mib(after.resident_kib) - mib(before.resident_kib),
                ],
            ));
        }
        let columns = vec![
            measured("% of a core"),
            measured("of it the core's thread"),
            exact("bytes a change"),
            exact("bytes/s"),
            measured("MiB grown in 10 s"),
        ];
        let title = format!(
            "List changes: one process, {workers} workers, each change an instance replaced"
        );
        sweeps.push(Sweep {
            title,
            varied: "changes a second",
            columns,
            rows,
        });
    }
    Ok(sweeps)
}
