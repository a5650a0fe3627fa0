//! The platform's rule on draining workers.
use super::{ArrivalKind, Drain, SimulatedWorker};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What discovery has to tell counts as notified so long after it happened, received or not.
pub(crate) const NOTIFIED_AFTER: Duration = Duration::from_secs(7);
/// Each time limit on sockets is so much longer.
const SLACK: Duration = Duration::from_millis(50);

/// The rule on cold workers, as the deployment's settings give it.
const COLD_FROM: f64 = 0.2;
const FALL_MULTIPLE: f64 = 2.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
const WARM_WITHIN: Duration = Duration::from_secs(12);

/// When drains count as notified and how long work may still be sent then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainLimits {
    /// After the drain.
    pub(crate) notified_after: Duration,
    pub(crate) grace: Duration,
}

impl DrainLimits {
    /// The protocol page's clock for what is never received.
    pub(crate) fn without_notice(grace_ms: u64) -> DrainLimits {
        DrainLimits {
            notified_after: NOTIFIED_AFTER,
            grace: Duration::from_millis(grace_ms),
        }
    }
}

/// New work that came to a draining worker after its drain counted as notified and the grace was over.
pub(crate) fn late_arrivals(
    workers: &[SimulatedWorker],
    limits_of: impl Fn(&Drain) -> DrainLimits,
    start: Instant,
) -> Vec<String> {
    let mut late = Vec::new();
    for worker in workers {
        let arrivals = worker.arrivals();
        for drain in worker.drains() {
            let limits = limits_of(&drain);
            let last = drain.began_at + limits.notified_after + limits.grace + SLACK;
            let end = drain.ended_at.unwrap_or_else(Instant::now);
            for arrival in &arrivals {
                if arrival.at > last && arrival.at < end {
                    let what = match &arrival.kind {
                        ArrivalKind::Call { id, .. } => format!("call {id:016x}"),
                        ArrivalKind::LoadOrder => "order to load".to_owned(),
                    };
                    late.push(format!(
                        "{} at {:.3}: {what}, {:.3} after its drain at {:.3}",
                        worker.id,
                        (arrival.at - start).as_secs_f64(),
                        (arrival.at - drain.began_at).as_secs_f64(),
                        (drain.began_at - start).as_secs_f64()
                    ));
                }
            }
        }
    }
    late
}

/// Calls with an idempotency key that more workers took than their effect allows: one where none may repeat, else those
/// of one zone.
pub(crate) fn forbidden_duplicates(workers: &[SimulatedWorker], effect: &str) -> Vec<String> {
    let mut taken: BTreeMap<u64, Vec<&'static str>> = BTreeMap::new();
    for worker in workers {
        for arrival in worker.arrivals() {
            if let (ArrivalKind::Call { id, key: Some(_) }, true) = (arrival.kind, arrival.accepted)
            {
                taken.entry(id).or_default().push(worker.zone);
            }
        }
    }
    let is_allowed = |zones: &[&str]| match effect {
        "fragile" => zones.len() == 1,
        _ => zones.iter().all(|zone| *zone == zones[0]),
    };
    taken
        .iter()
        .filter(|(_, zones)| !is_allowed(zones))
        .map(|(id, zones)| format!("call {id:016x} taken in {zones:?}"))
        .collect()
}

/// The most calls that came in any second to a worker's last process, once its start counts as notified, and what the rule on
/// cold workers allows in that second, where the first is beyond the second. `capacity_per_s` is what the worker can do
/// once it is warm.
pub(crate) fn cold_overload(
    worker: &SimulatedWorker,
    notified_at: Instant,
    capacity_per_s: f64,
) -> Option<(usize, f64)> {
    let start = *worker.starts().last()?;
    let arrivals = worker.arrivals();
    let calls: Vec<Duration> = arrivals
        .iter()
        .filter(|arrival| arrival.at >= notified_at && arrival.kind != ArrivalKind::LoadOrder)
        .map(|arrival| arrival.at - start)
        .filter(|age| *age < WARM_WITHIN)
        .collect();
    calls
        .iter()
        .enumerate()
        .map(|(first, &begin)| {
            let end = begin + OVERLOAD_WINDOW;
            let count = calls[first..].iter().filter(|age| **age < end).count();
            let warm_part = end.as_secs_f64() / WARM_WITHIN.as_secs_f64();
            let share = COLD_FROM + (1.0 - COLD_FROM) * warm_part.min(1.0);
            let requests = FALL_MULTIPLE * share * capacity_per_s * OVERLOAD_WINDOW.as_secs_f64();
            (count, requests + 3.0 * requests.sqrt() + 3.0)
        })
        .filter(|(count, allowed)| *count as f64 > *allowed)
        .max_by_key(|(count, _)| *count)
}
