//! Checks of the platform's rules: no new work for draining workers, no forbidden duplicates of a call, and no overload
//! of workers in slow start.
use super::{ArrivalKind, Drain, SimulatedWorker};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time from a change of the endpoint list until it counts as notified to the front ends, even to those that did not
/// receive it.
pub(crate) const NOTIFIED_AFTER: Duration = Duration::from_secs(7);
/// Added to each time limit that is checked on sockets.
const SLACK: Duration = Duration::from_millis(50);

/// Fraction of its full capacity that a worker has when it starts: `cold-from` in `Deployment::settings`.
const SLOW_START_INITIAL_SHARE: f64 = 0.2;
/// A worker in slow start may not be sent more than this multiple of its capacity: `fall-multiple` in
/// `Deployment::settings`.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Time over which the calls to a worker in slow start are counted: `fall` in `Deployment::settings`.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// Time from a worker's start until it has its full capacity: `warm-within` in `Deployment::settings`.
const SLOW_START_DURATION: Duration = Duration::from_secs(12);

/// Until when new work may be sent to a draining worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainLimits {
    /// Time from the start of the drain until it counts as notified to the front ends.
    pub(crate) notified_after: Duration,
    /// Time after that in which new work may still arrive.
    pub(crate) grace: Duration,
}

impl DrainLimits {
    /// The limits for a drain whose notice no front end receives, as the protocol page states them.
    pub(crate) fn without_notice(grace_ms: u64) -> DrainLimits {
        DrainLimits {
            notified_after: NOTIFIED_AFTER,
            grace: Duration::from_millis(grace_ms),
        }
    }
}

/// Describes the new work that arrived at draining workers after the limits of their drains. Times in the texts are in
/// seconds since `start`.
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
            let latest = drain.began_at + limits.notified_after + limits.grace + SLACK;
            let end = drain.ended_at.unwrap_or_else(Instant::now);
            for arrival in &arrivals {
                if arrival.at > latest && arrival.at < end {
                    let what = match &arrival.kind {
                        ArrivalKind::Call { id, .. } => format!("call {id:016x}"),
                        ArrivalKind::LoadOrder => "load order".to_owned(),
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

/// Describes the calls with an idempotency key that more workers accepted than the class's `effect` in the settings
/// allows. With `fragile` only one worker may accept a call; otherwise several may if they are in the same zone.
pub(crate) fn forbidden_duplicates(workers: &[SimulatedWorker], effect: &str) -> Vec<String> {
    let mut accepted_in: BTreeMap<u64, Vec<&'static str>> = BTreeMap::new();
    for worker in workers {
        for arrival in worker.arrivals() {
            if let (ArrivalKind::Call { id, key: Some(_) }, true) = (arrival.kind, arrival.accepted)
            {
                accepted_in.entry(id).or_default().push(worker.zone);
            }
        }
    }
    let is_allowed = |zones: &[&str]| match effect {
        "fragile" => zones.len() == 1,
        _ => zones.iter().all(|zone| *zone == zones[0]),
    };
    accepted_in
        .iter()
        .filter(|(_, zones)| !is_allowed(zones))
        .map(|(id, zones)| format!("call {id:016x} accepted by workers in the zones {zones:?}"))
        .collect()
}

/// Checks the calls to a worker's last process from `notified_at`, when its start counts as notified, to the end of its
/// slow start. If windows of `OVERLOAD_WINDOW` have too many calls, returns the calls in the busiest and the number
/// allowed in it, otherwise `None`. `capacity_per_s` is the worker's full capacity, in calls per second.
pub(crate) fn cold_overload(
    worker: &SimulatedWorker,
    notified_at: Instant,
    capacity_per_s: f64,
) -> Option<(usize, f64)> {
    let started_at = *worker.starts().last()?;
    let arrivals = worker.arrivals();
    let call_ages: Vec<Duration> = arrivals
        .iter()
        .filter(|arrival| arrival.at >= notified_at && arrival.kind != ArrivalKind::LoadOrder)
        .map(|arrival| arrival.at - started_at)
        .filter(|age| *age < SLOW_START_DURATION)
        .collect();
    call_ages
        .iter()
        .enumerate()
        .map(|(first, &begin)| {
            let end = begin + OVERLOAD_WINDOW;
            let count = call_ages[first..].iter().filter(|age| **age < end).count();
            let progress = end.as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
            let share =
                SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * progress.min(1.0);
            let expected =
                OVERLOAD_MULTIPLE * share * capacity_per_s * OVERLOAD_WINDOW.as_secs_f64();
            // Random arrivals vary: three standard deviations and three calls are allowed on top.
            (count, expected + 3.0 * expected.sqrt() + 3.0)
        })
        .filter(|(count, allowed)| *count as f64 > *allowed)
        .max_by_key(|(count, _)| *count)
}
