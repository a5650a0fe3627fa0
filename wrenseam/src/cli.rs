//! The command line: `serve`, also what is done without arguments, and `check` of configuration files.
use crate::config::{Config, ConfigError, FleetConfig};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Front end of a tile service: FastCGI and KServe v2 before, workers behind.
#[derive(Debug, Parser)]
#[command(name = "wrenseam", version)]
pub struct Cli {
    /// What to do; serve, if nothing is named.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program does.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one front end from NODE_CONFIG, NODE_NAME, NODE_LISTEN and WRENSEAM_KSERVE.
    Serve,
    /// Read configuration files as `serve` would, and say what is wrong with them.
    Check {
        /// The platform's configuration file, as NODE_CONFIG would name it.
        config: PathBuf,
        /// The KServe v2 front's file, as WRENSEAM_KSERVE would name it.
        #[arg(long)]
        kserve: Option<PathBuf>,
        /// The fleet's file, as WRENSEAM_FLEET would name it.
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
}

/// Why configuration files cannot be used together.
#[derive(Debug, Error)]
pub enum CheckError {
    /// One of them cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet's file sheds a class that the settings do not have.
    #[error("the fleet's shed_order names {class}, which is no class of the settings")]
    UnknownClass {
        /// The class's name.
        class: String,
    },
}

/// Reads the files and describes what they come to.
///
/// # Errors
///
/// A [`CheckError`] for the first file that cannot be used, or if they contradict each other.
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

/// One line, and one more for each setting that cannot be used.
fn describe(config: &Config, fleet: Option<&FleetConfig>) -> String {
    let admin = match config.admin {
        Some(address) => format!(", the operators' door at {address}"),
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
