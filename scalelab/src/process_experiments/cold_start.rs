//! What a request pays whose function is loaded nowhere, on the wire.
use super::{measured, ms, quantile};
use crate::harness::{
    lock, spawn_thread, FrontEndOptions, FrontEndProcess, InferenceClient, WatchEvent,
};
use crate::simulated_workers::{FirstRequest, ServiceTimes, SimulatedWorkers};
use crate::{ExperimentError, Sweep};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Requests of one row, and how many are in flight at a time.
const CALLS: u64 = 300;
const CALLERS: u64 = 4;
const WORKERS: u64 = 1_000;
/// Time of the work itself.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// What the process is given to become idle after its start.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The parts of a cold start, ms.
struct ColdStart {
    total: f64,
    /// From the client to the worker.
    outbound: f64,
    /// Whether that took a new connection.
    new_connection: bool,
    /// From the answer to a load order until the request came.
    between: f64,
    /// From the worker to the client.
    inbound: f64,
}

impl ColdStart {
    fn front_end_part(&self) -> f64 {
        self.outbound + self.between + self.inbound
    }
}

pub(super) fn cold(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &load_ms in sizes {
        let served = measure(Duration::from_millis(load_ms), seed)?;
        rows.push((load_ms, figures(&served)));
    }
    Ok(vec![Sweep {
        title: format!(
            "A cold start on the wire: {CALLS} calls of new functions, {CALLERS} at a time, call 5 ms"
        ),
        varied: "load, ms",
        columns: vec![
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
        ],
        rows,
    }])
}

/// Calls new functions whose load takes this long; those that were served.
fn measure(load: Duration, seed: u64) -> Result<Vec<ColdStart>, ExperimentError> {
    let times = ServiceTimes {
        load,
        call: SERVICE_TIME,
    };
    let workers = SimulatedWorkers::start(WORKERS, times)?;
    let process = FrontEndProcess::start(&FrontEndOptions {
        known_events: vec![WatchEvent::complete(1, &workers.list)],
        seed,
        ..FrontEndOptions::default()
    })?;
    std::thread::sleep(SETTLE_TIME);
    let (sender, cold_starts) = mpsc::channel();
    for caller in 0..CALLERS {
        let (counts, sender, address) = (workers.counts.clone(), sender.clone(), process.kserve);
        spawn_thread(move || {
            let Ok(mut client) = InferenceClient::connect(address) else {
                return;
            };
            for call in 0..CALLS / CALLERS {
                let function = (caller << 32 | call) + 1 + (seed << 40);
                let sent_at = Instant::now();
                let status = client.call(function, load);
                let answered_at = Instant::now();
                let seen = lock(&counts.first_requests).get(&function).copied();
                if let (Ok(200), Some(seen)) = (status, seen) {
                    let _ = sender.send(parts(&seen, load, sent_at, answered_at));
                }
            }
        })?;
    }
    drop(sender);
    Ok(cold_starts.iter().collect())
}

fn parts(seen: &FirstRequest, load: Duration, sent_at: Instant, answered_at: Instant) -> ColdStart {
    let mut between = 0.0;
    if seen.ordered {
        between = ms(seen.called_at - seen.received_at) - load.as_millis() as f64;
    }
    ColdStart {
        total: ms(answered_at - sent_at),
        outbound: ms(seen.received_at.saturating_duration_since(sent_at)),
        new_connection: seen.new_connection,
        between,
        inbound: ms(answered_at.saturating_duration_since(seen.answered_at)),
    }
}

fn figures(served: &[ColdStart]) -> Vec<f64> {
    let quantile_of = |part: f64, figure: fn(&ColdStart) -> f64| {
        let mut values: Vec<f64> = served.iter().map(figure).collect();
        quantile(&mut values, part)
    };
    let outbound = |new_connection: bool| {
        let starts = served
            .iter()
            .filter(|start| start.new_connection == new_connection);
        let mut values: Vec<f64> = starts.map(|start| start.outbound).collect();
        quantile(&mut values, 0.5)
    };
    let new_connections = served.iter().filter(|start| start.new_connection).count();
    vec![
        quantile_of(0.5, |start| start.total),
        quantile_of(0.99, |start| start.total),
        quantile_of(0.5, ColdStart::front_end_part),
        quantile_of(0.99, ColdStart::front_end_part),
        outbound(true),
        outbound(false),
        quantile_of(0.5, |start| start.between),
        quantile_of(0.5, |start| start.inbound),
        100.0 * new_connections as f64 / served.len().max(1) as f64,
        (CALLS - served.len() as u64) as f64,
    ]
}
