//! The validation of request parameters that the fronts of all protocols share.
use crate::limits::Limits;

/// Longest idempotency key, in bytes. Every protocol can carry a key of this length.
const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 128;
/// The number of hexadecimal digits in the name of a function or in a request id.
const HEX_ID_LENGTH: usize = 16;

/// Why a request is invalid. KServe v2 clients get the text in the error response, so the texts that this front uses
/// must not change. FastCGI clients get only a status, and the text is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParameterError {
    /// The timeout is NaN, negative or longer than `Limits::max_request_timeout`.
    #[error("the wait is out of range")]
    TimeoutOutOfRange,
    /// A numeric parameter other than the timeout is NaN, negative or above its limit.
    #[error("a figure is out of range")]
    OutOfRange,
    /// A numeric parameter is not a number.
    #[error("a figure is no number")]
    NotANumber,
    /// The idempotency key is empty or too long, or has characters that some protocol cannot carry.
    #[error("the key cannot travel")]
    InvalidIdempotencyKey,
    /// The path of a FastCGI request does not begin with `/v1/`.
    #[error("the path is not /v1/CLASS")]
    InvalidPath,
    /// The request id of a FastCGI request is not 16 hexadecimal digits.
    #[error("Req-Id is not 16 hex digits")]
    InvalidRequestId,
    /// The function of a FastCGI request is not 16 hexadecimal digits.
    #[error("Req-Key is not 16 hex digits")]
    InvalidFunction,
    /// The body of a KServe v2 request is not a JSON object.
    #[error("the body is no JSON object")]
    NotAnObject,
    /// The parameters of a KServe v2 request name no class.
    #[error("no 'class' among the parameters")]
    MissingClass,
    /// The model of a KServe v2 request is not named by 16 hexadecimal digits.
    #[error("unknown model")]
    UnknownModel,
    /// The parameter stream of a FastCGI request is longer than this many bytes, which is `Limits::max_head_bytes`.
    #[error("parameters longer than {0} bytes")]
    ParametersTooLong(usize),
    /// The body of a FastCGI request is longer than this many bytes, which is `Limits::max_body_bytes`.
    #[error("body longer than {0} bytes")]
    BodyTooLong(usize),
    /// A FastCGI request was not complete within `Limits::request_read_timeout`.
    #[error("request timed out before it was complete")]
    ReadTimeout,
}

/// The numeric parameters of a request as its client stated them. One that is not stated is 0, except the timeout: it
/// is required in FastCGI, and `Limits::default_request_timeout` is its default in KServe v2.
#[derive(Debug, Default, PartialEq)]
pub struct NumericParameters {
    /// How long the client waits for the answer, in ms.
    pub timeout_ms: f64,
    /// Memory of one replica, in MB.
    pub memory_mb: f64,
    /// Requests that one replica runs at a time.
    pub concurrency: f64,
    /// Usual time of a load of a replica, in ms.
    pub load_time_ms: f64,
}

impl NumericParameters {
    /// Checks that no value is NaN, negative or above its limit. Time arithmetic and the policy rely on that.
    ///
    /// # Errors
    /// A value is out of range.
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

/// Whether every protocol can carry this idempotency key: 1 to 128 printable ASCII characters, without spaces and
/// without the separators, quotes and backslashes that a protocol gives a meaning.
pub fn is_valid_idempotency_key(key: &str) -> bool {
    let is_carried = |byte: u8| byte.is_ascii_graphic() && !b",=;\"\\".contains(&byte);
    !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_LENGTH && key.bytes().all(is_carried)
}

/// Parses the name of a function or a request id, which is 16 hexadecimal digits; `None` for any other text.
pub fn parse_hex_id(name: &str) -> Option<u64> {
    let is_hex = name.bytes().all(|byte| byte.is_ascii_hexdigit());
    if name.len() != HEX_ID_LENGTH || !is_hex {
        return None;
    }
    u64::from_str_radix(name, 16).ok()
}
