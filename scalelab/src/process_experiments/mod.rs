//! Real processes on loopback: what an idle one takes, list changes, a list read anew, starts, a fleet, cold starts.
mod cold_start;
mod endpoint_changes;
mod fleet;
mod idle;
mod reconnect;
mod simultaneous_start;

pub use reconnect::{measure_resync, ResyncCost};

use crate::harness::{endpoint_json, wait_until, watch_event, FrontEndProcess, ResourceUsage};
use crate::{Column, Experiment, ExperimentError};
use cold_start::cold;
use endpoint_changes::changes;
use fleet::fleet;
use idle::idle;
use reconnect::{anew, redial};
use simultaneous_start::restart;
use std::time::Duration;

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

/// Instances in one event of the discovery: 4,000 take 0.57 MB, and 1 MiB is the most.
pub const MAX_ENDPOINTS_PER_EVENT: usize = 4_000;
const MEASURED_TIME: Duration = Duration::from_secs(10); // what processor time is taken over
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The list of the tests that vary something else, in workers.
const DEFAULT_WORKERS: u64 = 4_000;

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

/// A part of some times, ms; 0 of none.
pub fn quantile(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    times
        .get((last as f64 * part).round() as usize)
        .copied()
        .unwrap_or(0.0)
}

/// Waits wait_until a process has taken so many members.
fn listed(program: &mut FrontEndProcess, workers: u64) -> Result<(), ExperimentError> {
    let mut seen = 0;
    wait_until("the whole list is taken", Duration::from_millis(10), || {
        seen += program
            .new_log_lines()
            .lines()
            .filter(|l| l.starts_with("member "))
            .count() as u64;
        seen >= workers
    })
}

fn over(
    program: &FrontEndProcess,
    time: Duration,
) -> Result<(ResourceUsage, ResourceUsage), ExperimentError> {
    let before = program.usage()?;
    std::thread::sleep(time);
    Ok((before, program.usage()?))
}

/// The event in which worker `n` of a list gives way to a new one at its address.
fn replaced(rev: u64, n: u64, workers: u64) -> String {
    let (round, place) = (n / workers, n % workers);
    let address = format!(
        "127.{}.{}.{}:8443",
        1 + (place >> 16),
        (place >> 8) & 255,
        place & 255
    );
    let id = |round: u64| place + round * 0x10_0000;
    let now = [
        endpoint_json(id(round), &address, "gone"),
        endpoint_json(id(round + 1), &address, "ready"),
    ];
    watch_event(rev, false, &now)
}
