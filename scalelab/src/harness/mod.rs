//! What experiments on real processes share: the program as a child that ends with its parent, a stand-in notice
//! board, v2 clients, and what a process takes, as the kernel counts it.
mod board;
mod client;
mod configuration;
mod events;
mod front_end;
mod usage;

pub use board::Board;
pub use client::Caller;
pub use configuration::Told;
pub use events::{event, hollow, instance, parts};
pub use front_end::{binary, ready, Program};
pub use usage::Usage;

use crate::Fault;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Front ends of the size to plan with: what every process is told as `balancers`.
pub const FRONTS: usize = 660;
/// Longest that anything is waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// The class and tenant of all calls.
pub const CLASS: &str = "tile-render";
const STACK: usize = 128 * 1024;

/// Locks, whoever panicked with it.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(e: impl std::fmt::Display) -> Fault {
    Fault::Failed(e.to_string())
}

/// Starts a thread with a small stack.
pub fn thread(run: impl FnOnce() + Send + 'static) -> Result<std::thread::JoinHandle<()>, Fault> {
    std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(run)
        .map_err(failed)
}

/// Waits until `done`, looking every `step`.
///
/// # Errors
/// It is not so within [`PATIENCE`].
pub fn until(what: &str, step: Duration, mut done: impl FnMut() -> bool) -> Result<(), Fault> {
    let since = Instant::now();
    while !done() {
        if since.elapsed() > PATIENCE {
            return Err(Fault::Failed(format!("{what}: not within {PATIENCE:?}")));
        }
        std::thread::sleep(step);
    }
    Ok(())
}
