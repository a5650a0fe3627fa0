//! The design's formula of virtual losses, alone: what each figure means is in docs/design.md. No I/O and no state.

/// The busy share counts as at least and at most this.
const BUSY: (f64, f64) = (0.05, 0.95);

/// The paper's effective theta for a busy share and `instances` that a worker holds: rho/(1 - rho) (d - 1)/d.
pub fn theta(busy: f64, instances: f64) -> f64 {
    let rho = busy.clamp(BUSY.0, BUSY.1);
    rho / (1.0 - rho) * (instances - 1.0).max(0.0) / instances.max(1.0)
}

/// Whether the design knows virtual losses there: only while theta and z* are at least 1 and the function is warm
/// somewhere. To be asked first: what the chance needs besides takes a look at all its workers.
pub fn has_virtual_losses(warm: usize, theta: f64, star: f64) -> bool {
    theta >= 1.0 && warm > 0 && star >= 1.0
}

/// The chance of a virtual loss for a function with `warm` workers of which `free` have a lane free and `in_flight`
/// requests out; `star` is its z*, `least_star` the smallest of all functions. `None` where there is none by the
/// design, and no chance is drawn: theta or z* under 1, or nowhere warm.
pub fn virtual_loss_chance(
    warm: usize,
    free: usize,
    in_flight: f64,
    theta: f64,
    star: f64,
    least_star: f64,
) -> Option<f64> {
    if !has_virtual_losses(warm, theta, star) {
        return None;
    }
    if free as f64 > star {
        return Some(0.0);
    }
    let term = |i: usize| (in_flight + i as f64 * theta) / (warm as f64 - i as f64 + 1.0);
    Some(((1..=free).map(term).product::<f64>() * least_star / star).min(1.0))
}
