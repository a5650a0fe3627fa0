//! The program: runs one front end configured by the environment, or checks configuration files.
#![forbid(unsafe_code)]

use clap::Parser;
use signal_hook::iterator::Signals;
use std::error::Error;
use std::process::ExitCode;
use wrenseam::cli::{check, Cli, Command};
use wrenseam::config::Config;

fn main() -> ExitCode {
    // Registered first, so that a signal that arrives while the configuration is read does not kill the process.
    let signals = wrenseam::shutdown::signals();
    let (command, result) = match Cli::parse().command {
        None | Some(Command::Serve) => ("start", signals.map_err(Into::into).and_then(serve)),
        Some(Command::Check {
            config,
            kserve,
            fleet,
        }) => {
            let report = check(&config, kserve.as_deref(), fleet.as_deref());
            ("check", report.map(print_report).map_err(Into::into))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            wrenseam::log_line!("{command}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(signals: Signals) -> Result<(), Box<dyn Error>> {
    let config = Config::from_environment()?;
    wrenseam::run(config, signals)?;
    Ok(())
}

fn print_report(report: String) {
    println!("check: {report}");
}
