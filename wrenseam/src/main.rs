//! Starts one front end from its environment, or checks its files; everything else is in the library.
#![forbid(unsafe_code)]

use clap::Parser;
use std::process::ExitCode;
use wrenseam::cli::{check, Cli, Command};

fn main() -> ExitCode {
    // The signals come first: one that arrives while the configuration is read must not end the program.
    let signals = wrenseam::shutdown::signals().map_err(|e| e.to_string());
    let run = |signals| wrenseam::run(wrenseam::config::Config::from_environment()?, signals);
    let (part, done) = match Cli::parse().command {
        None | Some(Command::Serve) => ("start", signals.and_then(run)),
        Some(Command::Check {
            config,
            kserve,
            fleet,
        }) => (
            "check",
            check(&config, kserve.as_deref(), fleet.as_deref())
                .map(|said| println!("check: {said}")),
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
