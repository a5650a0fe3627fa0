//! FastCGI 1.0 records as bytes; no I/O.
use crate::ring::Ring;
use std::time::{Duration, Instant};

pub(super) const BEGIN_REQUEST: u8 = 1;
pub(super) const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
pub(super) const PARAMS: u8 = 4;
pub(super) const STDIN: u8 = 5;
const STDOUT: u8 = 6;
pub(super) const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

/// The only version of the protocol.
const VERSION: u8 = 1;
/// Bytes of a record's header.
const HEADER_LENGTH: usize = 8;
/// Content of one STDOUT record at the most: the length has 16 bits, and a multiple of 8 needs no padding.
const STDOUT_CHUNK: usize = 0xfff8;
/// Bytes that the records round a response take besides its content, as a rule.
const RESPONSE_OVERHEAD: usize = 64;
/// The flag of BEGIN_REQUEST by which the client keeps the connection.
const KEEP_CONNECTION: u8 = 1;
/// The role of BEGIN_REQUEST that is served.
const RESPONDER: u16 = 1;
/// The first bit of a length in a name-value pair: it has four bytes, not one.
const LONG_LENGTH: u8 = 0x80;

/// How a client breaks the rules of the protocol, so that its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FastCgiError {
    /// The version is not supported.
    #[error("unsupported FastCGI version {0}")]
    UnsupportedVersion(u8),
    /// A BEGIN_REQUEST record is shorter than its body.
    #[error("truncated BEGIN_REQUEST record")]
    TruncatedBeginRequest,
    /// A BEGIN_REQUEST record names a request that is open.
    #[error("request id {0} is already open")]
    DuplicateRequestId(u16),
    /// A record was not complete within its time.
    #[error("record timed out before it was complete")]
    RecordTimeout,
    /// The client went on sending more of rejected requests than is discarded.
    #[error("too many bytes after a rejected request")]
    DiscardLimit,
}

/// How a request ended for the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ProtocolStatus {
    Complete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

/// One record as it was received.
pub(super) struct Record<'a> {
    pub(super) record_type: u8,
    pub(super) request_id: u16,
    pub(super) content: &'a [u8],
}

/// What a BEGIN_REQUEST record asks for.
pub(super) struct BeginRequest {
    role: u16,
    flags: u8,
}

impl BeginRequest {
    pub(super) fn parse(content: &[u8]) -> Result<Self, FastCgiError> {
        let [role_high, role_low, flags, ..] = content else {
            return Err(FastCgiError::TruncatedBeginRequest);
        };
        Ok(BeginRequest {
            role: u16::from_be_bytes([*role_high, *role_low]),
            flags: *flags,
        })
    }

    pub(super) fn is_responder(&self) -> bool {
        self.role == RESPONDER
    }

    pub(super) fn keeps_connection(&self) -> bool {
        self.flags & KEEP_CONNECTION != 0
    }
}

/// Takes records out of a ring. A record may be longer than the ring.
pub(super) struct RecordDecoder {
    /// The bytes of the record that is being read, or of the last one.
    bytes: Vec<u8>,
    is_complete: bool,
    started_at: Instant,
}

impl RecordDecoder {
    pub(super) fn new() -> Self {
        RecordDecoder {
            bytes: Vec::new(),
            is_complete: false,
            started_at: Instant::now(),
        }
    }

    /// Whether no part of a record has been read.
    pub(super) fn is_between_records(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether a part of a record has been there for longer than this.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        !self.bytes.is_empty() && self.started_at.elapsed() > limit
    }

    /// The next record, once all of it is there.
    pub(super) fn next(&mut self, ring: &mut Ring) -> Result<Option<Record<'_>>, FastCgiError> {
        if self.is_complete {
            self.bytes.clear();
            self.is_complete = false;
        }
        if self.bytes.is_empty() {
            self.started_at = Instant::now();
        }
        if self.bytes.len() < HEADER_LENGTH {
            ring.take(HEADER_LENGTH - self.bytes.len(), &mut self.bytes);
        }
        let [version, record_type, id_high, id_low, length_high, length_low, padding, _, ..] =
            self.bytes[..]
        else {
            return Ok(None);
        };
        if version != VERSION {
            return Err(FastCgiError::UnsupportedVersion(version));
        }
        let content_end =
            HEADER_LENGTH + usize::from(u16::from_be_bytes([length_high, length_low]));
        let record_end = content_end + usize::from(padding);
        ring.take(record_end - self.bytes.len(), &mut self.bytes);
        if self.bytes.len() < record_end {
            return Ok(None);
        }
        self.is_complete = true;
        Ok(Some(Record {
            record_type,
            request_id: u16::from_be_bytes([id_high, id_low]),
            content: &self.bytes[HEADER_LENGTH..content_end],
        }))
    }
}

/// Appends one record; `content` must be shorter than 64 KiB.
pub fn append_record(record_type: u8, request_id: u16, content: &[u8], to: &mut Vec<u8>) {
    to.extend([VERSION, record_type]);
    to.extend(request_id.to_be_bytes());
    to.extend((content.len() as u16).to_be_bytes());
    to.extend([0, 0]); // no padding; reserved
    to.extend(content);
}

fn append_end_request(request_id: u16, status: ProtocolStatus, to: &mut Vec<u8>) {
    let content = [0, 0, 0, 0, status as u8, 0, 0, 0];
    append_record(END_REQUEST, request_id, &content, to);
}

/// An END_REQUEST record alone.
pub(super) fn end_request(request_id: u16, status: ProtocolStatus) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_end_request(request_id, status, &mut bytes);
    bytes
}

/// The answer to a management record of a type that is not known.
pub(super) fn unknown_type(record_type: u8) -> Vec<u8> {
    let mut bytes = Vec::new();
    let content = [record_type, 0, 0, 0, 0, 0, 0, 0];
    append_record(UNKNOWN_TYPE, 0, &content, &mut bytes);
    bytes
}

/// The answer to GET_VALUES: these names with their values, each shorter than 128 bytes.
pub(super) fn get_values_result(values: &[(String, usize)]) -> Vec<u8> {
    let mut content = Vec::new();
    for (name, value) in values {
        let value = value.to_string();
        content.extend([name.len() as u8, value.len() as u8]);
        content.extend(name.as_bytes());
        content.extend(value.as_bytes());
    }
    let mut bytes = Vec::new();
    append_record(GET_VALUES_RESULT, 0, &content, &mut bytes);
    bytes
}

/// A CGI response in STDOUT records, then END_REQUEST.
pub fn response(request_id: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let content = [head.as_bytes(), b"\r\n", body].concat();
    let mut bytes = Vec::with_capacity(content.len() + RESPONSE_OVERHEAD);
    for chunk in content.chunks(STDOUT_CHUNK) {
        append_record(STDOUT, request_id, chunk, &mut bytes);
    }
    append_record(STDOUT, request_id, &[], &mut bytes);
    append_end_request(request_id, ProtocolStatus::Complete, &mut bytes);
    bytes
}

/// Name-value pairs of a parameter stream; a truncated pair ends them.
pub fn decode_pairs(mut stream: &[u8]) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    while let Some((name, value)) = next_pair(&mut stream) {
        pairs.push((
            String::from_utf8_lossy(name).into_owned(),
            String::from_utf8_lossy(value).into_owned(),
        ));
    }
    pairs
}

fn next_pair<'a>(stream: &mut &'a [u8]) -> Option<(&'a [u8], &'a [u8])> {
    let name_length = next_length(stream)?;
    let value_length = next_length(stream)?;
    let (name, rest) = stream.split_at_checked(name_length)?;
    let (value, rest) = rest.split_at_checked(value_length)?;
    *stream = rest;
    Some((name, value))
}

fn next_length(stream: &mut &[u8]) -> Option<usize> {
    let (&first, rest) = stream.split_first()?;
    if first < LONG_LENGTH {
        *stream = rest;
        return Some(first.into());
    }
    let (bytes, rest) = stream.split_first_chunk::<4>()?;
    *stream = rest;
    Some((u32::from_be_bytes(*bytes) & 0x7fff_ffff) as usize)
}
