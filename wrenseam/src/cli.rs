//! The command line: `serve`, which is the default, and `check`, which validates configuration files.
use crate::config::{Config, ConfigError, FleetConfig};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Front end of a tile service: forwards FastCGI and KServe v2 requests to workers.
#[derive(Debug, Parser)]
#[command(name = "wrenseam", version)]
pub struct Cli {
    /// The command to run; `serve` if none is given.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one front end, configured by NODE_CONFIG, NODE_NAME, NODE_LISTEN and WRENSEAM_KSERVE.
    Serve,
    /// Read configuration files as `serve` would, and report errors in them.
    Check {
        /// The platform's configuration file, which NODE_CONFIG names for `serve`.
        config: PathBuf,
        /// The configuration file of the KServe v2 front, which WRENSEAM_KSERVE names for `serve`.
        #[arg(long)]
        kserve: Option<PathBuf>,
        /// The configuration file of the fleet, which WRENSEAM_FLEET names for `serve`.
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
}

/// Why configuration files cannot be used.
#[derive(Debug, Error)]
pub enum CheckError {
    /// One of the files is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The shed order in the fleet's file names a class that the settings do not have.
    #[error("the fleet's shed_order names {class}, which is not a class of the settings")]
    UnknownClass {
        /// The name in the shed order.
        class: String,
    },
}

/// Reads the files and describes the configuration that they result in.
///
/// # Errors
///
/// A [`CheckError`] if a file is invalid, or if the fleet's file names a class that the settings do not have.
pub fn check(
    config: &Path,
    kserve: Option<&Path>,
    fleet: Option<&Path>,
) -> Result<String, CheckError> {
    let config = Config::from_files(config, kserve)?;
    let fleet = match fleet {
        Some(path) => Some(FleetConfig::read(&path.to_string_lossy())?),
        None => None,
    };
    if let Some(fleet) = &fleet {
        check_shed_order(&config, fleet)?;
    }
    Ok(describe(&config, fleet.as_ref()))
}

fn check_shed_order(config: &Config, fleet: &FleetConfig) -> Result<(), CheckError> {
    for class in &fleet.shed_order {
        if config.settings.class(class) >= config.settings.classes.len() {
            return Err(CheckError::UnknownClass {
                class: class.clone(),
            });
        }
    }
    Ok(())
}

/// Describes the configuration in one line, and each setting that is ignored as invalid in one more.
fn describe(config: &Config, fleet: Option<&FleetConfig>) -> String {
    let admin = match config.admin {
        Some(address) => format!(", the admin endpoint at {address}"),
        None => String::new(),
    };
    let gossip = match fleet {
        Some(fleet) => format!(
            ", gossip at {} with {} seeds",
            fleet.listen,
            fleet.seeds.len()
        ),
        None => String::new(),
    };
    let mut description = format!(
        "{} would listen on {}{admin}{gossip}, with {} classes and {} tenants",
        config.name,
        config.listen,
        config.settings.classes.len(),
        config.settings.tenants.len(),
    );
    for fault in &config.faults {
        description.push_str(&format!("\nsettings: {fault}; taken as not stated"));
    }
    description
}
