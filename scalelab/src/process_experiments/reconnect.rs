//! What a list read anew takes after its board was cut.
use super::{exact, listed, measured, ms, quantile, replaced, DEFAULT_WORKERS};
use crate::harness::{
    endpoint_json, unreachable_endpoints, wait_until, watch_event, DiscoveryService,
    FrontEndOptions, FrontEndProcess,
};
use crate::{ExperimentError, Sweep};
use std::time::{Duration, Instant};

/// The worker that shows in a log that what was told last has been taken.
fn marker(n: u64) -> (String, String) {
    let id = 0xF000_0000 + n;
    (
        endpoint_json(id, &format!("127.200.0.{n}:8443"), "ready"),
        format!("member s-{id:08x}: Ready"),
    )
}

/// What it took to have the whole list again.
#[derive(Clone, Copy, Debug)]
pub struct ResyncCost {
    pub bytes: u64,
    pub calls: u64,
    pub time: Duration,
    pub cpu_time: Duration,
}

/// Cuts the board of one process and has it tell the whole list of one worker more, after so many events that the
/// process missed.
///
/// # Errors
/// The process does not come up, or never has the list.
pub fn measure_resync(workers: u64, missed: u64, seed: u64) -> Result<ResyncCost, ExperimentError> {
    let mut list = unreachable_endpoints(workers);
    let discovery = DiscoveryService::start(vec![(1, watch_event(1, true, &list))])?;
    let told = FrontEndOptions {
        discovery: Some(discovery.address),
        seed,
        ..FrontEndOptions::default()
    };
    let mut program = FrontEndProcess::start(&told)?;
    listed(&mut program, workers)?;
    let (shown, says) = marker(1);
    list.push(shown);
    discovery.cut(vec![(1 + missed, watch_event(1 + missed, true, &list))]);
    wait_until(
        "the process has lost its board",
        Duration::from_millis(5),
        || discovery.rejected_connections() > 1,
    )?;
    let (bytes, calls, before, since) = (
        discovery.bytes(),
        discovery.calls(),
        program.usage()?,
        Instant::now(),
    );
    discovery.up();
    program.wait_for_log(&says)?;
    let (time, after) = (since.elapsed(), program.usage()?);
    let (bytes, calls) = (discovery.bytes() - bytes, discovery.calls() - calls);
    Ok(ResyncCost {
        bytes,
        calls,
        time,
        cpu_time: after.cpu_time - before.cpu_time,
    })
}

pub(super) fn anew(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &workers in sizes {
        let mut row = Vec::new();
        // One event missed, or five, so that the numbers show a gap.
        for missed in [1, 5] {
            let ResyncCost {
                bytes,
                calls,
                time,
                cpu_time,
            } = measure_resync(workers, missed, seed)?;
            row.extend([bytes as f64, calls as f64, ms(time), ms(cpu_time)]);
        }
        rows.push((workers, row));
    }
    let columns = vec![
        exact("bytes, one event missed"),
        exact("calls of the board"),
        measured("ms to have it"),
        measured("ms of processor"),
        exact("bytes, five events missed"),
        exact("calls of the board "),
        measured("ms to have it "),
        measured("ms of processor "),
    ];
    let title = "The whole list told anew after a cut board, one process".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "workers",
        columns,
        rows,
    }])
}

pub(super) fn redial(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for (whole, title) in [
        (false, "A cut board that tells what was missed; 4,000 workers, 10 more changes within a second"),
        (true, "A cut board that tells the whole list anew; 4,000 workers, 10 more changes within a second"),
    ] {
        let mut rows = Vec::new();
        for &processes in sizes {
            let mut list = unreachable_endpoints(DEFAULT_WORKERS);
            let discovery = DiscoveryService::start(vec![(1, watch_event(1, true, &list))])?;
            let told = |index| FrontEndOptions {
                discovery: Some(discovery.address),
                index,
                seed: seed + index as u64,
                known: (1, vec![watch_event(1, true, &list)]),
                ..FrontEndOptions::default()
            };
            let mut programs =
                (0..processes as usize).map(|i| FrontEndProcess::spawn(&told(i))).collect::<Result<Vec<_>, _>>()?;
            for program in &mut programs {
                program.wait_for_listeners()?;
                listed(program, DEFAULT_WORKERS)?;
            }
            wait_until("all hang on the board", Duration::from_millis(20), || discovery.calls() >= processes)?;
            let missed: Vec<_> = (0..5).map(|n| (2 + n, replaced(2 + n, n, DEFAULT_WORKERS))).collect();
            list[..5].clone_from_slice(
                &(0..5)
                    .map(|n| endpoint_json(n + 0x10_0000, &format!("127.1.0.{n}:8443"), "ready"))
                    .collect::<Vec<_>>(),
            );
            discovery.cut(if whole { vec![(6, watch_event(6, true, &list))] } else { missed });
            let lost = || discovery.rejected_connections() > 3 * processes;
            wait_until("all have lost their board", Duration::from_millis(20), lost)?;
            let before = programs.iter().map(FrontEndProcess::usage).collect::<Result<Vec<_>, _>>()?;
            let (bytes, calls, since) = (discovery.bytes(), discovery.calls(), Instant::now());
            discovery.up();
            for n in 0..10 {
                let due = since + Duration::from_millis(100 * (n + 1));
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let last = (n == 9).then(|| watch_event(7 + n, false, &[marker(1).0]));
                discovery.tell(7 + n, last.unwrap_or_else(|| replaced(7 + n, 100 + n, DEFAULT_WORKERS)));
            }
            let says = marker(1).1;
            for program in &mut programs {
                program.wait_for_log(&says)?;
            }
            let time = since.elapsed();
            let mut spent = Vec::new();
            for (program, before) in programs.iter().zip(&before) {
                spent.push(ms(program.usage()?.cpu_time - before.cpu_time));
            }
            let each = |all: u64| all as f64 / processes as f64;
            rows.push((
                processes,
                vec![
                    each(discovery.bytes() - bytes),
                    each(discovery.calls() - calls),
                    ms(time) - 1000.0,
                    quantile(&mut spent, 0.5),
                    quantile(&mut spent, 1.0),
                ],
            ));
        }
        let columns = vec![
            measured("bytes each"),
            measured("calls of the board each"),
            measured("ms from the last change to the last that has it"),
            measured("ms of processor each, median"),
            measured("most"),
        ];
        sweeps.push(Sweep { title: title.to_owned(), varied: "processes", columns, rows });
    }
    Ok(sweeps)
}
