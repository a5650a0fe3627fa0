//! The time that a request takes whose function no worker has loaded, measured with a real process.
use super::{measured, ms, quantile};
use crate::harness::{
    lock, spawn_thread, FrontEndOptions, FrontEndProcess, InferenceClient, WatchEvent,
};
use crate::simulated_workers::{FirstRequest, ServiceTimes, SimulatedWorkers};
use crate::{ExperimentError, Sweep};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Requests of one row.
const REQUESTS: u64 = 300;
/// Clients that send these requests, each with one request in flight.
const CLIENTS: u64 = 4;
/// Workers in the endpoint list.
const WORKERS: u64 = 1_000;
/// Time that a worker takes to serve a request once the function is loaded.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Time for the process to become idle after its start.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The response time of a cold start and its parts, in milliseconds.
struct ColdStart {
    /// From sending the request until the client has the response.
    total: f64,
    /// From the client to the worker: until the load order or, without one, the request has been received.
    outbound: f64,
    /// Whether it was received on a new connection.
    new_connection: bool,
    /// From the end of the load until the request was received; 0 without a load order.
    between: f64,
    /// From the worker's response until the client has it.
    inbound: f64,
}

impl ColdStart {
    /// The total without the load and the service time.
    fn front_end_part(&self) -> f64 {
        self.outbound + self.between + self.inbound
    }
}

pub(super) fn cold_start(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &load_ms in sizes {
        let served = measure(Duration::from_millis(load_ms), seed)?;
        rows.push((load_ms, figures(&served)));
    }
    Ok(vec![Sweep {
        title: format!(
            "A cold start on the wire: {REQUESTS} calls of new functions, {CLIENTS} at a time, call 5 ms"
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

/// Sends requests for new functions that take this long to load. Returns the cold starts that were served.
fn measure(load: Duration, seed: u64) -> Result<Vec<ColdStart>, ExperimentError> {
    let times = ServiceTimes {
        load,
        request: SERVICE_TIME,
    };
    let workers = SimulatedWorkers::start(WORKERS, times)?;
    let process = FrontEndProcess::start(&FrontEndOptions {
        known_events: vec![WatchEvent::complete(1, &workers.endpoints)],
        seed,
        ..FrontEndOptions::default()
    })?;
    std::thread::sleep(SETTLE_TIME);
    let (sender, cold_starts) = mpsc::channel();
    for client_index in 0..CLIENTS {
        let (counts, sender, address) = (workers.counts.clone(), sender.clone(), process.kserve);
        spawn_thread(move || {
            let Ok(mut client) = InferenceClient::connect(address) else {
                return;
            };
            for request in 0..REQUESTS / CLIENTS {
                let function = (client_index << 32 | request) + 1 + (seed << 40);
                let sent_at = Instant::now();
                let status = client.infer(function, load);
                let answered_at = Instant::now();
                let observed = lock(&counts.first_requests).get(&function).copied();
                if let (Ok(200), Some(observed)) = (status, observed) {
                    let _ = sender.send(parts(&observed, load, sent_at, answered_at));
                }
            }
        })?;
    }
    drop(sender);
    Ok(cold_starts.iter().collect())
}

/// The parts of a cold start, from the times that the client and the worker observed.
fn parts(
    observed: &FirstRequest,
    load: Duration,
    sent_at: Instant,
    answered_at: Instant,
) -> ColdStart {
    let mut between = 0.0;
    if observed.load_ordered {
        between = ms(observed.request_received_at - observed.received_at) - load.as_millis() as f64;
    }
    ColdStart {
        total: ms(answered_at - sent_at),
        outbound: ms(observed.received_at.saturating_duration_since(sent_at)),
        new_connection: observed.new_connection,
        between,
        inbound: ms(answered_at.saturating_duration_since(observed.answered_at)),
    }
}

fn figures(served: &[ColdStart]) -> Vec<f64> {
    let quantile_of = |part: f64, time: fn(&ColdStart) -> f64| {
        let mut values: Vec<f64> = served.iter().map(time).collect();
        quantile(&mut values, part)
    };
    let outbound_median = |new_connection: bool| {
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
        outbound_median(true),
        outbound_median(false),
        quantile_of(0.5, |start| start.between),
        quantile_of(0.5, |start| start.inbound),
        100.0 * new_connections as f64 / served.len().max(1) as f64,
        (REQUESTS - served.len() as u64) as f64,
    ]
}
