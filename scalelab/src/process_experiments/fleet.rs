//! The traffic and resource usage of a fleet of processes that gossip. A relay in front of each process counts the
//! datagrams that are sent to it.
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

/// Workers in the endpoint list of each process.
const WORKERS: u64 = 100;
/// Interval at which a process is asked how many peers it counts as alive.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the gossip traffic to reach its steady state after all processes have joined.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Size of the receive buffer: more than any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A number of datagrams and the sum of their sizes.
#[derive(Clone, Copy, Default)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
}

/// Forwards datagrams to one process and counts them.
struct Relay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Default)]
struct RelayState {
    /// The process's gossip address; datagrams are dropped until it is known.
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
                let _ = socket.send_to(&buffer[..length], target); // fails if the process has ended
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
        wait_until(
            "every process to count all others as alive",
            POLL_INTERVAL,
            || counts_all(process),
        )?;
    }
    let join_time = spawned_at.elapsed();
    std::thread::sleep(SETTLE_TIME);
    let traffic_before = total_traffic(&relays);
    let before = usages(&processes)?;
    std::thread::sleep(MEASURED_TIME);
    let traffic = total_traffic(&relays);
    let after = usages(&processes)?;
    let processes_missing_a_peer = processes
        .iter()
        .filter(|process| !counts_all(process))
        .count();
    let elapsed = (after[0].measured_at - before[0].measured_at).as_secs_f64();
    let per_second_and_process = |sent: u64| sent as f64 / (elapsed * count as f64);
    let usage_pairs = before.iter().zip(&after);
    let mut cpu: Vec<f64> = usage_pairs
        .map(|(before, after)| after.cpu_percent(before))
        .collect();
    let mut memory: Vec<f64> = after.iter().map(|usage| mib(usage.resident_kib)).collect();
    Ok(vec![
        per_second_and_process(traffic.datagrams - traffic_before.datagrams),
        per_second_and_process(traffic.bytes - traffic_before.bytes),
        quantile(&mut cpu, 0.5),
        quantile(&mut cpu, 1.0),
        quantile(&mut memory, 0.5),
        quantile(&mut memory, 1.0),
        join_time.as_secs_f64(),
        processes_missing_a_peer as f64,
    ])
}

/// Starts a process behind each relay. The first relay's address is the seed by which all others join.
fn spawn_fleet(relays: &[Relay], seed: u64) -> Result<Vec<FrontEndProcess>, ExperimentError> {
    let list = WatchEvent::complete(1, &unreachable_endpoints(WORKERS));
    let seed_address = format!(r#""{}""#, relays[0].address);
    let mut processes = Vec::new();
    for (index, relay) in relays.iter().enumerate() {
        let seeds = if index == 0 { "" } else { &seed_address };
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
