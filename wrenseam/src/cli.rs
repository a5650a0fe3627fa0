//! The command line: `serve`, also what is done without arguments, and `check` of configuration files.
use crate::config::Config;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

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

/// Reads the files; what they say in one line, or what is wrong.
pub fn check(
    config: &std::path::Path,
    kserve: Option<&std::path::Path>,
    fleet: Option<&std::path::Path>,
) -> Result<String, String> {
    let config = Config::from_files(config, kserve)?;
    let fleet = fleet
        .map(|f| crate::config::Fleet::read(&f.to_string_lossy()))
        .transpose()?;
    if let Some(unknown) = fleet
        .iter()
        .flat_map(|f| &f.shed_order)
        .find(|n| config.settings.class(n) >= config.settings.classes.len())
    {
        return Err(format!(
            "the fleet's shed_order names {unknown}, which is no class of the settings"
        ));
    }
    let (classes, tenants) = (config.settings.classes.len(), config.settings.tenants.len());
    let listen = config.listen;
    let door = config
        .admin
        .map_or(String::new(), |a| format!(", the operators' door at {a}"));
    let fleet = fleet.map_or(String::new(), |f| {
        format!(", gossip at {} with {} seeds", f.listen, f.seeds.len())
    });
    let faults: String = config
        .faults
        .iter()
        .map(|why| format!("\nsettings: {why}; taken as not stated"))
        .collect();
    Ok(format!(
        "{} would listen on {listen}{door}{fleet}, with {classes} classes and {tenants} tenants{faults}",
        config.name
    ))
}
