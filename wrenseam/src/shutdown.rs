//! Signals: SIGHUP has the configuration read again, SIGTERM and SIGINT begin the graceful shutdown.
pub mod messages;

use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::front::{admin, close, Listener, ListenerContext};
use crate::model::{AdminCommand, DiscoveryContact};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wrenseam_policy::readiness_lease::Interruption;

/// How often a shutdown looks whether all connections have closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The signals could not be registered.
#[derive(Debug, thiserror::Error)]
#[error("signals: {0}")]
pub struct SignalError(#[from] io::Error);

/// Registers the signals; called before anything else runs, so that none is missed or ends the program.
///
/// # Errors
/// The system does not register them.
pub fn signals() -> Result<Signals, SignalError> {
    Ok(Signals::new([SIGHUP, SIGTERM, SIGINT])?)
}

/// Serves SIGHUP until SIGTERM or SIGINT comes, then shuts down gracefully. Returns when the program may exit.
pub fn wait(
    signals: Signals,
    settings_digest: u64,
    listeners: &[Listener],
    context: &ListenerContext,
    discovery: &DiscoveryAddress,
) {
    reload_until_stopped(signals, settings_digest, context, discovery);
    start_draining(context);
    serve_for_grace_period(context);
    reject_new_requests(context);
    close_listeners(listeners, context);
    close_connections(context);
    let open_requests = context.process_state.open.load(Ordering::Acquire);
    eprintln!("{}", messages::shutdown_complete(open_requests));
}

/// Serves SIGHUP until another signal comes.
fn reload_until_stopped(
    mut signals: Signals,
    settings_digest: u64,
    context: &ListenerContext,
    discovery: &DiscoveryAddress,
) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            return;
        }
        // Guards against a file that is missing or half written: the configuration before goes on to hold.
        match Config::discovery_service_now() {
            Ok(address) => reload(address, settings_digest, context, discovery),
            Err(error) => eprintln!("{}", messages::configuration_unchanged(&error)),
        }
    }
}

/// Follows the discovery service to another address.
fn reload(
    address: SocketAddr,
    settings_digest: u64,
    context: &ListenerContext,
    discovery: &DiscoveryAddress,
) {
    eprintln!("{}", messages::discovery_moved(address));
    let digest = Config::configuration_digest(settings_digest, Some(address));
    let config_digest = &context.process_state.config_digest;
    config_digest.store(digest, Ordering::Release);
    if discovery.set(address) {
        context
            .core
            .discovery_contact(DiscoveryContact::Interrupted {
                at: Instant::now(),
                cause: Interruption::Moved,
            });
    }
}

/// Readiness says no at once: a process that replaces this one takes the new clients.
fn start_draining(context: &ListenerContext) {
    let _ = admin::ask(context, AdminCommand::Evacuate); // the shutdown goes on without the core's reply
    let message = messages::shutdown_started(context.limits.listener_close_delay);
    eprintln!("{message}");
}

/// The gateway goes on sending for a while: what comes in that time is answered like any other.
fn serve_for_grace_period(context: &ListenerContext) {
    std::thread::sleep(context.limits.listener_close_delay);
}

fn reject_new_requests(context: &ListenerContext) {
    let stopping = &context.process_state.stopping;
    stopping.store(true, Ordering::Release);
}

fn close_listeners(listeners: &[Listener], context: &ListenerContext) {
    context.listeners_closing.store(true, Ordering::Release);
    for listener in listeners {
        close(listener, context);
    }
}

/// From here on each connection decides for itself, in order: what is unread is read, what is half read is completed
/// or ended, what is pending is answered, what is queued is written, and then it closes and frees its slot. With no
/// slot in use and no accept loop nothing is left; no count passes from one to another meanwhile.
fn close_connections(context: &ListenerContext) {
    context.shutting_down.store(true, Ordering::Release);
    let started_at = Instant::now();
    while remaining(context, started_at) > 0
        && started_at.elapsed() < context.limits.shutdown_timeout
    {
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Connections, and accept loops that may still have one. A loop that was not woken by its listener's close holds no
/// connection: it waits for one, and is no longer counted after a linger.
fn remaining(context: &ListenerContext, started_at: Instant) -> usize {
    let accept_loops = context.accept_loops.load(Ordering::Acquire);
    let connections = context.process_state.clients.load(Ordering::Acquire);
    if started_at.elapsed() < context.limits.linger_timeout {
        accept_loops + connections
    } else {
        connections
    }
}
