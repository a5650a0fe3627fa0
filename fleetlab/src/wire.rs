//! Reads HTTP/1.1 messages from a stream, with `httparse`.
use std::io::{Error, ErrorKind, Read, Result};

/// Maximum size of a message in bytes, head and body; the lab's clients and workers exchange far smaller ones.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of bytes per read from the stream.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of header fields in a message.
const MAX_FIELDS: usize = 32;

/// An HTTP request.
pub struct Request {
    /// Request target: the path.
    pub target: String,
    /// Body, of the length that Content-Length states.
    pub body: Vec<u8>,
}

/// An HTTP response.
pub struct Response {
    /// Status code; 0 if the parser found none.
    pub status: u16,
    /// Value of the header `Srv-Wait-Ms`, which marks a 503 as a rejection; `None` if absent or not a number.
    pub wait_ms: Option<u64>,
    /// Body, of the length that Content-Length states.
    pub body: Vec<u8>,
}

/// The parsed head of a message: start line and header fields.
struct Head<T> {
    /// Request target or status code, from the start line.
    start_line: T,
    /// Length of the head in bytes.
    length: usize,
    body_length: usize,
    wait_ms: Option<u64>,
}

/// Reads a request. `buffer` holds the bytes that were read but not yet used; those after the request stay in it.
///
/// # Errors
/// The stream ends or fails, or the message is invalid or larger than 1 MiB.
pub fn read_request(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Request> {
    let head = read_head(stream, buffer, parse_request)?;
    let body = read_body(stream, buffer, &head)?;
    Ok(Request {
        target: head.start_line,
        body,
    })
}

/// Reads a response. `buffer` holds the bytes that were read but not yet used; those after the response stay in it.
///
/// # Errors
/// The stream ends or fails, or the message is invalid or larger than 1 MiB.
pub fn read_response(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Response> {
    let head = read_head(stream, buffer, parse_response)?;
    let body = read_body(stream, buffer, &head)?;
    Ok(Response {
        status: head.start_line,
        wait_ms: head.wait_ms,
        body,
    })
}

/// Reads until the head of a message is complete. The head stays in `buffer`.
fn read_head<T>(
    stream: &mut impl Read,
    buffer: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Result<Option<Head<T>>>,
) -> Result<Head<T>> {
    loop {
        if let Some(head) = parse(buffer)? {
            return Ok(head);
        }
        if buffer.len() > MAX_MESSAGE_BYTES {
            return Err(invalid("HTTP message larger than 1 MiB"));
        }
        read_more(stream, buffer)?;
    }
}

/// Reads until the body is complete, and removes the message from `buffer`.
fn read_body<T>(stream: &mut impl Read, buffer: &mut Vec<u8>, head: &Head<T>) -> Result<Vec<u8>> {
    let end = head.length + head.body_length;
    if end > MAX_MESSAGE_BYTES {
        return Err(invalid("HTTP message larger than 1 MiB"));
    }
    while buffer.len() < end {
        read_more(stream, buffer)?;
    }
    let body = buffer[head.length..end].to_vec();
    buffer.drain(..end);
    Ok(body)
}

fn read_more(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<()> {
    let mut chunk = [0u8; CHUNK_BYTES];
    let length = stream.read(&mut chunk)?;
    if length == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&chunk[..length]);
    Ok(())
}

fn parse_request(bytes: &[u8]) -> Result<Option<Head<String>>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let status = request
        .parse(bytes)
        .map_err(|_| invalid("HTTP head cannot be parsed"))?;
    let target = request.path.unwrap_or("").to_owned();
    Ok(complete(status).map(|length| head(target, length, request.headers)))
}

fn parse_response(bytes: &[u8]) -> Result<Option<Head<u16>>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let status = response
        .parse(bytes)
        .map_err(|_| invalid("HTTP head cannot be parsed"))?;
    let code = response.code.unwrap_or(0);
    Ok(complete(status).map(|length| head(code, length, response.headers)))
}

fn complete(status: httparse::Status<usize>) -> Option<usize> {
    match status {
        httparse::Status::Complete(length) => Some(length),
        httparse::Status::Partial => None,
    }
}

fn head<T>(start_line: T, length: usize, fields: &[httparse::Header]) -> Head<T> {
    Head {
        start_line,
        length,
        body_length: numeric_header(fields, "content-length").unwrap_or(0) as usize,
        wait_ms: numeric_header(fields, "srv-wait-ms"),
    }
}

/// Returns the number in a header field; `None` if the field is absent or not a number.
fn numeric_header(fields: &[httparse::Header], name: &str) -> Option<u64> {
    let field = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    let text = std::str::from_utf8(field.value).ok()?;
    text.trim().parse().ok()
}

fn invalid(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason.to_owned())
}
