//! What the fronts of all protocols check of a request before the core sees it.
use crate::limits::Limits;

/// Bytes of an idempotency key at the most; every wire carries so many.
const IDEMPOTENCY_KEY_LENGTH: usize = 128;
/// Hex digits of a function's name.
const FUNCTION_NAME_LENGTH: usize = 16;

/// Why a request's parameters cannot be used. v2 clients read these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParameterError {
    /// The time-out is no number in its range.
    #[error("the wait is out of range")]
    TimeoutOutOfRange,
    /// Another numeric parameter is not in its range.
    #[error("a figure is out of range")]
    OutOfRange,
    /// A numeric parameter is no number.
    #[error("a figure is no number")]
    NotANumber,
    /// The idempotency key is too long or has bytes that some wire cannot carry.
    #[error("the key cannot travel")]
    InvalidIdempotencyKey,
    /// The path names no class.
    #[error("the path is not /v1/CLASS")]
    InvalidPath,
    /// The request id is not 16 hex digits.
    #[error("Req-Id is not 16 hex digits")]
    InvalidRequestId,
    /// The function is not 16 hex digits.
    #[error("Req-Key is not 16 hex digits")]
    InvalidFunction,
    /// The body is not a JSON object.
    #[error("the body is no JSON object")]
    NotAnObject,
    /// The parameters name no class.
    #[error("no 'class' among the parameters")]
    MissingClass,
    /// The model's name is not 16 hex digits.
    #[error("unknown model")]
    UnknownModel,
    /// The parameter stream is longer than allowed.
    #[error("parameters are too long")]
    ParametersTooLong,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    BodyTooLong,
    /// The request was not complete within its time.
    #[error("it timed out before it was complete")]
    Incomplete,
}

/// The numeric parameters of a request as its client stated them; 0 where it did not.
#[derive(Debug, Default, PartialEq)]
pub struct NumericParameters {
    /// How long the client waits, in ms.
    pub timeout_ms: f64,
    /// Memory of one replica, in MB.
    pub memory_mb: f64,
    /// Requests that one replica runs at a time.
    pub concurrency: f64,
    /// Usual time of a load, in ms.
    pub load_time_ms: f64,
}

impl NumericParameters {
    /// Guards clock and policy against values that are not a number, negative or huge.
    ///
    /// # Errors
    /// A value is out of its range.
    pub fn check(&self, limits: &Limits) -> Result<(), ParameterError> {
        let longest_ms = limits.max_request_timeout as f64 / 1000.0;
        let is_within = |value: f64, limit: f64| (0.0..=limit).contains(&value);
        if !is_within(self.timeout_ms, longest_ms) {
            return Err(ParameterError::TimeoutOutOfRange);
        }
        let all_within = is_within(self.memory_mb, limits.max_replica_memory_mb)
            && is_within(self.load_time_ms, longest_ms)
            && is_within(self.concurrency, limits.max_replica_concurrency);
        if !all_within {
            return Err(ParameterError::OutOfRange);
        }
        Ok(())
    }
}

/// Whether an idempotency key can be sent on every wire: no separator, no blank.
pub fn is_valid_idempotency_key(key: &str) -> bool {
    let is_carried = |byte: u8| byte.is_ascii_graphic() && !b",=;\"\\".contains(&byte);
    !key.is_empty() && key.len() <= IDEMPOTENCY_KEY_LENGTH && key.bytes().all(is_carried)
}

/// The function that 16 hex digits name.
pub fn parse_function(name: &str) -> Option<u64> {
    let is_hex = name.bytes().all(|byte| byte.is_ascii_hexdigit());
    if name.len() != FUNCTION_NAME_LENGTH || !is_hex {
        return None;
    }
    u64::from_str_radix(name, 16).ok()
}
