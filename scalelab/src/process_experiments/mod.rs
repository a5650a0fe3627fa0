//! Experiments on real processes on loopback: an idle process, endpoint changes, reading the endpoint list again,
//! reconnecting, starting at once, gossip, and cold starts. In titles and column names the board is the discovery
//! service, a call is a request (of the board: a watch), and an order is a load order.
mod cold_start;
mod endpoint_changes;
mod fleet;
mod idle;
mod reconnect;
mod resync;
mod simultaneous_start;

pub use resync::{measure_resync, ResyncCost};

use crate::harness::{
    endpoint_json, unreachable_address, wait_until, FrontEndProcess, ResourceUsage, WatchEvent,
};
use crate::{Column, Experiment, ExperimentError};
use cold_start::cold_start;
use endpoint_changes::endpoint_changes;
use fleet::fleet;
use idle::idle;
use reconnect::reconnect;
use resync::resync;
use simultaneous_start::simultaneous_start;
use std::time::{Duration, Instant};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "idle",
        about: "One process without requests, against the workers that the discovery service lists (4,000 per event).",
        sizes: &[500, 1_000, 2_000, 4_000, 10_000],
        bound: 20_000,
        run: idle,
    },
    Experiment {
        name: "changes",
        about: "One process without requests, against the workers replaced per second, with 1,000 and 4,000 workers listed.",
        sizes: &[1, 5, 20, 80],
        bound: 200,
        run: endpoint_changes,
    },
    Experiment {
        name: "anew",
        about: "One process that reads the whole endpoint list again after its discovery service was interrupted, against the workers in it.",
        sizes: &[1_000, 2_000, 4_000, 10_000, 20_000],
        bound: 20_000, // the list is one watch event, of which the limit is a 64th of the memory limit: 3 MiB
        run: resync,
    },
    Experiment {
        name: "redial",
        about: "Processes that all reconnect after their discovery service was interrupted, while its list of 4,000 workers changes, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: reconnect,
    },
    Experiment {
        name: "restart",
        about: "Processes started at once with one discovery service that lists 4,000 workers, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: simultaneous_start,
    },
    Experiment {
        name: "fleet",
        about: "Real processes that gossip (a probe every 0.5 s, 100 workers listed), against their number.",
        sizes: &[10, 30, 60, 120],
        bound: 200, // some 10 MB each; together at most half of the machine's memory
        run: fleet,
    },
    Experiment {
        name: "cold",
        about: "300 requests, each for a function that no worker has loaded, against the load time in ms; 1,000 workers.",
        sizes: &[50, 100, 200, 400],
        bound: 2_000,
        run: cold_start,
    },
];

/// Endpoints in one watch event: 4,000 take 0.57 MB, and a process accepts events of 1 MiB at any memory limit.
pub const MAX_ENDPOINTS_PER_EVENT: usize = 4_000;
/// Length of a measurement.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Time for a process that has just read the endpoint list to become idle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Workers in the endpoint list of experiments that vary something else.
const DEFAULT_WORKERS: u64 = 4_000;
/// Added to a worker's id at each replacement; above the number of workers in any list, so that ids stay unique.
const REPLACEMENT_ID_STEP: u64 = 0x10_0000;
/// Id of marker endpoint 0; above the ids of all other workers.
const FIRST_MARKER_ID: u64 = 0xF000_0000;

fn measured(name: &'static str) -> Column {
    Column { name, exact: false }
}

fn exact(name: &'static str) -> Column {
    Column { name, exact: true }
}

fn mib(kib: u64) -> f64 {
    kib as f64 / 1024.0
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// The quantile `part`, from 0 to 1, of the values, which it sorts; 0 if there are none.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (last as f64 * part).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

/// Waits until the process has logged this many endpoint updates since its log was last read.
fn wait_for_endpoints(
    process: &mut FrontEndProcess,
    endpoints: u64,
) -> Result<(), ExperimentError> {
    let mut seen = 0;
    wait_until(
        "all endpoints to be logged",
        Duration::from_millis(10),
        || {
            let lines = process.new_log_lines();
            seen += lines
                .lines()
                .filter(|line| line.starts_with("endpoint "))
                .count() as u64;
            seen >= endpoints
        },
    )
}

fn sleep_until(due: Instant) {
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}

/// The resource usage of each process.
fn usages(processes: &[FrontEndProcess]) -> Result<Vec<ResourceUsage>, ExperimentError> {
    processes.iter().map(FrontEndProcess::usage).collect()
}

/// An event that replaces one worker of a list of `workers` by a new one at the same address. `replacement` numbers
/// these events from 0 and determines the worker: each in turn.
fn replacement_event(revision: u64, replacement: u64, workers: u64) -> WatchEvent {
    let round = replacement / workers;
    let position = replacement % workers;
    let address = unreachable_address(position);
    let id = |round: u64| position + round * REPLACEMENT_ID_STEP;
    let endpoints = [
        endpoint_json(id(round), &address, "gone"),
        endpoint_json(id(round + 1), &address, "ready"),
    ];
    WatchEvent::change(revision, &endpoints)
}

/// An endpoint that an experiment adds with its last event: its log line shows that a process has handled that event.
struct MarkerEndpoint {
    /// Its entry for the endpoint list, in JSON.
    endpoint: String,
    /// What the process logs when it adds the endpoint.
    log_line: String,
}

impl MarkerEndpoint {
    fn new(number: u64) -> MarkerEndpoint {
        let id = FIRST_MARKER_ID + number;
        MarkerEndpoint {
            endpoint: endpoint_json(id, &format!("127.200.0.{number}:8443"), "ready"),
            log_line: format!("endpoint s-{id:08x}: Ready"),
        }
    }
}
