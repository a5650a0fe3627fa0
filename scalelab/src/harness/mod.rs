//! A harness for experiments on real processes: front ends as child processes, a stand-in discovery service, v2
//! clients, and what a process uses as the kernel counts it.
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
pub use watch_events::{endpoint_json, unreachable_address, unreachable_endpoints, WatchEvent};

use crate::ExperimentError;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Front ends of the size to plan with, in the configuration of every process.
pub const FRONT_ENDS: usize = 660;
/// Longest wait for anything.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The class of all requests.
pub const CLASS: &str = "tile-render";
/// Small, as an experiment may run some hundred threads.
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Locks a mutex, also where a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Failed(error.to_string())
}

/// Starts a thread with a small stack.
///
/// # Errors
/// The system has no thread to give.
pub fn spawn_thread(
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, ExperimentError> {
    std::thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run)
        .map_err(failed)
}

/// Waits until `done`, polling at this interval.
///
/// # Errors
/// It is not so within [`WAIT_TIMEOUT`].
pub fn wait_until(
    what: &str,
    poll_interval: Duration,
    mut done: impl FnMut() -> bool,
) -> Result<(), ExperimentError> {
    let started = Instant::now();
    while !done() {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(ExperimentError::Failed(format!(
                "{what}: not within {WAIT_TIMEOUT:?}"
            )));
        }
        std::thread::sleep(poll_interval);
    }
    Ok(())
}
