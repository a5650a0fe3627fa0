//! The admin endpoint for operators. Each connection carries one command line and one reply, and is then closed. The
//! reply is the telemetry, or a line that begins with `YES` or `NO`. The core answers all valid commands.
mod command;
mod exclusions;
mod file;
mod handover;
mod line;
mod reply;

pub use command::CommandError;
pub use exclusions::{
    exclusions_path, read_exclusions, update_exclusions, write_exclusions, ExclusionCommands,
    RunningCommand,
};
pub use handover::{poll_handover_files, ActiveProcess, POLL_INTERVAL};
pub use line::{ReadLineError, MAX_LINE_LENGTH, READ_TIMEOUT};
pub use reply::{render, AdminError};

use super::listener::ACCEPT_RETRY_DELAY;
use super::{messages, ListenerContext};
use crate::model::{AdminCommand, AdminReply};
use crate::net::{resume_on_scheduler, sleep, spawn};
use crate::queue::Message;
use line::read_line;
use may::net::{TcpListener, TcpStream};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of open connections; further ones are closed at once. Limits the use of file descriptors and of the
/// core's queue.
pub const MAX_CONNECTIONS: usize = 8;
/// Time that the core has to reply to a command. After that the client gets `NO busy`. Also the timeout for writing the
/// reply to the connection.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Accepts connections until the process exits.
pub fn accept(listener: &TcpListener, context: &ListenerContext) {
    let connections = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept() {
            Ok((stream, peer)) => admit(stream, peer, context, &connections),
            Err(error) => {
                log_limited!("{}", messages::accept_failed("admin", &error));
                sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Serves a connection in a coroutine of its own, or closes it if too many are open.
fn admit(
    stream: TcpStream,
    peer: SocketAddr,
    context: &ListenerContext,
    connections: &Arc<AtomicUsize>,
) {
    if connections.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
        connections.fetch_sub(1, Ordering::AcqRel);
        return log_limited!("{}", messages::admin_connection_rejected(peer));
    }
    let stack = context.limits.coroutine_stack_bytes;
    let context = context.clone();
    let connections = connections.clone();
    let run = move || {
        serve(stream, &context);
        connections.fetch_sub(1, Ordering::AcqRel);
    };
    if let Err(error) = spawn(stack, run) {
        log_limited!("{}", messages::connection_not_served("admin", peer, &error));
    }
}

/// Serves one connection: reads the command line, writes the reply and closes the connection.
fn serve(mut stream: TcpStream, context: &ListenerContext) {
    let line = match read_line(&mut stream) {
        Ok(line) => line,
        Err(error) => return log_limited!("{}", messages::admin_connection_closed(&error)),
    };
    let reply = render(&execute(&line, context));
    let _ = stream.set_write_timeout(Some(REPLY_TIMEOUT));
    if let Err(error) = stream.write_all(reply.as_bytes()) {
        log_limited!("{}", messages::admin_reply_not_written(&error));
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Executes the command in this line.
fn execute(line: &str, context: &ListenerContext) -> Result<AdminReply, AdminError> {
    match AdminCommand::parse(line)? {
        command @ (AdminCommand::Exclude(_) | AdminCommand::Include(_)) => {
            let _running = context.exclusion_commands.begin();
            update_exclusions(&exclusions_path(), command, |command| {
                send_command(context, command)
            })
        }
        command => send_command(context, command),
    }
}

/// Sends a command to the core and waits for the reply.
///
/// # Errors
/// The core has ended, or has not replied within [`REPLY_TIMEOUT`]. It may still execute the command then.
pub fn send_command(
    context: &ListenerContext,
    command: AdminCommand,
) -> Result<AdminReply, AdminError> {
    let (reply, replies) = may::sync::mpsc::channel();
    let message = Message::Admin { command, reply };
    context
        .core
        .send(message)
        .map_err(|_| AdminError::CoreEnded)?;
    let received = replies.recv_timeout(REPLY_TIMEOUT);
    resume_on_scheduler();
    received.map_err(|_| AdminError::Busy)
}
