//! What experiments on real processes share: the program as a child that ends with its parent, a stand-in notice
//! discovery, v2 clients, and what a process takes, as the kernel counts it.
mod discovery_service;
mod front_end_options;
mod front_end_process;
mod inference_client;
mod resource_usage;
mod watch_events;

pub use discovery_service::DiscoveryService;
pub use front_end_options::FrontEndOptions;
pub use front_end_process::{binary, ready, FrontEndProcess};
pub use inference_client::InferenceClient;
pub use resource_usage::ResourceUsage;
pub use watch_events::{endpoint_json, unreachable_endpoints, watch_event, watch_events};

use crate::ExperimentError;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Front ends of the size to plan with: what every process is told as `balancers`.
pub const FRONT_ENDS: usize = 660;
/// Longest that anything is waited for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The class and tenant of all calls.
pub const CLASS: &str = "tile-render";
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Locks, whoever panicked with it.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(e: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Failed(e.to_string())
}

/// Starts a thread with a small stack.
pub fn thread(
    run: impl FnOnce() + Send + 'static,
) -> Result<std::thread::JoinHandle<()>, ExperimentError> {
    std::thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run)
        .map_err(failed)
}

/// Waits wait_until `done`, looking every `step`.
///
/// # Errors
/// It is not so within [`WAIT_TIMEOUT`].
pub fn wait_until(
    what: &str,
    step: Duration,
    mut done: impl FnMut() -> bool,
) -> Result<(), ExperimentError> {
    let since = Instant::now();
    while !done() {
        if since.elapsed() > WAIT_TIMEOUT {
            return Err(ExperimentError::Failed(format!(
                "{what}: not within {WAIT_TIMEOUT:?}"
            )));
        }
        std::thread::sleep(step);
    }
    Ok(())
}
