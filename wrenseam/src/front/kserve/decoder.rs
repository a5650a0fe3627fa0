//! Decoding of HTTP/1.1 requests from the bytes of a connection, without I/O.
use super::answers::error_body;
use crate::http::{response, Head, HeadError, Status};
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::ring::Ring;
use std::time::{Duration, Instant};

/// The line ends that terminate a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// An empty line, which is skipped before a request.
const EMPTY_LINE: &[u8] = b"\r\n";

/// Memory for a head is reserved in pieces of this many bytes.
const HEAD_RESERVATION_BYTES: usize = 1024;
/// The header of a 503 response that does not come from the core and so has no advice of its own.
const RETRY_AFTER_HEADER: &str = "Retry-After: 1\r\n";

/// The header that advises clients, of a response with this status that does not come from the core.
pub(super) fn advice_header(status: Status) -> &'static str {
    match status {
        Status::ServiceUnavailable => RETRY_AFTER_HEADER,
        _ => "",
    }
}

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
    /// The memory budget of requests that are not completely received is used up.
    #[error("too many bytes are held")]
    MemoryLimit,
    /// More requests are open on the connection than may be.
    #[error("too many requests are open")]
    TooManyRequests,
}

impl HttpError {
    fn status(&self) -> Status {
        match self {
            HttpError::HeadTooLong => Status::RequestHeaderFieldsTooLarge,
            HttpError::InvalidHead(_) => Status::BadRequest,
            HttpError::ChunkedBody => Status::LengthRequired,
            HttpError::BodyTooLong => Status::ContentTooLarge,
            HttpError::Timeout => Status::RequestTimeout,
            HttpError::MemoryLimit | HttpError::TooManyRequests => Status::ServiceUnavailable,
        }
    }

    /// The error response. With `close`, it announces that the connection closes.
    pub(super) fn response(&self, close: bool) -> Vec<u8> {
        let status = self.status();
        let body = error_body(&self.to_string());
        response(status.as_str(), advice_header(status), &body, close)
    }
}

/// How many of `bytes`, which follow `head`, belong to it: those up to its end, or to that of an empty line at its begin.
fn length_to_head_end(head: &[u8], bytes: &[u8]) -> usize {
    let mut matched = (1..HEAD_END.len())
        .rev()
        .find(|&length| head.ends_with(&HEAD_END[..length]))
        .unwrap_or(0);
    for (position, &byte) in bytes.iter().enumerate() {
        matched = match (byte, matched) {
            (b'\r', 2) => 3,
            (b'\r', _) => 1,
            (b'\n', 1 | 3) => matched + 1,
            _ => 0,
        };
        let is_empty_line = matched == EMPTY_LINE.len() && head.len() + position + 1 == matched;
        if matched == HEAD_END.len() || is_empty_line {
            return position + 1;
        }
    }
    bytes.len()
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
pub(super) struct RequestDecoder {
    /// The memory budget of requests that are not completely received.
    budget: MemoryBudget,
    /// What is reserved for the present request, and for how many bytes; `None` between requests.
    reserved: Option<MemoryReservation>,
    reserved_head_bytes: usize,
    /// The bytes of the head that is being received.
    head: Vec<u8>,
    /// The request whose body is being received; `None` until its head is complete.
    partial: Option<HttpRequest>,
    /// When the first byte of the current request was read; `None` between requests.
    started_at: Option<Instant>,
}

impl RequestDecoder {
    pub(super) fn new(budget: MemoryBudget) -> Self {
        RequestDecoder {
            budget,
            reserved: None,
            reserved_head_bytes: 0,
            head: Vec::new(),
            partial: None,
            started_at: None,
        }
    }

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
                self.end_request();
                return Ok(Some(Decoded::Request(request)));
            }
        }
        Ok(None)
    }

    /// Reads what there is of a head. If that completes the head, checks it and prepares for the body. Returns whether the
    /// client waits for a 100 Continue.
    fn read_head(&mut self, ring: &mut Ring, limits: &Limits) -> Result<bool, HttpError> {
        let most = limits.max_head_bytes + 1 - self.head.len();
        let length = length_to_head_end(&self.head, ring.front()).min(most);
        self.reserve_head(length)?;
        ring.take(length, &mut self.head);
        if self.head == EMPTY_LINE {
            self.head.clear();
            self.end_request();
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
        self.reserve(length)?;
        let expects_continue = head.expects_continue && length > 0;
        let body = Vec::with_capacity(length);
        self.partial = Some(HttpRequest { head, body });
        Ok(expects_continue)
    }

    /// Gives back what the present request took; another may follow.
    fn end_request(&mut self) {
        self.started_at = None;
        self.reserved = None;
        self.reserved_head_bytes = 0;
    }

    /// Reserves memory for this many more bytes of the head.
    fn reserve_head(&mut self, bytes: usize) -> Result<(), HttpError> {
        while self.reserved_head_bytes < self.head.len() + bytes {
            self.reserve(HEAD_RESERVATION_BYTES)?;
            self.reserved_head_bytes += HEAD_RESERVATION_BYTES;
        }
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), HttpError> {
        let fits = match &mut self.reserved {
            Some(reserved) => reserved.grow(bytes),
            None => {
                self.reserved = self.budget.reserve(bytes);
                self.reserved.is_some()
            }
        };
        fits.then_some(()).ok_or(HttpError::MemoryLimit)
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
