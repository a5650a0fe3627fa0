//! The start configuration: environment, the platform's file (`NODE_CONFIG`) and the files of the KServe v2 front and of
//! the fleet.
mod error;
mod fleet;
mod json_file;
mod kserve;

use crate::fleet::identity::{address_hash, mix};
use crate::limits::Limits;
use json_file::JsonFile;
use miniserde::json::{self, Object};
use std::net::SocketAddr;
use std::path::Path;
use wrenseam_policy::json::number;
use wrenseam_policy::{Settings, SettingsFault};

pub use error::ConfigError;
pub use fleet::FleetConfig;
pub use kserve::KserveConfig;

/// Names the platform's file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Replaces the file's `name`.
const NAME_VARIABLE: &str = "NODE_NAME";
/// Replaces the file's `listen`.
const LISTEN_VARIABLE: &str = "NODE_LISTEN";
/// Replaces the file's `admin`.
const ADMIN_VARIABLE: &str = "NODE_ADMIN";
/// Names the KServe v2 front's file; off on the platform, which does not set it.
const KSERVE_VARIABLE: &str = "WRENSEAM_KSERVE";
/// Names the fleet's file; off on the platform too.
const FLEET_VARIABLE: &str = "WRENSEAM_FLEET";

/// The key of the discovery service's address in the platform's file.
const DISCOVERY_SERVICE_KEY: &str = "board";

/// Memory in MB and descriptors of the process, where the platform's file has no limits.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: f64 = 1024.0;

/// The start configuration.
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Where FastCGI clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service, if there is one.
    pub discovery_service: Option<SocketAddr>,
    /// The discovery service's events up to now.
    pub known_events: Object,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Settings,
    /// What in them cannot be used and counts as not stated.
    pub faults: Vec<SettingsFault>,
    /// All limits.
    pub limits: Limits,
    /// A digest of the settings; with the discovery service's address it shows front ends that run by another
    /// configuration.
    pub settings_digest: u64,
    /// The KServe v2 front, where it is on.
    pub kserve: Option<KserveConfig>,
    /// Where the admin endpoint listens (`admin`, or `NODE_ADMIN`), if it is wanted.
    pub admin: Option<SocketAddr>,
    /// Membership and budgets of the fleet, where `WRENSEAM_FLEET` names their file.
    pub fleet: Option<FleetConfig>,
}

impl Config {
    /// Reads the environment and the files that it names.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] for the first variable or file that cannot be used.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::NoFileNamed {
            variable: CONFIG_VARIABLE,
        })?;
        let file = JsonFile::read(&path)?;
        let mut config = Config::parse(&file, variable_address(LISTEN_VARIABLE))?;
        // Its known events may take much of the memory.
        drop(file);
        if let Some(name) = variable(NAME_VARIABLE) {
            config.name = name;
        }
        if let Some(admin) = variable_address(ADMIN_VARIABLE).transpose()? {
            check_admin_address(ADMIN_VARIABLE, admin, Some(config.listen))?;
            config.admin = Some(admin);
        }
        if let Some(path) = variable(KSERVE_VARIABLE) {
            config.kserve = Some(KserveConfig::read(&path)?);
        }
        if let Some(path) = variable(FLEET_VARIABLE) {
            config.fleet = Some(FleetConfig::read(&path)?);
        }
        Ok(config)
    }

    /// Reads these files, whatever the environment says.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] for the first file that cannot be used.
    pub fn from_files(config: &Path, kserve: Option<&Path>) -> Result<Config, ConfigError> {
        let file = JsonFile::read(&config.to_string_lossy())?;
        let mut config = Config::parse(&file, None)?;
        if let Some(path) = kserve {
            config.kserve = Some(KserveConfig::read(&path.to_string_lossy())?);
        }
        Ok(config)
    }

    /// The discovery service's address as the platform's file has it now; all else in the file holds from start to end.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if the file cannot be read or names no address.
    pub fn discovery_service_now() -> Result<SocketAddr, ConfigError> {
        let path =
            std::env::var(CONFIG_VARIABLE).map_err(|source| ConfigError::UnreadableVariable {
                variable: CONFIG_VARIABLE,
                source,
            })?;
        JsonFile::read(&path)?.required_address(DISCOVERY_SERVICE_KEY)
    }

    /// The digest of this configuration with the discovery service at another address.
    pub fn configuration_digest(
        settings_digest: u64,
        discovery_service: Option<SocketAddr>,
    ) -> u64 {
        mix(settings_digest ^ discovery_service.map_or(0, address_hash))
    }

    /// Reads the platform's file; `listen` replaces its address for clients.
    fn parse(
        file: &JsonFile,
        listen: Option<Result<SocketAddr, ConfigError>>,
    ) -> Result<Config, ConfigError> {
        let empty = Object::new();
        let settings_fields = file.object("settings").unwrap_or(&empty);
        let settings = parse_settings(settings_fields)?;
        // Before the known events are copied: what is allocated behind them keeps the heap from shrinking once they are
        // freed (`tests/large_list.rs`: at most 64 MB instead of 86 MB with 20,000 workers).
        let faults = Settings::faults(settings_fields);
        let listen = match listen {
            Some(address) => Some(address?),
            None => file.address("listen")?,
        };
        let admin = file.address("admin")?;
        if let Some(admin) = admin {
            check_admin_address("'admin'", admin, listen)?;
        }
        Ok(Config {
            settings_digest: settings_digest(settings_fields),
            name: file.text("name").unwrap_or_default().to_owned(),
            listen: listen.ok_or(ConfigError::NoListenAddress)?,
            discovery_service: file.address(DISCOVERY_SERVICE_KEY)?,
            known_events: file.object("known").cloned().unwrap_or_default(),
            seed: parse_seed(file)?,
            limits: parse_limits(file.object("limits").unwrap_or(&empty), &settings),
            settings,
            faults,
            kserve: None,
            admin,
            fleet: None,
        })
    }
}

fn parse_settings(fields: &Object) -> Result<Settings, ConfigError> {
    let settings = Settings::from_json(fields);
    if settings.classes.is_empty() {
        return Err(ConfigError::NoClasses);
    }
    Ok(settings)
}

fn settings_digest(fields: &Object) -> u64 {
    u64::from(crc32fast::hash(json::to_string(fields).as_bytes()))
}

fn parse_limits(fields: &Object, settings: &Settings) -> Limits {
    let memory_mb = number(fields, "memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
    let sockets = number(fields, "sockets").unwrap_or(DEFAULT_SOCKETS);
    Limits::new(memory_mb as u64, sockets as u64, settings)
}

fn parse_seed(file: &JsonFile) -> Result<u64, ConfigError> {
    let seed = file.text("seed").unwrap_or("0");
    u64::from_str_radix(seed, 16).map_err(|source| ConfigError::NotHexadecimal {
        file: file.path(),
        key: "seed",
        value: seed.to_owned(),
        source,
    })
}

/// Port 0 is never the clients' port: each socket gets one of its own.
fn check_admin_address(
    setting: &'static str,
    admin: SocketAddr,
    listen: Option<SocketAddr>,
) -> Result<(), ConfigError> {
    if admin.port() != 0 && Some(admin) == listen {
        return Err(ConfigError::AdminOnClientAddress {
            setting,
            address: admin,
        });
    }
    Ok(())
}

/// A variable's text; an empty one counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn variable_address(name: &'static str) -> Option<Result<SocketAddr, ConfigError>> {
    let value = variable(name)?;
    let address = value
        .parse()
        .map_err(|source| ConfigError::InvalidVariableAddress {
            variable: name,
            value,
            source,
        });
    Some(address)
}
