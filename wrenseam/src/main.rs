//! Starts one front end from its environment; everything else is in the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    // The signals come first: one that arrives while the configuration is read must not end the program.
    let run = |signals| wrenseam::run(wrenseam::config::Config::from_environment()?, signals);
    match wrenseam::shutdown::signals().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("start: {message}");
            ExitCode::FAILURE
        }
    }
}
