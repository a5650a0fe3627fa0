//! Experiments on real processes on loopback: an idle process, endpoint changes, a list read again, starts, a fleet that
//! gossips, cold starts.
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
use cold_start::cold;
use endpoint_changes::changes;
use fleet::fleet;
use idle::idle;
use reconnect::redial;
use resync::anew;
use simultaneous_start::restart;
use std::time::{Duration, Instant};

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "idle",
        about: "One process that nobody calls, against the workers its board has told (in events of 4,000).",
        sizes: &[500, 1_000, 2_000, 4_000, 10_000],
        bound: 20_000,
        run: idle,
    },
    Experiment {
        name: "changes",
        about: "One process that nobody calls, against the instances replaced a second, before 1,000 and 4,000 workers.",
        sizes: &[1, 5, 20, 80],
        bound: 200,
        run: changes,
    },
    Experiment {
        name: "anew",
        about: "One process whose board was cut and tells the whole list anew, against the workers in it.",
        sizes: &[1_000, 2_000, 4_000, 10_000, 20_000],
        bound: 20_000, // one event of the board is at most a 64th of the memory limit: 3 MiB
        run: anew,
    },
    Experiment {
        name: "redial",
        about: "Processes whose board was cut and that all read it anew while it changes, 4,000 workers, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: redial,
    },
    Experiment {
        name: "restart",
        about: "Processes started at once before one board of 4,000 workers, against their number.",
        sizes: &[1, 10, 30, 79],
        bound: 100,
        run: restart,
    },
    Experiment {
        name: "fleet",
        about: "Real processes that gossip (a probe each 0.5 s, 100 workers listed), against their number.",
        sizes: &[10, 30, 60, 120],
        bound: 200, // some 10 MB each, and half of the machine at the most
        run: fleet,
    },
    Experiment {
        name: "cold",
        about: "300 calls, each of a function loaded nowhere, against the time in ms that its load takes; 1,000 workers.",
        sizes: &[50, 100, 200, 400],
        bound: 2_000,
        run: cold,
    },
];

/// Endpoints in one watch event: 4,000 take 0.57 MB, and 1 MiB is the most.
pub const MAX_ENDPOINTS_PER_EVENT: usize = 4_000;
/// What processor time is taken over.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// What a process that has just read its list is given to become idle.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The list of the experiments that vary something else, in workers.
const DEFAULT_WORKERS: u64 = 4_000;
/// Added to a worker's id by each replacement, so that ids stay different.
const REPLACEMENT_ID_STEP: u64 = 0x10_0000;
/// Ids of the workers that mark the end of a list.
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

/// The value below which this part of the values lies; sorts them; 0 of none.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (last as f64 * part).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

/// Waits until a process has taken this many endpoints.
fn wait_for_endpoints(
    process: &mut FrontEndProcess,
    endpoints: u64,
) -> Result<(), ExperimentError> {
    let mut seen = 0;
    wait_until("the whole list is taken", Duration::from_millis(10), || {
        let lines = process.new_log_lines();
        seen += lines
            .lines()
            .filter(|line| line.starts_with("endpoint "))
            .count() as u64;
        seen >= endpoints
    })
}

fn sleep_until(due: Instant) {
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}

/// What each process has used.
fn usages(processes: &[FrontEndProcess]) -> Result<Vec<ResourceUsage>, ExperimentError> {
    processes.iter().map(FrontEndProcess::usage).collect()
}

/// The event in which a worker of a list of `workers` gives way to a new one at its address; `replacement` counts
/// these events from 0.
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

/// A worker whose line in a log shows that the last event sent has been taken.
struct MarkerEndpoint {
    endpoint: String,
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
