//! What an idle process takes.
use super::{
    exact, listed, measured, mib, ms, over, MAX_ENDPOINTS_PER_EVENT, MEASURED_TIME, SETTLE_TIME,
};
use crate::harness::{
    unreachable_endpoints, watch_events, DiscoveryService, FrontEndOptions, FrontEndProcess,
};
use crate::{ExperimentError, Sweep};

pub(super) fn idle(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &workers in sizes {
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
        let (whole, started) = (program.started_at.elapsed(), program.usage()?);
        std::thread::sleep(SETTLE_TIME);
        let (before, after) = over(&program, MEASURED_TIME)?;
        rows.push((
            workers,
            vec![
                after.cpu_percent(&before),
                after.core_thread_percent(&before),
                mib(after.resident_kib),
                discovery.bytes() as f64,
                ms(whole),
                ms(started.cpu_time),
            ],
        ));
    }
    let columns = vec![
        measured("% of a core, idle"),
        measured("of it the core's thread"),
        measured("RSS, MiB"),
        exact("bytes of the list at a start"),
        measured("ms from exec to the whole list"),
        measured("ms of processor to there"),
    ];
    let title = "An idle process against the workers listed; 10 s each, nobody calls".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "workers",
        columns,
        rows,
    }])
}
