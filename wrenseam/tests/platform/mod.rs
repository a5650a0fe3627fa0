//! Stand-ins of the platform round several front end processes: workers that drain, stop and come back, a discovery
//! service that can be out of reach, clients that keep their connections, and the platform's rules.
#![allow(dead_code, reason = "each test binary uses its own part")]
mod client;
mod discovery;
mod front_end;
#[path = "../common/program.rs"]
mod program;
mod rules;
mod settings;
#[path = "../support/mod.rs"]
mod support;
mod worker;

#[allow(unused_imports, reason = "each test binary uses its own part")]
pub(crate) use {
    client::{ClientSettings, Clients, RequestOutcome, RequestRecord},
    discovery::{DiscoveryService, EventLog, Outage},
    front_end::{FrontEnd, FrontEndSettings},
    rules::{cold_overload, forbidden_duplicates, late_arrivals, DrainLimits},
    settings::{Deployment, FUNCTIONS},
    worker::{Arrival, ArrivalKind, Drain, SimulatedWorker},
};

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts so many workers, and a log of events whose first lists them.
pub(crate) fn start_workers(count: usize, work: Duration) -> (Vec<SimulatedWorker>, EventLog) {
    let workers: Vec<SimulatedWorker> = (0..count)
        .map(|number| SimulatedWorker::start(number, work))
        .collect();
    let log = EventLog::default();
    let instances: Vec<String> = workers
        .iter()
        .map(|worker| worker.instance("ready"))
        .collect();
    log.publish(&instances);
    (workers, log)
}

/// Waits until a condition holds; fails the test if it does not within this time.
pub(crate) fn wait_until(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < within, "{what}: not within {within:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A loopback address of its own: no client's port can be in the way when a listener comes back there.
fn own_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u16;
    let [high, low] = process.wrapping_mul(64).wrapping_add(number).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 + (process >> 10) as u8 % 64,
        high,
        low.max(1),
    ))
}
