//! When a quiet connection with something open is asked for a sign of life.
use crate::limits::Limits;
use std::time::Duration;

/// Whether a connection that has been quiet for so long is probed; its oldest exchange is so old, and `new` if one has
/// begun since anything came. Probed less and less often while only a load is waited for.
pub fn probe_due(new: bool, quiet: Duration, age: Duration, limits: &Limits) -> bool {
    let waited = if new {
        Duration::ZERO
    } else {
        age * limits.link_again / 100
    };
    quiet > limits.link_quiet.max(waited)
}
