//! The front ends' view of their fleet, read from their admin endpoints and logs: whether all have the same and correct
//! view, and which peers were declared down.
use crate::error::LabError;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout for connecting to an admin endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a read from an admin endpoint.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the front ends' views are compared.
const AGREEMENT_POLL: Duration = Duration::from_millis(10);
/// Prefix of the fleet's metrics in the telemetry.
const FLEET_METRIC_PREFIX: &str = "app.fleet.";

/// The fleet metrics in a front end's telemetry, by their names without the prefix: `peers` for `app.fleet.peers`.
#[derive(Clone, Debug, Default)]
pub struct FleetTelemetry(BTreeMap<String, u64>);

impl FleetTelemetry {
    /// Reads the fleet metrics from a front end's admin endpoint; empty if it does not answer.
    pub fn read(admin: SocketAddr) -> FleetTelemetry {
        let answer = read_telemetry(admin);
        let metrics = answer
            .lines()
            .filter_map(|line| line.strip_prefix(FLEET_METRIC_PREFIX));
        FleetTelemetry(metrics.filter_map(parse_metric).collect())
    }

    /// Returns the value of a metric, by its name without the prefix; `None` if the front end did not report it.
    pub fn get(&self, name: &str) -> Option<u64> {
        self.0.get(name).copied()
    }
}

/// Sends `telemetry` to an admin endpoint and returns its answer; what arrived of it if the connection fails or times
/// out.
fn read_telemetry(admin: SocketAddr) -> String {
    let mut answer = String::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, CONNECT_TIMEOUT) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT)); // fails only for a timeout of zero
    let _ = stream.write_all(b"telemetry\n"); // after a failure the read returns nothing
    let mut chunk = [0u8; 4096];
    while !answer.contains("END") {
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => answer.push_str(&String::from_utf8_lossy(&chunk[..length])),
            _ => break,
        }
    }
    answer
}

/// Parses a line `NAME:VALUE|TYPE`; `None` if it has another form.
fn parse_metric(line: &str) -> Option<(String, u64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.split('|').next()?.parse().ok()?;
    Some((name.to_owned(), value))
}

/// A front end that the lab has not ended.
#[derive(Clone, Copy, Debug)]
pub struct RunningFront {
    /// Index of the front end.
    pub index: usize,
    /// Address of its admin endpoint.
    pub admin: SocketAddr,
}

/// The agreement of all running front ends after the last fault.
#[derive(Clone, Copy, Debug)]
pub struct Agreement {
    /// Time from the last fault to the start of the comparison that found agreement.
    pub after: Duration,
    /// Number of front ends that agreed.
    pub fronts: usize,
}

/// Compares the views of the fleet of these front ends, which must be all that run. Returns a description of the first
/// difference; `None` if each counts exactly the others as live and as ready, and all have the same digest.
pub fn disagreement(running: &[RunningFront]) -> Option<String> {
    let expected = running.len() as u64 - 1;
    let mut first_digest = None;
    for front in running {
        let telemetry = FleetTelemetry::read(front.admin);
        let counts = (telemetry.get("peers"), telemetry.get("peers_ready"));
        if counts != (Some(expected), Some(expected)) {
            return Some(format!(
                "front end {} counts {counts:?} peers (live, ready), expected {expected} of each",
                front.index
            ));
        }
        let digest = telemetry.get("view_digest");
        if digest != *first_digest.get_or_insert(digest) {
            return Some(format!(
                "the view digest of front end {} differs from that of front end {}",
                front.index, running[0].index
            ));
        }
    }
    None
}

/// Waits until all running front ends have the same and correct view of the fleet; `since` is the time of the last
/// fault.
///
/// # Errors
/// They do not agree within `within` after `since`; the error names the first difference.
pub fn wait_until_agreed(
    running: &[RunningFront],
    since: Instant,
    within: Duration,
) -> Result<Agreement, LabError> {
    loop {
        let read_at = Instant::now();
        let Some(difference) = disagreement(running) else {
            return Ok(Agreement {
                after: read_at.duration_since(since),
                fronts: running.len(),
            });
        };
        if since.elapsed() > within {
            return Err(LabError::NoAgreement {
                within_s: within.as_secs_f64(),
                difference,
            });
        }
        std::thread::sleep(AGREEMENT_POLL);
    }
}

/// Returns the log lines that declare one of these peers down, each with the path of its log.
///
/// # Errors
/// A log cannot be read.
pub fn declared_down(
    logs: &[impl AsRef<Path>],
    peers: &[SocketAddr],
) -> Result<Vec<String>, LabError> {
    let texts: Vec<String> = peers
        .iter()
        .map(|peer| format!("fleet: peer {peer} down"))
        .collect();
    let mut lines = Vec::new();
    for log in logs {
        let log = log.as_ref();
        let text = std::fs::read_to_string(log).map_err(LabError::at(log))?;
        let is_match = |line: &&str| texts.iter().any(|text| line.contains(text));
        let matching = text.lines().filter(is_match);
        lines.extend(matching.map(|line| format!("{}: {line}", log.display())));
    }
    Ok(lines)
}
