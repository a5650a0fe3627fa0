//! Signals: SIGHUP reloads the configuration, SIGTERM and SIGINT start the graceful shutdown.
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

/// How often a shutdown checks whether all connections have closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which the response of the last open request is written.
const LAST_WRITE_TIME: Duration = Duration::from_millis(100);

/// The signal handlers could not be registered.
#[derive(Debug, thiserror::Error)]
#[error("signals: {0}")]
pub struct SignalError(#[from] io::Error);

/// Registers the signal handlers. Called before anything else runs, so that no signal is missed or kills the process.
///
/// # Errors
/// The operating system did not register a handler.
pub fn signals() -> Result<Signals, SignalError> {
    Ok(Signals::new([SIGHUP, SIGTERM, SIGINT])?)
}

/// Handles SIGHUP until SIGTERM or SIGINT arrives, then shuts down gracefully. Returns when the process may exit.
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
    let open_requests = context.process_state.open_requests.load(Ordering::Acquire);
    log_line!("{}", messages::shutdown_complete(open_requests));
}

/// Handles SIGHUP until another signal arrives.
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
        // If the file is missing or half written, the previous configuration stays in force.
        match Config::discovery_service_now() {
            Ok(address) => reload(address, settings_digest, context, discovery),
            Err(error) => log_line!("{}", messages::configuration_unchanged(&error)),
        }
    }
}

/// Applies a reloaded configuration, of which only the address of the discovery service is used.
fn reload(
    address: SocketAddr,
    settings_digest: u64,
    context: &ListenerContext,
    discovery: &DiscoveryAddress,
) {
    log_line!("{}", messages::discovery_moved(address));
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

/// Reports not ready at once, so that new clients go to the process that replaces this one.
fn start_draining(context: &ListenerContext) {
    let _ = admin::send_command(context, AdminCommand::Evacuate); // the shutdown continues without the core's reply
    let message = messages::shutdown_started(context.limits.listener_close_delay);
    log_line!("{message}");
}

/// Serves as usual for the grace period, in which the gateway may still open connections and send requests.
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

/// Waits until all connections have closed, or until a time limit of the shutdown. Each connection closes itself: it reads
/// unread input, completes or ends a half-read request, answers pending requests, writes queued responses, closes, and
/// then frees its slot. When no slot is in use and no accept loop runs, nothing is left. No connection is missed
/// between the two counts, as an accept loop acquires a connection's slot before it ends.
fn close_connections(context: &ListenerContext) {
    context.shutting_down.store(true, Ordering::Release);
    let started_at = Instant::now();
    let mut last_open_at = started_at;
    while remaining(context, started_at) > 0
        && started_at.elapsed() < context.limits.shutdown_timeout
        && !is_delivery_given_up(context, started_at, last_open_at)
    {
        std::thread::sleep(CHECK_INTERVAL);
        if context.process_state.open_requests.load(Ordering::Acquire) > 0 {
            last_open_at = Instant::now();
        }
    }
}

/// Whether all that remains are connections whose clients have not taken their responses in time. What is in the
/// system's send buffers is delivered after the exit too.
fn is_delivery_given_up(
    context: &ListenerContext,
    started_at: Instant,
    last_open_at: Instant,
) -> bool {
    started_at.elapsed() >= context.limits.shutdown_delivery_timeout
        && last_open_at.elapsed() >= LAST_WRITE_TIME
}

/// The number of connections, and of accept loops that may still hold one. An accept loop that its listener's close did
/// not wake up holds no connection, so accept loops are counted only for the linger time after the shutdown began to
/// close connections.
fn remaining(context: &ListenerContext, started_at: Instant) -> usize {
    let accept_loops = context.accept_loops.load(Ordering::Acquire);
    let connections = context
        .process_state
        .client_connections
        .load(Ordering::Acquire);
    if started_at.elapsed() < context.limits.linger_timeout {
        accept_loops + connections
    } else {
        connections
    }
}
