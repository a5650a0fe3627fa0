//! What a fleet of processes sends.
use super::{measured, mib, quantile, MEASURED_TIME};
use crate::harness::{
    self, unreachable_endpoints, wait_until, watch_event, FrontEndOptions, FrontEndProcess,
};
use crate::{ExperimentError, Sweep};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Counts datagrams to one process on their way.
struct Relay {
    address: SocketAddr,
    to: Arc<Mutex<Option<SocketAddr>>>,
    datagrams: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    fn start() -> Result<Relay, ExperimentError> {
        let failed = |e: std::io::Error| ExperimentError::Failed(e.to_string());
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let (to, datagrams, bytes) = (Arc::new(Mutex::new(None)), Arc::default(), Arc::default());
        let relay = Relay {
            address,
            to,
            datagrams,
            bytes,
        };
        let (to, datagrams, bytes) = (
            relay.to.clone(),
            relay.datagrams.clone(),
            relay.bytes.clone(),
        );
        harness::thread(move || {
            let mut buffer = [0u8; 65_536];
            while let Ok((n, _)) = socket.recv_from(&mut buffer) {
                datagrams.fetch_add(1, Ordering::Relaxed);
                bytes.fetch_add(n as u64, Ordering::Relaxed);
                if let Some(to) = *harness::lock(&to) {
                    let _ = socket.send_to(&buffer[..n], to); // one that has ended takes none
                }
            }
        })?;
        Ok(relay)
    }
}

pub(super) fn fleet(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut rows = Vec::new();
    for &processes in sizes {
        let list = watch_event(1, true, &unreachable_endpoints(100));
        let relays = (0..processes)
            .map(|_| Relay::start())
            .collect::<Result<Vec<_>, _>>()?;
        let seeds = format!(r#""{}""#, relays[0].address);
        let mut programs = Vec::new();
        for (index, relay) in relays.iter().enumerate() {
            let file = format!(
                r#"{{"listen":"127.0.0.1:0","advertise":"{}","seeds":[{}],"cluster":"scale","expected":{processes}}}"#,
                relay.address,
                if index == 0 { "" } else { &seeds }
            );
            let known = (1, vec![watch_event(1, true, &[]), list.clone()]);
            let told = FrontEndOptions {
                known,
                index,
                seed: seed + index as u64,
                fleet: Some(file),
                ..FrontEndOptions::default()
            };
            programs.push(FrontEndProcess::spawn(&told)?);
        }
        let since = Instant::now();
        for (program, relay) in programs.iter_mut().zip(&relays) {
            program.wait_for_listeners()?;
            *harness::lock(&relay.to) = program.gossip;
        }
        let alive = |p: &FrontEndProcess| p.gauge("app.fleet.peers") == Some(processes - 1);
        for program in &programs {
            wait_until("all count all", Duration::from_millis(50), || {
                alive(program)
            })?;
        }
        let joined = since.elapsed();
        std::thread::sleep(Duration::from_secs(5));
        let count = || {
            let sum = |of: fn(&Relay) -> &AtomicU64| {
                relays
                    .iter()
                    .map(|r| of(r).load(Ordering::Relaxed))
                    .sum::<u64>()
            };
            (sum(|r| &r.datagrams), sum(|r| &r.bytes))
        };
        let (sent, before) = (
            count(),
            programs
                .iter()
                .map(FrontEndProcess::usage)
                .collect::<Result<Vec<_>, _>>()?,
        );
        std::thread::sleep(MEASURED_TIME);
        let (then, after) = (
            count(),
            programs
                .iter()
                .map(FrontEndProcess::usage)
                .collect::<Result<Vec<_>, _>>()?,
        );
        let missing = programs.iter().filter(|p| !alive(p)).count();
        let time = (after[0].measured_at - before[0].measured_at).as_secs_f64() * processes as f64;
        let mut shares: Vec<f64> = before
            .iter()
            .zip(&after)
            .map(|(b, a)| a.cpu_percent(b))
            .collect();
        let mut memory: Vec<f64> = after.iter().map(|a| mib(a.resident_kib)).collect();
        rows.push((
            processes,
            vec![
                (then.0 - sent.0) as f64 / time,
                (then.1 - sent.1) as f64 / time,
                quantile(&mut shares, 0.5),
                quantile(&mut shares, 1.0),
                quantile(&mut memory, 0.5),
                quantile(&mut memory, 1.0),
                joined.as_secs_f64(),
                missing as f64,
            ],
        ));
    }
    let columns = vec![
        measured("datagrams/s sent by each"),
        measured("bytes/s sent by each"),
        measured("% of a core, median"),
        measured("most"),
        measured("RSS, MiB, median"),
        measured("most "),
        measured("s until all counted all"),
        measured("processes that miss one at the end"),
    ];
    let title =
        "A fleet of real processes on one core, all counted alive, 10 s; nobody calls".to_owned();
    Ok(vec![Sweep {
        title,
        varied: "processes",
        columns,
        rows,
    }])
}
