//! FastCGI requests that are not completely received yet.
use super::records::ProtocolStatus;
use crate::front::ParameterError;
use crate::limits::Limits;
use crate::memory_budget::MemoryReservation;
use std::time::{Duration, Instant};

/// Why a request is ended without its parameters being parsed. Its client gets a protocol status and no CGI response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EarlyRejection {
    /// The requested role is not Responder.
    #[error("unsupported role")]
    UnknownRole,
    /// The client exceeded this number of requests, which is `Limits::max_requests_per_connection`.
    #[error("more than {0} open requests on one connection")]
    TooManyRequests(usize),
    /// The memory budget of all requests is used up.
    #[error("memory limit of requests reached")]
    MemoryLimit,
}

impl EarlyRejection {
    /// The protocol status that the client gets.
    pub(super) fn status(self) -> ProtocolStatus {
        match self {
            EarlyRejection::UnknownRole => ProtocolStatus::UnknownRole,
            EarlyRejection::TooManyRequests(_) | EarlyRejection::MemoryLimit => {
                ProtocolStatus::Overloaded
            }
        }
    }
}

/// Why a request is rejected without being passed to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// It is invalid, too long, or was not complete in time: the client gets status 400.
    #[error(transparent)]
    Invalid(#[from] ParameterError),
    /// It is ended without its parameters being parsed.
    #[error(transparent)]
    Early(#[from] EarlyRejection),
}

/// A request that is not completely received yet.
pub(super) struct PartialRequest {
    /// When its BEGIN_REQUEST record was received.
    started_at: Instant,
    /// Whether the connection closes after the response.
    pub(super) close: bool,
    pub(super) params: Vec<u8>,
    pub(super) body: Vec<u8>,
    /// Its part of the memory budget, reserved as records arrive, because requests that are never completed take memory
    /// too. `None` if the budget was exceeded when it began.
    reserved_bytes: Option<MemoryReservation>,
}

impl PartialRequest {
    pub(super) fn new(close: bool, reserved_bytes: Option<MemoryReservation>) -> Self {
        PartialRequest {
            started_at: Instant::now(),
            close,
            params: Vec::new(),
            body: Vec::new(),
            reserved_bytes,
        }
    }

    /// Whether it began longer than `limit` ago.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        self.started_at.elapsed() > limit
    }

    /// Whether a record with this many bytes of the parameter stream may follow.
    pub(super) fn check_params(&self, bytes: usize, limits: &Limits) -> Result<(), Rejection> {
        if self.params.len() + bytes > limits.max_head_bytes {
            return Err(ParameterError::ParametersTooLong(limits.max_head_bytes).into());
        }
        Ok(())
    }

    /// Whether a record with this many bytes of the body may follow.
    pub(super) fn check_body(&self, bytes: usize, limits: &Limits) -> Result<(), Rejection> {
        if self.body.len() + bytes > limits.max_body_bytes {
            return Err(ParameterError::BodyTooLong(limits.max_body_bytes).into());
        }
        Ok(())
    }

    /// Appends to the parameter stream.
    pub(super) fn extend_params(&mut self, content: &[u8]) -> Result<(), Rejection> {
        self.reserve(content.len())?;
        self.params.extend(content);
        Ok(())
    }

    /// Appends to the body.
    pub(super) fn extend_body(&mut self, content: &[u8]) -> Result<(), Rejection> {
        self.reserve(content.len())?;
        self.body.extend(content);
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), Rejection> {
        let reserved = self.reserved_bytes.as_mut();
        if !reserved.is_some_and(|reservation| reservation.grow(bytes)) {
            return Err(EarlyRejection::MemoryLimit.into());
        }
        Ok(())
    }
}
