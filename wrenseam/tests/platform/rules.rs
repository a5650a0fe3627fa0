//! The platform's rule on draining workers.
use super::{ArrivalKind, Drain, StandInWorker};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What discovery has to tell counts as told so long after it happened, heard or not.
pub(crate) const TOLD_AFTER: Duration = Duration::from_secs(7);
/// Each time limit on sockets is so much longer.
const SLACK: Duration = Duration::from_millis(50);

/// When drains count as told and how long work may still be sent then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    /// After the drain.
    pub(crate) after: Duration,
    pub(crate) grace: Duration,
}

impl Told {
    /// The protocol page's clock for what is never heard.
    pub(crate) fn unheard(grace_ms: u64) -> Told {
        Told {
            after: TOLD_AFTER,
            grace: Duration::from_millis(grace_ms),
        }
    }
}

/// New work that came to a draining worker after its drain counted as told and the grace was over.
pub(crate) fn late_arrivals(
    workers: &[StandInWorker],
    told: impl Fn(&Drain) -> Told,
    start: Instant,
) -> Vec<String> {
    let mut late = Vec::new();
    for worker in workers {
        let arrivals = worker.arrivals();
        for drain in worker.drains() {
            let told = told(&drain);
            let last = drain.began_at + told.after + told.grace + SLACK;
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
pub(crate) fn repeats(workers: &[StandInWorker], effect: &str) -> Vec<String> {
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
