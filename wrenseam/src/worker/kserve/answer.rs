//! Reads one HTTP answer of a v2 worker.
use super::exchange::Exchange;
use super::messages::Reply;
use crate::http::{ChunkedDecoder, DecodedByte, Head, HeadError, InvalidChunkSize};
use crate::limits::Limits;
use crate::net::{receive, ReadOutcome};
use crate::ring::Ring;
use may::net::TcpStream;
use std::io;
use std::time::Instant;

/// What ends the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Statuses below this announce an answer that is still to come, such as 100 Continue.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a complete answer did not come.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The worker closed the connection.
    #[error("connection closed early")]
    ClosedEarly,
    /// Neither a length nor chunks say where it ends.
    #[error("answer without length")]
    NoLength,
    /// Its body is beyond the bound.
    #[error("answer too long")]
    TooLong,
    /// Its head is beyond the bound.
    #[error("head too long")]
    HeadTooLong,
    /// Nothing more of it came for too long.
    #[error("incomplete answer")]
    Incomplete,
    /// It was cancelled, or its time is up.
    #[error("timed out")]
    TimedOut,
    /// Its head is not HTTP.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// Its body is not in the chunked coding that its head names.
    #[error(transparent)]
    InvalidChunk(#[from] InvalidChunkSize),
    /// A read failed.
    #[error("{0}")]
    Receive(#[source] io::Error),
}

/// A complete answer.
pub(super) struct Answer {
    pub(super) reply: Reply,
    /// Whether the connection can carry another exchange.
    pub(super) is_reusable: bool,
}

/// Reads one answer from a connection.
pub(super) struct AnswerReader<'a> {
    limits: &'a Limits,
    ring: Ring,
    /// The bytes of the head that is not complete yet.
    head_bytes: Vec<u8>,
    head: Option<Head>,
    body: Vec<u8>,
    chunks: ChunkedDecoder,
}

impl<'a> AnswerReader<'a> {
    pub(super) fn new(limits: &'a Limits) -> Self {
        AnswerReader {
            limits,
            ring: Ring::new(limits.client_ring_bytes),
            head_bytes: Vec::new(),
            head: None,
            body: Vec::new(),
            chunks: ChunkedDecoder::default(),
        }
    }

    /// Reads the answer to an exchange.
    ///
    /// # Errors
    ///
    /// Why it did not come. The connection is of no more use.
    pub(super) fn read(
        mut self,
        stream: &mut TcpStream,
        exchange: &Exchange,
    ) -> Result<Answer, AnswerError> {
        let mut last_received_at = Instant::now();
        loop {
            if let Some(answer) = self.take_complete()? {
                return Ok(answer);
            }
            self.parse_head()?;
            if self.can_decode_more() {
                continue;
            }
            match receive(&mut self.ring, stream).map_err(AnswerError::Receive)? {
                ReadOutcome::Closed => return Err(AnswerError::ClosedEarly),
                ReadOutcome::Data => last_received_at = Instant::now(),
                ReadOutcome::NotReady => self.check_waiting(last_received_at, exchange)?,
            }
        }
    }

    /// The answer, if its head is known and its body complete.
    fn take_complete(&mut self) -> Result<Option<Answer>, AnswerError> {
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
            None => return Err(AnswerError::NoLength),
        };
        if is_complete {
            let is_reusable = !head.close && !head.chunked && self.ring.is_empty();
            let reply = Reply {
                status: head.status,
                body: std::mem::take(&mut self.body),
                has_retry_after: head.retry_after,
            };
            return Ok(Some(Answer { reply, is_reusable }));
        }
        if self.body.len() > self.limits.max_response_bytes {
            return Err(AnswerError::TooLong);
        }
        Ok(None)
    }

    /// Takes the head from the ring as far as it has come. Answers that only announce another are skipped.
    fn parse_head(&mut self) -> Result<(), AnswerError> {
        while self.head.is_none() && self.ring.take(1, &mut self.head_bytes) > 0 {
            if self.head_bytes.ends_with(HEAD_END) {
                let head = Head::response(&self.head_bytes)?;
                if head
                    .length
                    .is_some_and(|length| length > self.limits.max_response_bytes)
                {
                    return Err(AnswerError::TooLong);
                }
                self.head_bytes.clear();
                if head.status >= FIRST_FINAL_STATUS {
                    self.head = Some(head);
                }
            } else if self.head_bytes.len() > self.limits.max_head_bytes {
                return Err(AnswerError::HeadTooLong);
            }
        }
        Ok(())
    }

    /// Whether the body can be decoded further without another read.
    fn can_decode_more(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| !self.ring.is_empty() || head.length == Some(0))
    }

    /// Nothing came for now: whether to wait on.
    fn check_waiting(
        &self,
        last_received_at: Instant,
        exchange: &Exchange,
    ) -> Result<(), AnswerError> {
        // Guards against an answer that stops short, as with frames.
        let has_begun = self.head.is_some() || !self.head_bytes.is_empty();
        if has_begun && last_received_at.elapsed() > self.limits.response_stall_timeout {
            return Err(AnswerError::Incomplete);
        }
        // Closing the connection is how an exchange is cancelled.
        if exchange.is_cancelled() || Instant::now() > exchange.answer_deadline {
            return Err(AnswerError::TimedOut);
        }
        Ok(())
    }
}

/// Decodes the chunks that have come. Returns whether the last one has begun.
fn decode_chunks(
    chunks: &mut ChunkedDecoder,
    ring: &mut Ring,
    body: &mut Vec<u8>,
) -> Result<bool, AnswerError> {
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
