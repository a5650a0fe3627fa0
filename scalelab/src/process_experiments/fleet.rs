//! What processes that gossip send each other, counted by a relay before each.
use super::{measured, mib, quantile, usages, MEASURED_TIME};
use crate::harness::{
    lock, spawn_thread, unreachable_endpoints, wait_until, FrontEndOptions, FrontEndProcess,
    WatchEvent,
};
use crate::{ExperimentError, Sweep};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Workers in the list of each process.
const WORKERS: u64 = 100;
/// How often a process is asked whom it counts alive.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// What the fleet is given to become quiet once all have joined.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Datagrams and their bytes.
#[derive(Clone, Copy, Default)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
}

/// Counts datagrams to one process on their way.
struct Relay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Default)]
struct RelayState {
    target: Mutex<Option<SocketAddr>>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl Relay {
    fn start() -> Result<Relay, ExperimentError> {
        let failed = |error: std::io::Error| ExperimentError::Failed(error.to_string());
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let state = Arc::new(RelayState::default());
        let forwarding = state.clone();
        spawn_thread(move || forwarding.forward(&socket))?;
        Ok(Relay { address, state })
    }

    fn traffic(&self) -> Traffic {
        Traffic {
            datagrams: self.state.datagrams.load(Ordering::Relaxed),
            bytes: self.state.bytes.load(Ordering::Relaxed),
        }
    }
}

impl RelayState {
    fn forward(&self, socket: &UdpSocket) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            self.datagrams.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            if let Some(target) = *lock(&self.target) {
                let _ = socket.send_to(&buffer[..length], target); // one that has ended takes none
            }
        }
    }
}

fn total_traffic(relays: &[Relay]) -> Traffic {
    let mut total = Traffic::default();
    for relay in relays {
        let traffic = relay.traffic();
        total.datagrams += traffic.datagrams;
        total.bytes += traffic.bytes;
    }
    total
}

pub(super) fn fleet(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &processes in sizes {
        rows.push((processes, row(processes, seed)?));
    }
    Ok(vec![Sweep {
        title: "A fleet of real processes on one core, all counted alive, 10 s; nobody calls"
            .to_owned(),
        varied: "processes",
        columns: vec![
            measured("datagrams/s sent by each"),
            measured("bytes/s sent by each"),
            measured("% of a core, median"),
            measured("most"),
            measured("RSS, MiB, median"),
            measured("most "),
            measured("s until all counted all"),
            measured("processes that miss one at the end"),
        ],
        rows,
    }])
}

fn row(count: u64, seed: u64) -> Result<Vec<f64>, ExperimentError> {
    let relays = (0..count)
        .map(|_| Relay::start())
        .collect::<Result<Vec<_>, _>>()?;
    let mut processes = spawn_fleet(&relays, seed)?;
    let spawned_at = Instant::now();
    for (process, relay) in processes.iter_mut().zip(&relays) {
        process.wait_for_listeners()?;
        *lock(&relay.state.target) = process.gossip;
    }
    let counts_all =
        |process: &FrontEndProcess| process.gauge("app.fleet.peers") == Some(count - 1);
    for process in &processes {
        wait_until("all count all", POLL_INTERVAL, || counts_all(process))?;
    }
    let joined = spawned_at.elapsed();
    std::thread::sleep(SETTLE_TIME);
    let traffic_before = total_traffic(&relays);
    let before = usages(&processes)?;
    std::thread::sleep(MEASURED_TIME);
    let traffic = total_traffic(&relays);
    let after = usages(&processes)?;
    let missing = processes
        .iter()
        .filter(|process| !counts_all(process))
        .count();
    let elapsed = (after[0].measured_at - before[0].measured_at).as_secs_f64();
    let each_second = |sent: u64| sent as f64 / (elapsed * count as f64);
    let usage_pairs = before.iter().zip(&after);
    let mut cpu: Vec<f64> = usage_pairs
        .map(|(before, after)| after.cpu_percent(before))
        .collect();
    let mut memory: Vec<f64> = after.iter().map(|usage| mib(usage.resident_kib)).collect();
    Ok(vec![
        each_second(traffic.datagrams - traffic_before.datagrams),
        each_second(traffic.bytes - traffic_before.bytes),
        quantile(&mut cpu, 0.5),
        quantile(&mut cpu, 1.0),
        quantile(&mut memory, 0.5),
        quantile(&mut memory, 1.0),
        joined.as_secs_f64(),
        missing as f64,
    ])
}

/// Starts a process behind each relay; all join by the first.
fn spawn_fleet(relays: &[Relay], seed: u64) -> Result<Vec<FrontEndProcess>, ExperimentError> {
    let list = WatchEvent::complete(1, &unreachable_endpoints(WORKERS));
    let first = format!(r#""{}""#, relays[0].address);
    let mut processes = Vec::new();
    for (index, relay) in relays.iter().enumerate() {
        let seeds = if index == 0 { "" } else { &first };
        let fleet = format!(
            r#"{{"listen":"127.0.0.1:0","advertise":"{}","seeds":[{}],"cluster":"scale","expected":{processes}}}"#,
            relay.address,
            seeds,
            processes = relays.len()
        );
        processes.push(FrontEndProcess::spawn(&FrontEndOptions {
            known_events: vec![WatchEvent::complete(1, &[]), list.clone()],
            index,
            seed: seed + index as u64,
            fleet: Some(fleet),
            ..FrontEndOptions::default()
        })?);
    }
    Ok(processes)
}
