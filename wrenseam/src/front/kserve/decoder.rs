//! Decoding of HTTP/1.1 requests from the bytes of a connection, without I/O.
use super::answers::error_body;
use crate::http::{response, Head, HeadError, Status};
use crate::limits::Limits;
use crate::ring::Ring;
use std::time::{Duration, Instant};

/// The line ends that terminate a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// An empty line, which is skipped before a request.
const EMPTY_LINE: &[u8] = b"\r\n";

/// Why a request cannot be read. Clients get the texts in error responses, so they must not change. The connection
/// closes after the response.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum HttpError {
    /// The head is longer than `Limits::max_head_bytes`.
    #[error("the head is too long")]
    HeadTooLong,
    /// The head is malformed.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// The body has the chunked transfer coding, which is not supported.
    #[error("chunked requests are not read")]
    ChunkedBody,
    /// The body is longer than `Limits::max_body_bytes`.
    #[error("the body is too long")]
    BodyTooLong,
    /// The request was not complete within `Limits::request_read_timeout`.
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

    /// The error response. With `close`, it announces that the connection closes.
    pub(super) fn response(&self, close: bool) -> Vec<u8> {
        let body = error_body(&self.to_string());
        response(self.status().as_str(), "", &body, close)
    }
}

/// A request that was completely received.
pub(super) struct HttpRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

/// What was decoded from the input of a connection.
pub(super) enum Decoded {
    /// The head of a request was received, and its client waits for a 100 Continue before it sends the body.
    ExpectsContinue,
    /// A request was completely received.
    Request(HttpRequest),
}

/// Decodes requests from a ring buffer.
#[derive(Default)]
pub(super) struct RequestDecoder {
    /// The bytes of the head that is being received.
    head: Vec<u8>,
    /// The request whose body is being received; `None` until its head is complete.
    partial: Option<HttpRequest>,
    /// When the first byte of the current request was read; `None` between requests.
    started_at: Option<Instant>,
}

impl RequestDecoder {
    /// Whether no request is partly received.
    pub(super) fn is_between_requests(&self) -> bool {
        self.started_at.is_none()
    }

    /// Whether a request is partly received and began longer than `limit` ago.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        self.started_at
            .is_some_and(|started_at| started_at.elapsed() > limit)
    }

    /// Decodes as far as the ring has bytes. `None` if the current request is not complete by then.
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

    /// Reads one byte of a head. If that completes the head, checks it and prepares for the body. Returns whether the
    /// client waits for a 100 Continue.
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

    /// Reads the next part of the body. Returns the request if it is complete.
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
