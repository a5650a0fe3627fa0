//! The fleet's file.
use super::file::{address, file, Read};
use crate::fleet::record::MAX_NAME_BYTES;
use miniserde::json::Value;
use std::net::SocketAddr;
use wrenseam_policy::json::{as_text, list, number, text};

/// The fleet's file (`deploy/fleet.json`): gossip between front ends, the shared retry budget and shedding.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Where the gossip socket (UDP) is bound.
    pub listen: SocketAddr,
    /// The address peers are told to send to, as Consul's and memberlist's `advertise`: a relay or
    /// proxy in front of `listen`. None: the address the socket is bound to.
    pub advertise: Option<SocketAddr>,
    /// Peers asked to let this front end join.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name: datagrams of another are dropped.
    pub cluster: String,
    /// The zone that this front end tells the others it stands in; empty: none.
    pub zone: String,
    /// The fleet's expected size; shares of the floors are never larger than 1/expected.
    pub expected: usize,
    /// Extra attempts at most this fraction of first attempts (0 to 1).
    pub retry_ratio: f64,
    /// Extra attempts a second that the whole fleet may make besides the ratio.
    pub retry_floor_per_s: f64,
    /// The budget's sliding window, ms.
    pub window_ms: u64,
    /// How often a random peer is probed, ms; the view's exchanges and summaries go by it too.
    pub probe_ms: u64,
    /// After how long a suspect is declared down, ms.
    pub suspect_ms: u64,
    /// Requests in flight at which this front end counts as full, for the pressure.
    pub capacity: u32,
    /// Classes refused first under overload, first named first.
    pub shed_order: Vec<String>,
    /// What a refusal by shedding tells the client to wait, ms.
    pub shed_wait_ms: u64,
    /// Whether summaries are gossiped while a front end from before the view is heard.
    pub summaries: bool,
}

impl Fleet {
    /// Reads the fleet's file.
    ///
    /// # Errors
    /// The file cannot be read, is not JSON, has no `listen`, or a figure out of range.
    pub fn read(path: &str) -> Read<Fleet> {
        let fields = file(path)?;
        let listen = address(&fields, "listen")?.ok_or(format!("{path}: no 'listen'"))?;
        let mut seeds = Vec::new();
        for seed in list(&fields, "seeds") {
            let seed = as_text(seed).ok_or(format!("{path}: 'seeds' holds HOST:PORT texts"))?;
            seeds.push(
                seed.parse()
                    .map_err(|_| format!("{path}: seed is not HOST:PORT: {seed}"))?,
            );
        }
        let figure = |key: &str, other: f64, low: f64, high: f64| -> Read<f64> {
            let n = number(&fields, key).unwrap_or(other);
            if n.is_finite() && (low..=high).contains(&n) {
                Ok(n)
            } else {
                Err(format!(
                    "{path}: '{key}' is {n}, not within {low} to {high}"
                ))
            }
        };
        let mut shed_order = Vec::new();
        for class in list(&fields, "shed_order") {
            shed_order.push(
                as_text(class)
                    .ok_or(format!("{path}: 'shed_order' holds class names"))?
                    .to_owned(),
            );
        }
        let summaries = match fields.get("summaries") {
            None => true,
            Some(Value::Bool(b)) => *b,
            Some(_) => return Err(format!("{path}: 'summaries' is neither true nor false")),
        };
        let zone = text(&fields, "zone").unwrap_or("").to_owned();
        if zone.len() > MAX_NAME_BYTES {
            return Err(format!(
                "{path}: 'zone' has {} bytes, {MAX_NAME_BYTES} allowed",
                zone.len()
            ));
        }
        Ok(Fleet {
            zone,
            listen,
            advertise: address(&fields, "advertise")?,
            seeds,
            cluster: text(&fields, "cluster").unwrap_or("wrenseam").to_owned(),
            expected: figure("expected", 1.0, 1.0, 100_000.0)? as usize,
            retry_ratio: figure("retry_ratio", 0.1, 0.0, 1.0)?,
            retry_floor_per_s: figure("retry_floor_per_s", 10.0, 0.0, 1e6)?,
            window_ms: figure("window_ms", 10_000.0, 100.0, 600_000.0)? as u64,
            probe_ms: figure("probe_ms", 500.0, 10.0, 60_000.0)? as u64,
            suspect_ms: figure("suspect_ms", 1500.0, 10.0, 600_000.0)? as u64,
            capacity: figure("capacity", 256.0, 1.0, 1e7)? as u32,
            shed_order,
            shed_wait_ms: figure("shed_wait_ms", 1000.0, 0.0, 600_000.0)? as u64,
            summaries,
        })
    }
}
