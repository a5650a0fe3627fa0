//! The fleet's file, which `WRENSEAM_FLEET` names.
use super::json_file::JsonFile;
use super::ConfigError;
use crate::fleet::record::MAX_NAME_BYTES;
use std::net::SocketAddr;

/// Used where the file names no cluster.
const DEFAULT_CLUSTER: &str = "wrenseam";

/// The fleet's file (`deploy/fleet.json`): gossip between front ends, the shared retry budget and shedding.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Where the gossip socket (UDP) is bound.
    pub listen: SocketAddr,
    /// The address that peers send to, as Consul's and memberlist's `advertise`: a relay or proxy in front of `listen`.
    /// None: the address the socket is bound to.
    pub advertise: Option<SocketAddr>,
    /// Peers asked to let this front end join.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name: datagrams of another are dropped.
    pub cluster: String,
    /// The zone of this front end, as the others learn it; empty: none.
    pub zone: String,
    /// The fleet's expected size; quotas of the floors are never larger than 1/expected.
    pub expected: usize,
    /// Extra attempts at most this fraction of first attempts (0 to 1).
    pub retry_ratio: f64,
    /// Extra attempts a second that the whole fleet may make besides the ratio.
    pub retry_floor_per_s: f64,
    /// The budget's sliding window, ms.
    pub window_ms: u64,
    /// How often a random peer is probed, ms; the view's exchanges and summaries have the same period.
    pub probe_ms: u64,
    /// After how long a suspect is declared down, ms.
    pub suspect_ms: u64,
    /// Requests in flight at which this front end counts as full, for the pressure.
    pub capacity: u32,
    /// Classes shed first under overload, first named first.
    pub shed_order: Vec<String>,
    /// The Retry-After of requests that are shed, ms.
    pub shed_wait_ms: u64,
    /// Whether summaries are gossiped while a front end of a version without the view is a member.
    pub summaries: bool,
}

impl FleetConfig {
    /// Reads the fleet's file.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if the file cannot be read, has no `listen`, or holds a value that cannot be used.
    pub fn read(path: &str) -> Result<FleetConfig, ConfigError> {
        let file = JsonFile::read(path)?;
        Ok(FleetConfig {
            listen: file.required_address("listen")?,
            seeds: seeds(&file)?,
            shed_order: shed_order(&file)?,
            summaries: file.boolean("summaries", true)?,
            zone: zone(&file)?,
            advertise: file.address("advertise")?,
            cluster: file.text("cluster").unwrap_or(DEFAULT_CLUSTER).to_owned(),
            expected: file.number_within("expected", 1.0, 1.0..=100_000.0)? as usize,
            retry_ratio: file.number_within("retry_ratio", 0.1, 0.0..=1.0)?,
            retry_floor_per_s: file.number_within("retry_floor_per_s", 10.0, 0.0..=1e6)?,
            window_ms: file.number_within("window_ms", 10_000.0, 100.0..=600_000.0)? as u64,
            probe_ms: file.number_within("probe_ms", 500.0, 10.0..=60_000.0)? as u64,
            suspect_ms: file.number_within("suspect_ms", 1500.0, 10.0..=600_000.0)? as u64,
            capacity: file.number_within("capacity", 256.0, 1.0..=1e7)? as u32,
            shed_wait_ms: file.number_within("shed_wait_ms", 1000.0, 0.0..=600_000.0)? as u64,
        })
    }
}

fn seeds(file: &JsonFile) -> Result<Vec<SocketAddr>, ConfigError> {
    let mut seeds = Vec::new();
    for value in file.texts("seeds", "HOST:PORT texts")? {
        let seed = value.parse().map_err(|source| ConfigError::InvalidPeer {
            file: file.path(),
            value: value.to_owned(),
            source,
        })?;
        seeds.push(seed);
    }
    Ok(seeds)
}

fn shed_order(file: &JsonFile) -> Result<Vec<String>, ConfigError> {
    let names = file.texts("shed_order", "class names")?;
    Ok(names.into_iter().map(str::to_owned).collect())
}

fn zone(file: &JsonFile) -> Result<String, ConfigError> {
    let zone = file.text("zone").unwrap_or_default();
    if zone.len() > MAX_NAME_BYTES {
        return Err(ConfigError::TooLong {
            file: file.path(),
            key: "zone",
            bytes: zone.len(),
            max_bytes: MAX_NAME_BYTES,
        });
    }
    Ok(zone.to_owned())
}
