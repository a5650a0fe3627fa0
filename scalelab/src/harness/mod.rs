//! A harness for experiments on real processes: front ends as child processes, a simulated discovery service, v2
//! clients, and the resource usage of processes.
mod discovery_service;
mod front_end_options;
mod front_end_process;
mod inference_client;
mod resource_usage;
mod watch_events;

pub use discovery_service::DiscoveryService;
pub use front_end_options::FrontEndOptions;
pub use front_end_process::{front_end_executable, is_ready, FrontEndProcess};
pub use inference_client::InferenceClient;
pub use resource_usage::ResourceUsage;
pub use watch_events::{endpoint_json, unreachable_address, unreachable_endpoints, WatchEvent};

use crate::ExperimentError;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of front ends in the configuration of each process, unless an experiment sets another: a deployment of the
/// planned size.
pub const FRONT_ENDS: usize = 660;
/// Longest wait for a condition, in experiments and their tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The request class of all requests.
pub const CLASS: &str = "tile-render";
/// Stack size of each thread: small, as an experiment may run some hundred threads.
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Failed(error.to_string())
}

/// Starts a thread with a small stack.
///
/// # Errors
/// The thread cannot be created.
pub fn spawn_thread(
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, ExperimentError> {
    std::thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run)
        .map_err(failed)
}

/// Waits until `done` returns true, polling at this interval. `condition` names what is waited for in the error.
///
/// # Errors
/// `done` does not return true within [`WAIT_TIMEOUT`].
pub fn wait_until(
    condition: &str,
    poll_interval: Duration,
    mut done: impl FnMut() -> bool,
) -> Result<(), ExperimentError> {
    let started = Instant::now();
    while !done() {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(ExperimentError::Failed(format!(
                "timed out after {WAIT_TIMEOUT:?} waiting for {condition}"
            )));
        }
        std::thread::sleep(poll_interval);
    }
    Ok(())
}
