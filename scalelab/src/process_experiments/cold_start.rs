//! What a cold start takes on the wire.
use super::{measured, ms, quantile};
use crate::harness::{self, watch_event, FrontEndOptions, FrontEndProcess};
use crate::simulated_workers::{ServiceTimes, SimulatedWorkers};
use crate::{ExperimentError, Sweep};
use std::time::{Duration, Instant};

/// Calls of a cold start's test, and how many are out at a time.
const CALLS: u64 = 300;
const CALLERS: u64 = 4;

/// The parts of a cold start, ms.
struct Parts {
    whole: f64,
    /// To the worker, with a new connection or on one that stands; from the order's answer to the call; back.
    there: f64,
    new: bool,
    between: f64,
    back: f64,
}

pub(super) fn cold(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &load in sizes {
        let work = ServiceTimes {
            load: Duration::from_millis(load),
            call: Duration::from_millis(5),
        };
        let simulated = SimulatedWorkers::start(1_000, work)?;
        let told = FrontEndOptions {
            known: (1, vec![watch_event(1, true, &simulated.list)]),
            seed,
            ..FrontEndOptions::default()
        };
        let program = FrontEndProcess::start(&told)?;
        std::thread::sleep(Duration::from_millis(500));
        let (ended, parts) = std::sync::mpsc::channel();
        for caller in 0..CALLERS {
            let (tally, ended, to) = (simulated.tally.clone(), ended.clone(), program.kserve);
            harness::thread(move || {
                let Ok(mut stream) = harness::InferenceClient::connect(to) else {
                    return;
                };
                for n in 0..CALLS / CALLERS {
                    let function = (caller << 32 | n) + 1 + (seed << 40);
                    let sent = Instant::now();
                    let status = stream.call(function, work.load);
                    let (end, seen) = (
                        Instant::now(),
                        harness::lock(&tally.seen).get(&function).copied(),
                    );
                    let part = seen
                        .filter(|_| matches!(status, Ok(200)))
                        .map(|seen| Parts {
                            whole: ms(end - sent),
                            there: ms(seen.came.saturating_duration_since(sent)),
                            new: seen.first,
                            between: if seen.ordered {
                                ms(seen.called - seen.came) - load as f64
                            } else {
                                0.0
                            },
                            back: ms(end.saturating_duration_since(seen.answered)),
                        });
                    let _ = ended.send(part);
                }
            })?;
        }
        drop(ended);
        let all: Vec<Option<Parts>> = parts.iter().collect();
        let served: Vec<&Parts> = all.iter().flatten().collect();
        let of = |part: f64, f: &dyn Fn(&Parts) -> f64| {
            quantile(&mut served.iter().map(|p| f(p)).collect::<Vec<_>>(), part)
        };
        let there = |new: bool| {
            quantile(
                &mut served
                    .iter()
                    .filter(|p| p.new == new)
                    .map(|p| p.there)
                    .collect::<Vec<_>>(),
                0.5,
            )
        };
        let own = |p: &Parts| p.there + p.between + p.back;
        rows.push((
            load,
            vec![
                of(0.5, &|p| p.whole),
                of(0.99, &|p| p.whole),
                of(0.5, &own),
                of(0.99, &own),
                there(true),
                there(false),
                of(0.5, &|p| p.between),
                of(0.5, &|p| p.back),
                100.0 * served.iter().filter(|p| p.new).count() as f64 / served.len().max(1) as f64,
                (CALLS - served.len() as u64) as f64,
            ],
        ));
    }
    let columns = vec![
        measured("whole p50, ms"),
        measured("whole p99"),
        measured("front end's part p50"),
        measured("front end's part p99"),
        measured("there by a new connection p50"),
        measured("there by one that stood p50"),
        measured("order's answer to call p50"),
        measured("back p50"),
        measured("% by a new connection"),
        measured("not served"),
    ];
    let title = format!(
        "A cold start on the wire: {CALLS} calls of new functions, {CALLERS} at a time, call 5 ms"
    );
    Ok(vec![Sweep {
        title,
        varied: "load, ms",
        columns,
        rows,
    }])
}
