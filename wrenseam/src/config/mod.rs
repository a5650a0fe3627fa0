//! What a front end is told at its start: environment, NODE_CONFIG and the file of the KServe v2 front.
mod file;
mod fleet;
mod kserve;

use crate::fleet::identity::{address_hash, mix};
use crate::limits::Limits;
use file::{address, file, Read};
use miniserde::json::{self, Object};
use std::net::SocketAddr;
use std::path::Path;
use wrenseam_policy::json::{number, part, text};
use wrenseam_policy::Settings;

pub use fleet::Fleet;
pub use kserve::Kserve;

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
