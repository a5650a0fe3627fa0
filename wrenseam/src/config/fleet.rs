//! The fleet's file, whose path is in `WRENSEAM_FLEET`.
use super::json_file::JsonFile;
use super::ConfigError;
use crate::fleet::record::MAX_NAME_BYTES;
use std::net::SocketAddr;

/// The cluster's name if the file states none.
const DEFAULT_CLUSTER: &str = "wrenseam";

/// The content of the fleet's file (for example `deploy/fleet.json`): gossip between front ends, the shared retry
/// budget and shedding.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Where the gossip socket (UDP) is bound.
    pub listen: SocketAddr,
    /// The address that peers send to, as `advertise` of Consul and memberlist: that of a relay or proxy in front of
    /// `listen`. `None`: the address that the socket is bound to.
    pub advertise: Option<SocketAddr>,
    /// Peers that this front end contacts to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name; datagrams of other clusters are dropped.
    pub cluster: String,
    /// The zone of this front end, as it is gossiped to the others; empty: none.
    pub zone: String,
    /// The fleet's expected size. No front end's share of a floor is larger than 1/`expected`.
    pub expected: usize,
    /// Maximum ratio of extra attempts to first attempts, 0 to 1.
    pub retry_ratio: f64,
    /// Extra attempts per second that the whole fleet may make on top of the ratio.
    pub retry_floor_per_s: f64,
    /// Sliding window of the retry budget, in ms.
    pub window_ms: u64,
    /// Interval in ms at which a random peer is probed; views and summaries are exchanged at the same interval.
    pub probe_ms: u64,
    /// Time in ms after which a suspected peer is declared down.
    pub suspect_ms: u64,
    /// Number of open requests at which this front end counts as full when its load pressure is computed.
    pub capacity: u32,
    /// Classes that are shed under overload, the first one first.
    pub shed_order: Vec<String>,
    /// The Retry-After of shed requests, in ms.
    pub shed_wait_ms: u64,
    /// Whether summaries are gossiped while a member runs a version that does not exchange views.
    pub summaries: bool,
}

impl FleetConfig {
    /// Reads the fleet's file.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if the file cannot be read, has no `listen`, or holds an invalid value.
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
    for value in file.texts("seeds", "HOST:PORT strings")? {
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
