//! A token bucket that requests refill: it bounds further attempts and polls in proportion to the traffic.

/// A token bucket: each request adds to it, each action that it bounds takes one token.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    earned_per_request: f64,
    /// Maximum number of tokens that the bucket holds.
    capacity: f64,
}

impl TokenBucket {
    pub(crate) fn new(initial: f64, earned_per_request: f64, capacity: f64) -> Self {
        TokenBucket {
            tokens: initial,
            earned_per_request,
            capacity,
        }
    }

    /// Adds the tokens that one request earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Whether a token is left.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
