//! A budget that requests earn: bounds what the policy does of itself by the traffic there is.

/// Tokens that each request adds to and some action takes from.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    earned_per_request: f64,
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

    /// A request came.
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
