//! What every front checks of a request before the core sees it.
use crate::limits::Limits;

/// A request's figures as a client told them; 0 where it did not.
#[derive(Default)]
pub struct Figures {
    /// Its wait, in ms.
    pub wait_ms: f64,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Calls that a copy runs at a time.
    pub lanes: f64,
    /// Usual time of a load, in ms.
    pub load_ms: f64,
}

impl Figures {
    /// Whether they can be used. Guards clock and module against what is not a number, negative or huge.
    pub fn check(&self, limits: &Limits) -> Result<(), &'static str> {
        let longest = limits.longest_wait as f64 / 1000.0;
        let fits = |value: f64, most: f64| (0.0..=most).contains(&value);
        if !fits(self.wait_ms, longest) {
            return Err("the wait is out of range");
        }
        let fit = fits(self.memory_mb, limits.memory_mb) && fits(self.load_ms, longest);
        (fit && fits(self.lanes, limits.lanes))
            .then_some(())
            .ok_or("a figure is out of range")
    }
}

/// Whether an idempotency key can travel on every wire: no separator, no blank.
pub fn token_fits(token: &str) -> bool {
    !token.is_empty()
        && token.len() <= 128
        && token
            .bytes()
            .all(|b| b.is_ascii_graphic() && !b",=;\"\\".contains(&b))
}

/// The function that 16 hex digits name.
pub fn function(name: &str) -> Option<u64> {
    (name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(name, 16).ok())
        .flatten()
}
