//! Starts one front end from its environment, or checks its files; everything else is in the library.
#![forbid(unsafe_code)]

use clap::Parser;
use std::process::ExitCode;
use wrenseam::cli::{check, Cli, Command};
use wrenseam::config::Config;

fn main() -> ExitCode {
    // The signals come first: one that arrives while the configuration is read must not end the program.
    let signals = wrenseam::shutdown::signals();
    let run = |signals| {
        let config = Config::from_environment().map_err(|error| error.to_string())?;
        wrenseam::run(config, signals)
    };
    let (part, done) = match Cli::parse().command {
        None | Some(Command::Serve) => ("start", signals.and_then(run)),
        Some(Command::Check {
            config,
            kserve,
            fleet,
        }) => (
            "check",
            check(&config, kserve.as_deref(), fleet.as_deref())
                .map(|said| println!("check: {said}"))
                .map_err(|error| error.to_string()),
        ),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{part}: {message}");
            ExitCode::FAILURE
        }
    }
}
