//! The platform's rule on draining workers.
use super::{ArrivalKind, StandInWorker};
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
pub(crate) fn late_arrivals(workers: &[StandInWorker], told: Told, start: Instant) -> Vec<String> {
    let mut late = Vec::new();
    for worker in workers {
        let arrivals = worker.arrivals();
        for drain in worker.drains() {
            let last = drain.began_at + told.after + told.grace + SLACK;
            let end = drain.ended_at.unwrap_or_else(Instant::now);
            for arrival in &arrivals {
                if arrival.at > last && arrival.at < end {
                    let what = match &arrival.kind {
                        ArrivalKind::Call { id, .. } => format!("call {id:016x}"),
                        ArrivalKind::LoadOrder => "order to load".to_owned(),
                    };
                    late.push(format!(
                        "{} at {:.3}: {what}, {:.3} after its drain",
                        worker.id,
                        (arrival.at - start).as_secs_f64(),
                        (arrival.at - drain.began_at).as_secs_f64()
                    ));
                }
            }
        }
    }
    late
}
