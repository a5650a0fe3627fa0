//! What a front end is told at its start: environment, NODE_CONFIG and the file of the KServe v2 front.
use crate::fleet::identity::{address_hash, mix};
use crate::fleet::record::MAX_NAME_BYTES;
use crate::limits::Limits;
use miniserde::json::{self, Object, Value};
use std::net::SocketAddr;
use std::path::Path;
use wrenseam_policy::json::{as_text, list, number, parse, part, text};
use wrenseam_policy::Settings;

/// The start configuration.
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Where FastCGI clients connect.
    pub listen: SocketAddr,
    /// Address of the notice board, if there is one.
    pub board: Option<SocketAddr>,
    /// The board's events up to now.
    pub known: Object,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Settings,
    /// What in them cannot be used and counts as not stated.
    pub faults: Vec<String>,
    /// All limits.
    pub limits: Limits,
    /// A digest of the settings; with the board's address it shows front ends that run by another configuration.
    pub settings_digest: u64,
    /// The KServe v2 front, where it is on.
    pub kserve: Option<Kserve>,
    /// Where the operators' door listens (`admin`, or `NODE_ADMIN`), if it is wanted.
    pub admin: Option<SocketAddr>,
    /// Membership and budgets of the fleet, where `WRENSEAM_FLEET` names their file.
    pub fleet: Option<Fleet>,
}

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

/// The KServe v2 front's file.
pub struct Kserve {
    /// Where v2 clients connect.
    pub listen: SocketAddr,
    /// Where the read-only administration API listens, if it is wanted.
    pub admin: Option<SocketAddr>,
    /// v2 workers, as an xDS discovery response of endpoints (ClusterLoadAssignment resources).
    pub endpoints: Option<Object>,
}

type Read<T> = Result<T, String>;

fn file(path: &str) -> Read<Object> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    match parse(&text) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(format!("{path}: not a JSON object")),
        Err(e) => Err(format!("{path}: {e}")),
    }
}

fn address(fields: &Object, key: &str) -> Read<Option<SocketAddr>> {
    let parse = |t: &str| {
        t.parse()
            .map_err(|_| format!("'{key}' is not HOST:PORT: {t}"))
    };
    fields.get(key).and_then(as_text).map(parse).transpose()
}

impl Config {
    /// Reads the variables NODE_CONFIG, NODE_NAME, NODE_LISTEN and WRENSEAM_KSERVE.
    pub fn from_environment() -> Read<Config> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = variable("NODE_CONFIG").ok_or("NODE_CONFIG names no file")?;
        let mut config = Config::read(
            &file(&path)?,
            variable("NODE_LISTEN"),
            variable("NODE_NAME"),
        )?;
        if let Some(admin) = variable("NODE_ADMIN") {
            let admin: SocketAddr = admin
                .parse()
                .map_err(|_| format!("NODE_ADMIN is not HOST:PORT: {admin}"))?;
            if admin.port() != 0 && admin == config.listen {
                return Err(format!(
                    "NODE_ADMIN is the clients' address {admin}: the door needs one of its own"
                ));
            }
            config.admin = Some(admin);
        }
        // Off on the platform: only an environment that names the file turns the v2 front on.
        if let Some(path) = variable("WRENSEAM_KSERVE") {
            config.kserve = Some(Kserve::read(&path)?);
        }
        // Off on the platform too: talk between front ends only where an environment names its file.
        if let Some(path) = variable("WRENSEAM_FLEET") {
            config.fleet = Some(Fleet::read(&path)?);
        }
        Ok(config)
    }

    /// Reads these files, whatever the environment says.
    pub fn from_files(config: &Path, kserve: Option<&Path>) -> Read<Config> {
        let mut read = Config::read(&file(&config.to_string_lossy())?, None, None)?;
        read.kserve = kserve
            .map(|path| Kserve::read(&path.to_string_lossy()))
            .transpose()?;
        Ok(read)
    }

    /// The board's address as NODE_CONFIG tells it now; all else in the file holds from start to end.
    pub fn board_now() -> Read<SocketAddr> {
        let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
        address(&file(&path)?, "board")?.ok_or(format!("{path}: no 'board'"))
    }

    /// The digest of this configuration with the board at another address.
    pub fn digest_with(settings_digest: u64, board: Option<SocketAddr>) -> u64 {
        mix(settings_digest ^ board.map_or(0, address_hash))
    }

    fn read(fields: &Object, listen: Option<String>, name: Option<String>) -> Read<Config> {
        let empty = Object::new();
        let part = |key: &str| part(fields, key).unwrap_or(&empty);
        let (settings, faults) = (
            Settings::from_json(part("settings")),
            Settings::faults(part("settings")),
        );
        if settings.classes.is_empty() {
            return Err("the settings name no classes: every request would fail".to_owned());
        }
        let limit = |key: &str, other: f64| number(part("limits"), key).unwrap_or(other) as u64;
        let listen = match listen {
            Some(l) => Some(
                l.parse()
                    .map_err(|_| format!("NODE_LISTEN is not HOST:PORT: {l}"))?,
            ),
            None => address(fields, "listen")?,
        };
        let admin = address(fields, "admin")?;
        // Both would listen by SO_REUSEPORT, and clients and callers would be shared between them.
        if let Some(same) = admin.filter(|a| a.port() != 0 && Some(*a) == listen) {
            return Err(format!(
                "'admin' is the clients' address {same}: the door needs one of its own"
            ));
        }
        let seed = text(fields, "seed").unwrap_or("0");
        let settings_digest = crc32fast::hash(json::to_string(part("settings")).as_bytes());
        Ok(Config {
            settings_digest: u64::from(settings_digest),
            name: name
                .or(text(fields, "name").map(str::to_owned))
                .unwrap_or_default(),
            listen: listen.ok_or("no address to listen on")?,
            board: address(fields, "board")?,
            known: part("known").clone(),
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("'seed' is not hex: {seed}"))?,
            limits: Limits::new(
                limit("memory_mb", 192.0),
                limit("sockets", 1024.0),
                &settings,
            ),
            settings,
            faults,
            kserve: None,
            admin,
            fleet: None,
        })
    }
}

impl Kserve {
    fn read(path: &str) -> Read<Kserve> {
        let fields = file(path)?;
        let endpoints = match text(&fields, "endpoints") {
            Some(beside) => {
                let folder = std::path::Path::new(path)
                    .parent()
                    .unwrap_or(std::path::Path::new("."));
                Some(file(&folder.join(beside).to_string_lossy())?)
            }
            None => None,
        };
        let listen = address(&fields, "listen")?.ok_or(format!("{path}: no 'listen'"))?;
        Ok(Kserve {
            listen,
            admin: address(&fields, "admin")?,
            endpoints,
        })
    }
}
