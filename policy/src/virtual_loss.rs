//! The formula for the probability of a virtual loss, as pure functions. docs/design.md explains it and its variables.

/// Lower bound of the share of busy workers in the formula.
const MIN_BUSY_SHARE: f64 = 0.05;
/// Upper bound of the share of busy workers in the formula.
const MAX_BUSY_SHARE: f64 = 0.95;

/// The paper's effective theta, rho/(1 - rho) (d - 1)/d, where rho is the share of busy workers (`busy_share`, between
/// 0 and 1) and d the number of replicas that fit into a worker's memory (`replicas_per_worker`).
pub fn theta(busy_share: f64, replicas_per_worker: f64) -> f64 {
    let rho = busy_share.clamp(MIN_BUSY_SHARE, MAX_BUSY_SHARE);
    rho / (1.0 - rho) * (replicas_per_worker - 1.0).max(0.0) / replicas_per_worker.max(1.0)
}

/// Whether the function can have virtual losses at all: only while theta and z* are at least 1 and the function is
/// `loaded` at some worker. To be checked first, as the number of free replicas that [`virtual_loss_chance`] needs
/// takes a pass over all workers of the function.
pub fn has_virtual_losses(loaded: usize, theta: f64, z_star: f64) -> bool {
    theta >= 1.0 && loaded > 0 && z_star >= 1.0
}

/// The probability of a virtual loss, between 0 and 1, for a function that is `loaded` at this number of workers, of
/// which `free` have a replica that can run a request at once, and has `in_flight` requests. `least_z_star` is the
/// smallest z* of all functions. `None` where the function cannot have virtual losses ([`has_virtual_losses`]); no
/// random number is drawn then.
pub fn virtual_loss_chance(
    loaded: usize,
    free: usize,
    in_flight: f64,
    theta: f64,
    z_star: f64,
    least_z_star: f64,
) -> Option<f64> {
    if !has_virtual_losses(loaded, theta, z_star) {
        return None;
    }
    if free as f64 > z_star {
        return Some(0.0);
    }
    let term = |i: usize| (in_flight + i as f64 * theta) / (loaded as f64 - i as f64 + 1.0);
    Some(((1..=free).map(term).product::<f64>() * least_z_star / z_star).min(1.0))
}
