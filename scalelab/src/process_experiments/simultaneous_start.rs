//! What starts at once take.
use super::{measured, mib, ms, quantile, DEFAULT_WORKERS};
use crate::harness::{
    self, unreachable_endpoints, wait_until, watch_event, DiscoveryService, FrontEndOptions,
    FrontEndProcess,
};
use crate::{ExperimentError, Sweep};
use std::time::Duration;

pub(super) fn restart(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for (known, title) in [
        (
            false,
            "Processes started at once; the board tells 4,000 workers; one core for all",
        ),
        (
            true,
            "Processes started at once; their configuration tells 4,000 workers; one core for all",
        ),
    ] {
        let mut rows = Vec::new();
        for &processes in sizes {
            let list = watch_event(1, true, &unreachable_endpoints(DEFAULT_WORKERS));
            let discovery = DiscoveryService::start(vec![(1, list.clone())])?;
            let told = |index| FrontEndOptions {
                discovery: Some(discovery.address),
                index,
                seed: seed + index as u64,
                known: if known {
                    (1, vec![list.clone()])
                } else {
                    (0, Vec::new())
                },
                ..FrontEndOptions::default()
            };
            let programs = (0..processes as usize)
                .map(|i| FrontEndProcess::spawn(&told(i)))
                .collect::<Result<Vec<_>, _>>()?;
            let (done, times) = std::sync::mpsc::channel();
            let waits: Vec<_> = programs
                .into_iter()
                .map(|mut program| {
                    let done = done.clone();
                    move || {
                        let up = program.wait_for_listeners().and_then(|()| {
                            wait_until("ready", Duration::from_millis(20), || program.is_ready())?;
                            Ok((ms(program.started_at.elapsed()), program.usage()?))
                        });
                        let _ = done.send(up.map(|(time, usage)| (time, usage, program)));
                    }
                })
                .collect();
            for wait in waits {
                harness::thread(wait)?;
            }
            drop(done);
            let up = times.iter().collect::<Result<Vec<_>, _>>()?;
            let mut waited: Vec<f64> = up.iter().map(|u| u.0).collect();
            let mut spent: Vec<f64> = up.iter().map(|u| ms(u.1.cpu_time)).collect();
            let mut most: Vec<f64> = up.iter().map(|u| mib(u.1.peak_resident_kib)).collect();
            rows.push((
                processes,
                vec![
                    quantile(&mut waited, 0.5),
                    quantile(&mut waited, 0.9),
                    quantile(&mut waited, 1.0),
                    quantile(&mut spent, 0.5),
                    quantile(&mut most, 1.0),
                ],
            ));
        }
        let columns = vec![
            measured("ms from exec to ready, median"),
            measured("nine in ten"),
            measured("last"),
            measured("ms of processor each"),
            measured("most RSS of one, MiB"),
        ];
        sweeps.push(Sweep {
            title: title.to_owned(),
            varied: "processes at once",
            columns,
            rows,
        });
    }
    Ok(sweeps)
}
