//! What the front ends hold of their fleet, read from their admin listeners and their logs: whether all agree and are
//! right, and who was declared down.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// The figures of a front end by their short names: `peers` for `app.fleet.peers`.
pub type Figures = Vec<(String, u64)>;

/// How soon all front ends agreed.
#[derive(Clone, Copy, Debug)]
pub struct Agreed {
    /// How long after the last fault.
    pub after: Duration,
    /// How many front ends ran.
    pub fronts: usize,
}

/// A figure by its short name.
pub fn figure(figures: &[(String, u64)], name: &str) -> Option<u64> {
    figures.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
}

/// The `app.fleet.*` figures that a front end tells at its admin listener; none if it does not answer.
pub fn fleet_figures(admin: SocketAddr) -> Figures {
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, Duration::from_secs(1)) else {
        return Vec::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = stream.write_all(b"telemetry\n");
    let mut told = String::new();
    let mut chunk = [0u8; 4096];
    while !told.contains("END") {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => told.push_str(&String::from_utf8_lossy(&chunk[..n])),
            _ => break,
        }
    }
    let fleet = told
        .lines()
        .filter_map(|line| line.strip_prefix("app.fleet."));
    fleet
        .filter_map(|line| {
            let (name, rest) = line.split_once(':')?;
            Some((name.to_owned(), rest.split('|').next()?.parse().ok()?))
        })
        .collect()
}

/// What differs between the views of these front ends, which are all that run, or between them and the truth; `None`:
/// all hold the same digest, count each other alive and ready, and nobody else.
pub fn disagreement(running: &[(usize, SocketAddr)]) -> Option<String> {
    let want = running.len() as u64 - 1;
    let mut first = None;
    for &(f, admin) in running {
        let figures = fleet_figures(admin);
        let counts = (figure(&figures, "peers"), figure(&figures, "peers_ready"));
        if counts != (Some(want), Some(want)) {
            return Some(format!(
                "front end {f} counts {counts:?} peers alive and ready, {want} run"
            ));
        }
        let digest = figure(&figures, "view_digest");
        if digest != *first.get_or_insert(digest) {
            return Some(format!(
                "front end {f} holds another view than front end {}",
                running[0].0
            ));
        }
    }
    None
}

/// Waits until all agree, counted from `since`.
///
/// # Errors
/// They do not within `within` after it, with what differs.
pub fn until_agreed(
    running: &[(usize, SocketAddr)],
    since: Instant,
    within: Duration,
) -> Result<Agreed, String> {
    loop {
        let asked = Instant::now();
        let Some(what) = disagreement(running) else {
            return Ok(Agreed {
                after: asked.duration_since(since),
                fronts: running.len(),
            });
        };
        if since.elapsed() > within {
            return Err(format!(
                "no agreement {:.1} s after the last fault: {what}",
                within.as_secs_f64()
            ));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The log lines in which a front end says that the peer at one of these addresses is down.
///
/// # Errors
/// A log cannot be read.
pub fn declared_down(
    logs: &[impl AsRef<Path>],
    peers: &[SocketAddr],
) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    for log in logs {
        let log = log.as_ref();
        let text = std::fs::read_to_string(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let about = |line: &&str| {
            peers
                .iter()
                .any(|peer| line.contains(&format!("fleet: peer {peer} down")))
        };
        lines.extend(
            text.lines()
                .filter(about)
                .map(|line| format!("{}: {line}", log.display())),
        );
    }
    Ok(lines)
}
