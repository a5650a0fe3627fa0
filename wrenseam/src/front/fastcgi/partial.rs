//! FastCGI requests of which records are still to come.
use super::records::ProtocolStatus;
use crate::front::ParameterError;
use crate::limits::Limits;
use crate::memory_budget::MemoryReservation;
use std::time::{Duration, Instant};

/// Why a request is ended before its parameters are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EarlyRejection {
    /// Its role is not the Responder's.
    #[error("unsupported role")]
    UnknownRole,
    /// More requests are open on the connection than one may have.
    #[error("too many requests on one connection")]
    TooManyRequests,
    /// The bytes held over all requests are at their limit.
    #[error("memory limit of requests reached")]
    MemoryLimit,
}

impl EarlyRejection {
    /// The status for the client.
    pub(super) fn status(self) -> ProtocolStatus {
        match self {
            EarlyRejection::UnknownRole => ProtocolStatus::UnknownRole,
            EarlyRejection::TooManyRequests | EarlyRejection::MemoryLimit => {
                ProtocolStatus::Overloaded
            }
        }
    }
}

/// Why a request is rejected before the core sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// It cannot be served as it is.
    #[error(transparent)]
    Invalid(#[from] ParameterError),
    /// It cannot be read now.
    #[error(transparent)]
    Early(#[from] EarlyRejection),
}

/// A request of which records are still to come.
pub(super) struct PartialRequest {
    started_at: Instant,
    /// Whether the connection closes behind the response.
    pub(super) close: bool,
    pub(super) params: Vec<u8>,
    pub(super) body: Vec<u8>,
    /// Its share of the bytes held over all requests, taken as they come: requests that are never finished
    /// take memory too.
    pub(super) reserved_bytes: Option<MemoryReservation>,
    /// Whether it has been rejected; the rest of it is discarded.
    is_rejected: bool,
}

impl PartialRequest {
    pub(super) fn new(close: bool, reserved_bytes: Option<MemoryReservation>) -> Self {
        PartialRequest {
            started_at: Instant::now(),
            close,
            params: Vec::new(),
            body: Vec::new(),
            reserved_bytes,
            is_rejected: false,
        }
    }

    /// Whether it is still read, and not discarded.
    pub(super) fn is_accepted(&self) -> bool {
        !self.is_rejected
    }

    /// Whether it began longer ago than this.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        self.started_at.elapsed() > limit
    }

    /// Gives its memory back; what comes of it from now on is discarded.
    pub(super) fn reject(&mut self) {
        self.is_rejected = true;
        self.params = Vec::new();
        self.body = Vec::new();
        self.reserved_bytes = None;
    }

    /// Appends to the parameter stream.
    pub(super) fn extend_params(
        &mut self,
        content: &[u8],
        limits: &Limits,
    ) -> Result<(), Rejection> {
        if self.params.len() + content.len() > limits.max_head_bytes {
            return Err(ParameterError::ParametersTooLong.into());
        }
        self.reserve(content.len())?;
        self.params.extend(content);
        Ok(())
    }

    /// Appends to the body.
    pub(super) fn extend_body(&mut self, content: &[u8], limits: &Limits) -> Result<(), Rejection> {
        if self.body.len() + content.len() > limits.max_body_bytes {
            return Err(ParameterError::BodyTooLong.into());
        }
        self.reserve(content.len())?;
        self.body.extend(content);
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), Rejection> {
        let reserved = self.reserved_bytes.as_mut();
        if !reserved.is_some_and(|held| held.grow(bytes)) {
            return Err(EarlyRejection::MemoryLimit.into());
        }
        Ok(())
    }
}
