//! The records of FastCGI 1.0 and their content, without I/O.

pub(super) const BEGIN_REQUEST: u8 = 1;
pub(super) const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
pub(super) const PARAMS: u8 = 4;
pub(super) const STDIN: u8 = 5;
const STDOUT: u8 = 6;
pub(super) const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

/// The only protocol version.
pub(super) const VERSION: u8 = 1;
/// Length of a record's header, in bytes.
pub(super) const HEADER_LENGTH: usize = 8;
/// Longest content of one STDOUT record, in bytes: the length field has 16 bits, and content whose length is a multiple
/// of 8 needs no padding.
const STDOUT_CHUNK: usize = 0xfff8;
/// Bytes to allocate for a response besides its content: record headers and the END_REQUEST record. Enough for a
/// response of a few records.
const RESPONSE_OVERHEAD: usize = 64;
/// The flag in BEGIN_REQUEST that asks for the connection to stay open after the response.
const KEEP_CONNECTION: u8 = 1;
/// The Responder role in BEGIN_REQUEST, the only one that is supported.
const RESPONDER: u16 = 1;
/// The bit in the first byte of a length in a name-value pair that marks a length of four bytes instead of one.
const LONG_LENGTH: u8 = 0x80;

/// How a client violated the protocol, so that its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FastCgiError {
    /// A record has a protocol version other than 1.
    #[error("unsupported FastCGI version {0}")]
    UnsupportedVersion(u8),
    /// A BEGIN_REQUEST record is too short to contain the role and the flags.
    #[error("truncated BEGIN_REQUEST record")]
    TruncatedBeginRequest,
    /// A BEGIN_REQUEST record has the id of a request that is still open.
    #[error("request id {0} is already open")]
    DuplicateRequestId(u16),
    /// A record was not complete within `Limits::request_read_timeout`.
    #[error("record timed out before it was complete")]
    RecordTimeout,
    /// More than `Limits::max_discarded_bytes` were discarded, mostly records of requests that were rejected.
    #[error("too many bytes after a rejected request")]
    DiscardLimit,
}

/// The protocol status of a request in its END_REQUEST record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ProtocolStatus {
    Complete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

/// A received record.
pub(super) struct Record<'a> {
    pub(super) record_type: u8,
    pub(super) request_id: u16,
    pub(super) content: &'a [u8],
}

/// The content of a BEGIN_REQUEST record.
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

/// Appends one record to `to`. `content` must be shorter than 64 KiB.
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

/// An END_REQUEST record without a response before it.
pub(super) fn end_request(request_id: u16, status: ProtocolStatus) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_end_request(request_id, status, &mut bytes);
    bytes
}

/// The response to a management record of unknown type.
pub(super) fn unknown_type(record_type: u8) -> Vec<u8> {
    let mut bytes = Vec::new();
    let content = [record_type, 0, 0, 0, 0, 0, 0, 0];
    append_record(UNKNOWN_TYPE, 0, &content, &mut bytes);
    bytes
}

/// The response to GET_VALUES, with these names and values. Each name and each value must be shorter than 128 bytes.
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

/// A CGI response as STDOUT records, followed by END_REQUEST. `head` is complete lines, without the empty line after
/// it.
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

/// Decodes the name-value pairs of a parameter stream. Decoding stops without an error at a truncated pair. Invalid
/// UTF-8 is replaced.
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
