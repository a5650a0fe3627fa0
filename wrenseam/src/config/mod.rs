//! The start configuration, from environment variables, the platform's file (`NODE_CONFIG`), and the files of the
//! KServe v2 front (`WRENSEAM_KSERVE`) and of the fleet (`WRENSEAM_FLEET`).
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

/// Variable with the path of the platform's file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Variable that overrides `name` in the platform's file.
const NAME_VARIABLE: &str = "NODE_NAME";
/// Variable that overrides `listen` in the platform's file.
const LISTEN_VARIABLE: &str = "NODE_LISTEN";
/// Variable that overrides `admin` in the platform's file.
const ADMIN_VARIABLE: &str = "NODE_ADMIN";
/// Variable with the path of the KServe v2 front's file. Without it the front is off, as on the platform.
const KSERVE_VARIABLE: &str = "WRENSEAM_KSERVE";
/// Variable with the path of the fleet's file. Without it front ends do not gossip, as on the platform.
const FLEET_VARIABLE: &str = "WRENSEAM_FLEET";

/// Key of the discovery service's address in the platform's file.
const DISCOVERY_SERVICE_KEY: &str = "board";

/// Memory limit of the process, in MB, if the platform's file states none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Limit of the process's file descriptors if the platform's file states none.
const DEFAULT_DESCRIPTORS: f64 = 1024.0;

/// The start configuration.
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Where FastCGI clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service; `None`: the platform's file states none.
    pub discovery_service: Option<SocketAddr>,
    /// The discovery service's events up to the start, as the platform's file holds them.
    pub known_events: Object,
    /// Seed of all random numbers; 0 if the platform's file states none.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Settings,
    /// Invalid settings, which count as not stated.
    pub faults: Vec<SettingsFault>,
    /// Sizes, counts and times of the process.
    pub limits: Limits,
    /// A digest of the settings. Together with the discovery service's address it detects front ends that run with
    /// another configuration; see [`Config::configuration_digest`].
    pub settings_digest: u64,
    /// The configuration of the KServe v2 front; `None`: it is off.
    pub kserve: Option<KserveConfig>,
    /// Where the admin endpoint listens (`admin`, or `NODE_ADMIN`); `None`: there is none.
    pub admin: Option<SocketAddr>,
    /// The configuration of the fleet's gossip and budgets; `None`: `WRENSEAM_FLEET` is not set.
    pub fleet: Option<FleetConfig>,
}

impl Config {
    /// Reads the environment variables and the files that they name.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] for the first invalid variable or file.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::NoFileNamed {
            variable: CONFIG_VARIABLE,
        })?;
        let file = JsonFile::read(&path)?;
        let mut config = Config::parse(&file, variable_address(LISTEN_VARIABLE))?;
        // Freed early: its known events may take much of the memory.
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

    /// Reads these files and ignores the environment.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] for the first invalid file.
    pub fn from_files(config: &Path, kserve: Option<&Path>) -> Result<Config, ConfigError> {
        let file = JsonFile::read(&config.to_string_lossy())?;
        let mut config = Config::parse(&file, None)?;
        if let Some(path) = kserve {
            config.kserve = Some(KserveConfig::read(&path.to_string_lossy())?);
        }
        Ok(config)
    }

    /// Reads the discovery service's address from the platform's file again, for a reload. Everything else in the file
    /// applies until the process ends.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if the file cannot be read or has no valid address.
    pub fn discovery_service_now() -> Result<SocketAddr, ConfigError> {
        let path =
            std::env::var(CONFIG_VARIABLE).map_err(|source| ConfigError::UnreadableVariable {
                variable: CONFIG_VARIABLE,
                source,
            })?;
        JsonFile::read(&path)?.required_address(DISCOVERY_SERVICE_KEY)
    }

    /// The digest of a configuration: of its settings and the discovery service's current address.
    pub fn configuration_digest(
        settings_digest: u64,
        discovery_service: Option<SocketAddr>,
    ) -> u64 {
        mix(settings_digest ^ discovery_service.map_or(0, address_hash))
    }

    /// Parses the platform's file; `listen` overrides its address for clients.
    fn parse(
        file: &JsonFile,
        listen: Option<Result<SocketAddr, ConfigError>>,
    ) -> Result<Config, ConfigError> {
        let empty = Object::new();
        let settings_fields = file.object("settings").unwrap_or(&empty);
        let settings = parse_settings(settings_fields)?;
        // Computed before the known events are copied: allocations made after them keep the heap from shrinking once
        // they are freed (`tests/large_list.rs`: at most 64 MB instead of 86 MB with 20,000 workers).
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
    let descriptors = number(fields, "sockets").unwrap_or(DEFAULT_DESCRIPTORS);
    Limits::new(memory_mb as u64, descriptors as u64, settings)
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

/// Checks that the admin endpoint does not have the clients' address. Port 0 is no conflict: each socket gets a port of
/// its own.
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

/// A variable's value; an empty one counts as not set.
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
