//! The design's formula of virtual losses, alone: what each figure means is in docs/design.md. No I/O and no state.

/// The busy share of the workers counts as at least this.
const LEAST_BUSY: f64 = 0.05;
/// The busy share of the workers counts as at most this.
const MOST_BUSY: f64 = 0.95;

/// The paper's effective theta for a busy share and the `instances` that a worker holds: rho/(1 - rho) (d - 1)/d.
pub fn theta(busy: f64, instances: f64) -> f64 {
    let rho = busy.clamp(LEAST_BUSY, MOST_BUSY);
    rho / (1.0 - rho) * (instances - 1.0).max(0.0) / instances.max(1.0)
}

/// Whether the design has virtual losses there: only while theta and z* are at least 1 and the function is loaded
/// somewhere. To be asked first: what the chance needs besides takes a look at all workers of the function.
pub fn has_virtual_losses(loaded: usize, theta: f64, z_star: f64) -> bool {
    theta >= 1.0 && loaded > 0 && z_star >= 1.0
}

/// The chance of a virtual loss for a function that is `loaded` at so many workers, of which `free` have a replica that
/// can run a request at once, with `in_flight` requests; `least_z_star` is the smallest z* of all functions. `None`
/// where the design has none and no chance is drawn: theta or z* under 1, or loaded nowhere.
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
