//! What the front ends know of their fleet, read from their admin endpoints and their logs: whether all agree and are
//! right, and which peers were declared down.
use crate::error::LabError;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a connection to an admin endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an admin endpoint may be silent.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the views are compared.
const AGREEMENT_POLL: Duration = Duration::from_millis(10);
/// What the names of the fleet's figures begin with.
const FLEET_PREFIX: &str = "app.fleet.";

/// The fleet's figures of a front end by their short names: `peers` for `app.fleet.peers`.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures(BTreeMap<String, u64>);

impl FleetFigures {
    /// The figures that a front end reports at its admin endpoint; none if it does not answer.
    pub fn read(admin: SocketAddr) -> FleetFigures {
        let lines = telemetry(admin);
        let fleet = lines
            .lines()
            .filter_map(|line| line.strip_prefix(FLEET_PREFIX));
        FleetFigures(fleet.filter_map(parse_figure).collect())
    }

    /// A figure by its short name.
    pub fn get(&self, name: &str) -> Option<u64> {
        self.0.get(name).copied()
    }
}

/// The answer of an admin endpoint to `telemetry`, as far as it came.
fn telemetry(admin: SocketAddr) -> String {
    let mut answer = String::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, CONNECT_TIMEOUT) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT)); // refused only for a time of zero
    let _ = stream.write_all(b"telemetry\n"); // if it fails the read finds nothing
    let mut chunk = [0u8; 4096];
    while !answer.contains("END") {
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => answer.push_str(&String::from_utf8_lossy(&chunk[..length])),
            _ => break,
        }
    }
    answer
}

/// A line `NAME:VALUE|KIND`.
fn parse_figure(line: &str) -> Option<(String, u64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.split('|').next()?.parse().ok()?;
    Some((name.to_owned(), value))
}

/// A front end that runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningFront {
    /// Its number.
    pub index: usize,
    /// Its admin endpoint.
    pub admin: SocketAddr,
}

/// How soon all front ends agreed.
#[derive(Clone, Copy, Debug)]
pub struct Agreement {
    /// How long after the last fault.
    pub after: Duration,
    /// How many front ends ran.
    pub fronts: usize,
}

/// What differs between the views of these front ends, which are all that run, or between them and the truth; `None`:
/// all have the same digest, count each other alive and ready, and no other.
pub fn disagreement(running: &[RunningFront]) -> Option<String> {
    let want = running.len() as u64 - 1;
    let mut first_digest = None;
    for front in running {
        let figures = FleetFigures::read(front.admin);
        let counts = (figures.get("peers"), figures.get("peers_ready"));
        if counts != (Some(want), Some(want)) {
            return Some(format!(
                "front end {} counts {counts:?} peers alive and ready, {want} run",
                front.index
            ));
        }
        let digest = figures.get("view_digest");
        if digest != *first_digest.get_or_insert(digest) {
            return Some(format!(
                "front end {} holds another view than front end {}",
                front.index, running[0].index
            ));
        }
    }
    None
}

/// Waits until all agree, counted from `since`.
///
/// # Errors
/// They do not within `within` after it, with what differs.
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

/// The log lines in which a front end declares the peer at one of these addresses down.
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
        let about = |line: &&str| texts.iter().any(|text| line.contains(text));
        let of_log = text.lines().filter(about);
        lines.extend(of_log.map(|line| format!("{}: {line}", log.display())));
    }
    Ok(lines)
}
