//! Runs the policy on the simulator's wire protocol: reads batches of messages on standard input, writes replies on
//! standard output. It only translates; all decisions are made by the policy.
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod error;
mod session;

use session::Session;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), error::RunError> {
    let mut session = Session::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let line_number = index + 1;
        let line = line.map_err(|source| error::RunError::Input {
            line: line_number,
            source,
        })?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = session
            .handle_line(&line)
            .map_err(|source| error::RunError::Message {
                line: line_number,
                source,
            })?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(error::RunError::Output)?;
        }
    }
    session.end()
}
