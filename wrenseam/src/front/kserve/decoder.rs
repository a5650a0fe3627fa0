//! HTTP/1.1 requests out of the bytes of a connection; no I/O.
use super::answers::error_body;
use crate::http::{response, Head, HeadError, Status};
use crate::limits::Limits;
use crate::ring::Ring;
use std::time::{Duration, Instant};

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// An empty line, which may stand before a request.
const EMPTY_LINE: &[u8] = b"\r\n";

/// Why a request is not read. Clients read these texts, and the connection ends behind them.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum HttpError {
    /// The head is longer than allowed.
    #[error("the head is too long")]
    HeadTooLong,
    /// The head cannot be parsed.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// The body comes in chunks.
    #[error("chunked requests are not read")]
    ChunkedBody,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    BodyTooLong,
    /// The request was not complete within its time.
    #[error("the request never came whole")]
    Timeout,
}

impl HttpError {
    fn status(&self) -> Status {
        match self {
            HttpError::HeadTooLong => Status::RequestHeaderFieldsTooLarge,
            HttpError::InvalidHead(_) => Status::BadRequest,
            HttpError::ChunkedBody => Status::LengthRequired,
            HttpError::BodyTooLong => Status::ContentTooLarge,
            HttpError::Timeout => Status::RequestTimeout,
        }
    }

    /// The response to such a request.
    pub(super) fn response(&self, close: bool) -> Vec<u8> {
        let body = error_body(&self.to_string());
        response(self.status().as_str(), "", &body, close)
    }
}

/// A complete request.
pub(super) struct HttpRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

/// What the next bytes of a connection are.
pub(super) enum Decoded {
    /// The head of a request whose client waits for a 100 Continue before it sends the body.
    ExpectsContinue,
    /// A complete request.
    Request(HttpRequest),
}

/// Takes requests out of a ring.
#[derive(Default)]
pub(super) struct RequestDecoder {
    head: Vec<u8>,
    /// A request whose body is still to come.
    partial: Option<HttpRequest>,
    /// When the first byte of the request that is being read came.
    started_at: Option<Instant>,
}

impl RequestDecoder {
    /// Whether no part of a request has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.started_at.is_none()
    }

    /// Whether a request has been read in part for longer than this.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        self.started_at
            .is_some_and(|started_at| started_at.elapsed() > limit)
    }

    /// The next request, once all of it is there.
    pub(super) fn next(
        &mut self,
        ring: &mut Ring,
        limits: &Limits,
    ) -> Result<Option<Decoded>, HttpError> {
        while !ring.is_empty() {
            self.started_at.get_or_insert_with(Instant::now);
            if self.partial.is_none() && self.read_head(ring, limits)? {
                return Ok(Some(Decoded::ExpectsContinue));
            }
            if let Some(request) = self.read_body(ring) {
                self.started_at = None;
                return Ok(Some(Decoded::Request(request)));
            }
        }
        Ok(None)
    }

    /// Reads one byte of a head, and what follows from a complete head. Whether its client waits for a
    /// 100 Continue.
    fn read_head(&mut self, ring: &mut Ring, limits: &Limits) -> Result<bool, HttpError> {
        ring.take(1, &mut self.head);
        if self.head == EMPTY_LINE {
            self.head.clear();
            self.started_at = None;
        }
        if self.head.len() > limits.max_head_bytes {
            return Err(HttpError::HeadTooLong);
        }
        if !self.head.ends_with(HEAD_END) {
            return Ok(false);
        }
        let head = Head::request(&self.head)?;
        self.head.clear();
        let length = head.length.unwrap_or(0);
        if head.chunked {
            return Err(HttpError::ChunkedBody);
        }
        if length > limits.max_body_bytes {
            return Err(HttpError::BodyTooLong);
        }
        let expects_continue = head.expects_continue && length > 0;
        let body = Vec::with_capacity(length);
        self.partial = Some(HttpRequest { head, body });
        Ok(expects_continue)
    }

    /// Reads on in the body; the request once it is complete.
    fn read_body(&mut self, ring: &mut Ring) -> Option<HttpRequest> {
        let request = self.partial.as_mut()?;
        let length = request.head.length.unwrap_or(0);
        ring.take(length - request.body.len(), &mut request.body);
        if request.body.len() < length {
            return None;
        }
        self.partial.take()
    }
}
