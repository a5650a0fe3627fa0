//! A simulated platform around several front end processes: workers that drain, stop and restart, a discovery service
//! that can be made unreachable, clients that keep their connections open, and checks of the platform's rules.
#![allow(dead_code, reason = "each test binary uses its own part")]
mod abuse;
mod client;
mod discovery;
mod flood;
mod front_end;
mod new_connections;
#[path = "../common/program.rs"]
mod program;
mod rules;
mod settings;
#[path = "../support/mod.rs"]
mod support;
mod worker;

#[allow(unused_imports, reason = "each test binary uses its own part")]
pub(crate) use {
    abuse::{Abuse, AbusiveClients},
    client::{
        call_params, stop_sending, ClientSettings, Clients, Departure, RequestOutcome,
        RequestRecord,
    },
    discovery::{DiscoveryService, EventDelay, EventLog, Outage},
    flood::{Flood, FloodingClients},
    front_end::{metric_in, FrontEnd, FrontEndSettings, ProcessLimits},
    new_connections::{OrdinaryClients, OrdinaryEnd, OrdinaryResult},
    rules::{cold_overload, forbidden_duplicates, late_arrivals, DrainLimits},
    settings::{Deployment, FUNCTIONS},
    support::{
        fastcgi::{abort_request, begin_request, fastcgi_record, fastcgi_request},
        sockets::connect,
    },
    worker::{Arrival, ArrivalKind, Drain, SimulatedWorker},
};

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts `count` workers that take `call_time` for a call. The first event of the returned log lists them all.
pub(crate) fn start_workers(count: usize, call_time: Duration) -> (Vec<SimulatedWorker>, EventLog) {
    let workers: Vec<SimulatedWorker> = (0..count)
        .map(|number| SimulatedWorker::start(number, call_time))
        .collect();
    let log = EventLog::default();
    let instances: Vec<String> = workers
        .iter()
        .map(|worker| worker.instance("ready"))
        .collect();
    log.publish(&instances);
    (workers, log)
}

/// Waits until `condition` holds. The test fails if that takes longer than `within`.
pub(crate) fn wait_until(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < within, "{what}: not within {within:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A loopback address that nothing else uses, so that no client connection can occupy the port of a listener that is
/// closed and bound again.
fn unique_loopback_address() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u16;
    let [high, low] = process.wrapping_mul(64).wrapping_add(number).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 + (process >> 10) as u8 % 64,
        high,
        low,
    ))
}
