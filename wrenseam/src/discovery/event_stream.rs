//! Parser of the discovery service's response: an HTTP/1.1 head, then server-sent events, plain or in chunked coding.
//! It takes bytes and returns events; no I/O.
use crate::http::{ChunkedDecoder, DecodedByte, Head, HeadError, InvalidChunkSize};
use crate::limits::DiscoveryLimits;
use thiserror::Error;

const STATUS_OK: u16 = 200;

/// What a byte of the stream completes.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Nothing yet, or a part that is ignored.
    Incomplete,
    /// A comment, which the service sends as a keepalive.
    Comment,
    /// An event.
    Event(ServerSentEvent),
}

/// An event of the stream.
#[derive(Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its id; `None` if the event itself has none.
    pub id: Option<String>,
    /// Its data; several lines are joined by line feeds.
    pub data: String,
}

/// Parses server-sent events byte by byte.
#[derive(Default)]
pub struct EventStreamParser {
    line: Vec<u8>,
    id: Option<String>,
    data: String,
}

impl EventStreamParser {
    /// Parses the next byte.
    ///
    /// Unlike in the HTML standard, an event without an id does not inherit the one before: it would be treated as a
    /// repetition of that event.
    pub fn push(&mut self, byte: u8) -> StreamItem {
        if byte != b'\n' {
            self.line.push(byte);
            return StreamItem::Incomplete;
        }
        // Valid UTF-8 is moved, not copied: the list of all workers is one line.
        let mut line = String::from_utf8(std::mem::take(&mut self.line))
            .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned());
        if line.ends_with('\r') {
            line.pop();
        }
        if line.is_empty() {
            return self.finish_event();
        }
        if line.starts_with(':') {
            return StreamItem::Comment;
        }
        self.store_field(line);
        StreamItem::Incomplete
    }

    /// Number of bytes buffered for the event that is being read.
    pub fn buffered_bytes(&self) -> usize {
        self.line.len() + self.data.len()
    }

    fn finish_event(&mut self) -> StreamItem {
        let id = self.id.take();
        let data = std::mem::take(&mut self.data);
        if data.is_empty() {
            return StreamItem::Incomplete;
        }
        StreamItem::Event(ServerSentEvent { id, data })
    }

    /// Stores the value of `id` and `data`; all other fields are ignored.
    fn store_field(&mut self, mut line: String) {
        if let Some(value) = line.strip_prefix("id:") {
            self.id = Some(without_leading_space(value).to_owned());
            return;
        }
        let Some(value) = line.strip_prefix("data:") else {
            return;
        };
        let value = without_leading_space(value);
        if self.data.is_empty() {
            let value_start = line.len() - value.len();
            line.drain(..value_start);
            self.data = line;
        } else {
            self.data.push('\n');
            self.data.push_str(value);
        }
    }
}

fn without_leading_space(value: &str) -> &str {
    value.strip_prefix(' ').unwrap_or(value)
}

/// Why a response cannot be parsed further.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventStreamError {
    /// The head is not a valid HTTP/1.1 response head.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// The head is longer than [`DiscoveryLimits::max_head_bytes`].
    #[error("the response head is too long")]
    HeadTooLong,
    /// The service responded with another status than 200.
    #[error("the service responded with status {0}")]
    Status(u16),
    /// The chunked coding is malformed.
    #[error(transparent)]
    InvalidChunk(#[from] InvalidChunkSize),
    /// The service ended the stream with its last chunk.
    #[error("the service ended the stream")]
    Ended,
    /// An event is longer than [`DiscoveryLimits::max_event_bytes`].
    #[error("an event is too long")]
    EventTooLong,
}

/// Parses a complete response byte by byte.
pub struct EventStreamResponse {
    part: ResponsePart,
    events: EventStreamParser,
    max_head_bytes: usize,
    max_event_bytes: usize,
}

enum ResponsePart {
    Head(Vec<u8>),
    PlainBody,
    ChunkedBody(ChunkedDecoder),
}

impl EventStreamResponse {
    /// A response of which nothing has been received.
    pub fn new(limits: &DiscoveryLimits) -> Self {
        EventStreamResponse {
            part: ResponsePart::Head(Vec::new()),
            events: EventStreamParser::default(),
            max_head_bytes: limits.max_head_bytes,
            max_event_bytes: limits.max_event_bytes,
        }
    }

    /// Parses the next byte.
    ///
    /// # Errors
    ///
    /// An [`EventStreamError`] if the response cannot be parsed further.
    pub fn push(&mut self, byte: u8) -> Result<StreamItem, EventStreamError> {
        match &mut self.part {
            ResponsePart::Head(head) => {
                head.push(byte);
                if head.ends_with(b"\r\n\r\n") {
                    self.part = parse_head(head)?;
                } else if head.len() > self.max_head_bytes {
                    return Err(EventStreamError::HeadTooLong);
                }
                Ok(StreamItem::Incomplete)
            }
            ResponsePart::PlainBody => self.push_content(byte),
            ResponsePart::ChunkedBody(chunked) => match chunked.decode_byte(byte)? {
                DecodedByte::Content(content) => self.push_content(content),
                DecodedByte::Framing => Ok(StreamItem::Incomplete),
                DecodedByte::LastChunk => Err(EventStreamError::Ended),
            },
        }
    }

    fn push_content(&mut self, byte: u8) -> Result<StreamItem, EventStreamError> {
        let item = self.events.push(byte);
        if self.events.buffered_bytes() > self.max_event_bytes {
            return Err(EventStreamError::EventTooLong);
        }
        Ok(item)
    }
}

fn parse_head(head: &[u8]) -> Result<ResponsePart, EventStreamError> {
    let head = Head::response(head)?;
    if head.status != STATUS_OK {
        return Err(EventStreamError::Status(head.status));
    }
    if head.chunked {
        return Ok(ResponsePart::ChunkedBody(ChunkedDecoder::default()));
    }
    Ok(ResponsePart::PlainBody)
}
