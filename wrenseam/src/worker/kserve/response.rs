//! Reads one HTTP response of a v2 worker.
use super::exchange::Exchange;
use super::messages::Response;
use crate::http::{ChunkedDecoder, DecodedByte, Head, HeadError, InvalidChunkSize};
use crate::limits::Limits;
use crate::net::{receive, ReadOutcome};
use crate::ring::Ring;
use may::net::TcpStream;
use std::io;
use std::time::Instant;

/// The bytes that end the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Responses with a lower status are interim, such as 100 Continue: the actual response follows.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why no complete response was read.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The worker closed the connection before the response was complete.
    #[error("connection closed early")]
    ClosedEarly,
    /// The head states neither a length nor chunked coding, so the end of the body cannot be found.
    #[error("answer without length")]
    NoLength,
    /// The body exceeds the limit.
    #[error("answer too long")]
    TooLong,
    /// The head exceeds the limit.
    #[error("head too long")]
    HeadTooLong,
    /// The response has begun, and no more of it arrived within `Limits::response_stall_timeout`.
    #[error("incomplete answer")]
    Incomplete,
    /// The exchange was cancelled, or its response deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The head is not valid HTTP.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// The body is not in the chunked coding that the head states.
    #[error(transparent)]
    InvalidChunk(#[from] InvalidChunkSize),
    /// A read failed.
    #[error("{0}")]
    Receive(#[source] io::Error),
}

/// A complete response, and whether its connection can be reused.
pub(super) struct ReceivedResponse {
    pub(super) response: Response,
    /// Whether the connection can carry another exchange.
    pub(super) is_reusable: bool,
}

/// Reads one response from a connection.
pub(super) struct ResponseReader<'a> {
    limits: &'a Limits,
    ring: Ring,
    /// The bytes of a head that is still incomplete.
    head_bytes: Vec<u8>,
    head: Option<Head>,
    body: Vec<u8>,
    chunks: ChunkedDecoder,
}

impl<'a> ResponseReader<'a> {
    pub(super) fn new(limits: &'a Limits) -> Self {
        ResponseReader {
            limits,
            ring: Ring::new(limits.client_ring_bytes),
            head_bytes: Vec::new(),
            head: None,
            body: Vec::new(),
            chunks: ChunkedDecoder::default(),
        }
    }

    /// Reads the response to an exchange.
    ///
    /// # Errors
    ///
    /// No complete response was read. The connection must not be used again.
    pub(super) fn read(
        mut self,
        stream: &mut TcpStream,
        exchange: &Exchange,
    ) -> Result<ReceivedResponse, ResponseError> {
        let mut last_received_at = Instant::now();
        loop {
            if let Some(received) = self.take_complete()? {
                return Ok(received);
            }
            self.parse_head()?;
            if self.can_decode_more() {
                continue;
            }
            match receive(&mut self.ring, stream).map_err(ResponseError::Receive)? {
                ReadOutcome::Closed => return Err(ResponseError::ClosedEarly),
                ReadOutcome::Data => last_received_at = Instant::now(),
                ReadOutcome::NotReady => self.check_waiting(last_received_at, exchange)?,
            }
        }
    }

    /// The response; `None` while the head or the body is incomplete.
    fn take_complete(&mut self) -> Result<Option<ReceivedResponse>, ResponseError> {
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let is_complete = match head.length {
            Some(length) => {
                self.ring.take(length - self.body.len(), &mut self.body);
                self.body.len() == length
            }
            None if head.chunked => {
                decode_chunks(&mut self.chunks, &mut self.ring, &mut self.body)?
            }
            None => return Err(ResponseError::NoLength),
        };
        if is_complete {
            let is_reusable = !head.close && !head.chunked && self.ring.is_empty();
            let response = Response {
                status: head.status,
                body: std::mem::take(&mut self.body),
                has_retry_after: head.retry_after,
            };
            return Ok(Some(ReceivedResponse {
                response,
                is_reusable,
            }));
        }
        if self.body.len() > self.limits.max_response_bytes {
            return Err(ResponseError::TooLong);
        }
        Ok(None)
    }

    /// Parses the head as far as it has been received. Interim responses are skipped.
    fn parse_head(&mut self) -> Result<(), ResponseError> {
        while self.head.is_none() && self.ring.take(1, &mut self.head_bytes) > 0 {
            if self.head_bytes.ends_with(HEAD_END) {
                let head = Head::response(&self.head_bytes)?;
                if head
                    .length
                    .is_some_and(|length| length > self.limits.max_response_bytes)
                {
                    return Err(ResponseError::TooLong);
                }
                self.head_bytes.clear();
                if head.status >= FIRST_FINAL_STATUS {
                    self.head = Some(head);
                }
            } else if self.head_bytes.len() > self.limits.max_head_bytes {
                return Err(ResponseError::HeadTooLong);
            }
        }
        Ok(())
    }

    /// Whether more of the body can be decoded without another read.
    fn can_decode_more(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| !self.ring.is_empty() || head.length == Some(0))
    }

    /// Called when no data has arrived. Fails if the exchange must not wait any longer.
    fn check_waiting(
        &self,
        last_received_at: Instant,
        exchange: &Exchange,
    ) -> Result<(), ResponseError> {
        // Guards against a response whose rest never arrives, as with frames.
        let has_begun = self.head.is_some() || !self.head_bytes.is_empty();
        if has_begun && last_received_at.elapsed() > self.limits.response_stall_timeout {
            return Err(ResponseError::Incomplete);
        }
        // The connection closes on this error, which is how a worker learns of a cancellation.
        if exchange.is_cancelled() || Instant::now() > exchange.response_deadline {
            return Err(ResponseError::TimedOut);
        }
        Ok(())
    }
}

/// Decodes the chunks that have been received. Returns whether the last chunk has begun.
fn decode_chunks(
    chunks: &mut ChunkedDecoder,
    ring: &mut Ring,
    body: &mut Vec<u8>,
) -> Result<bool, ResponseError> {
    let mut bytes = Vec::new();
    ring.take(usize::MAX, &mut bytes);
    for byte in bytes {
        match chunks.decode_byte(byte)? {
            DecodedByte::Content(byte) => body.push(byte),
            DecodedByte::Framing => {}
            DecodedByte::LastChunk => return Ok(true),
        }
    }
    Ok(false)
}
