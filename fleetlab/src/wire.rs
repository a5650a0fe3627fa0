//! Reading one HTTP/1.1 message from a stream with `httparse`.
use std::io::{Error, ErrorKind, Read, Result};

/// Largest message that the lab's stand-ins read, head and body, in bytes: they only speak to the program.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Header fields of a message at the most.
const MAX_FIELDS: usize = 32;

/// A request.
pub struct Request {
    /// Its target.
    pub target: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// A response.
pub struct Response {
    /// Its status.
    pub status: u16,
    /// The field `Srv-Wait-Ms`, if there.
    pub wait_ms: Option<u64>,
    /// Its body.
    pub body: Vec<u8>,
}

/// The head of a message.
struct Head<T> {
    /// What the first line says.
    start: T,
    /// Bytes of the head.
    length: usize,
    body_length: usize,
    wait_ms: Option<u64>,
}

/// Reads a request; bytes past it stay in `carry`.
///
/// # Errors
/// The stream ends or fails, the message is garbled or larger than 1 MiB.
pub fn read_request(stream: &mut impl Read, carry: &mut Vec<u8>) -> Result<Request> {
    let head = read_head(stream, carry, parse_request)?;
    let body = read_body(stream, carry, &head)?;
    Ok(Request {
        target: head.start,
        body,
    })
}

/// Reads a response; bytes past it stay in `carry`.
///
/// # Errors
/// The stream ends or fails, the message is garbled or larger than 1 MiB.
pub fn read_response(stream: &mut impl Read, carry: &mut Vec<u8>) -> Result<Response> {
    let head = read_head(stream, carry, parse_response)?;
    let body = read_body(stream, carry, &head)?;
    Ok(Response {
        status: head.start,
        wait_ms: head.wait_ms,
        body,
    })
}

/// Reads on until the head is complete.
fn read_head<T>(
    stream: &mut impl Read,
    carry: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Result<Option<Head<T>>>,
) -> Result<Head<T>> {
    loop {
        if let Some(head) = parse(carry)? {
            return Ok(head);
        }
        if carry.len() > MAX_MESSAGE_BYTES {
            return Err(invalid("too large"));
        }
        read_more(stream, carry)?;
    }
}

/// Reads on until the body is complete, and takes the message off `carry`.
fn read_body<T>(stream: &mut impl Read, carry: &mut Vec<u8>, head: &Head<T>) -> Result<Vec<u8>> {
    let end = head.length + head.body_length;
    if end > MAX_MESSAGE_BYTES {
        return Err(invalid("too large"));
    }
    while carry.len() < end {
        read_more(stream, carry)?;
    }
    let body = carry[head.length..end].to_vec();
    carry.drain(..end);
    Ok(body)
}

fn read_more(stream: &mut impl Read, carry: &mut Vec<u8>) -> Result<()> {
    let mut chunk = [0u8; CHUNK_BYTES];
    let length = stream.read(&mut chunk)?;
    if length == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    carry.extend_from_slice(&chunk[..length]);
    Ok(())
}

fn parse_request(bytes: &[u8]) -> Result<Option<Head<String>>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let status = request.parse(bytes).map_err(|_| invalid("garbled"))?;
    let target = request.path.unwrap_or("").to_owned();
    Ok(complete(status).map(|length| head(target, length, request.headers)))
}

fn parse_response(bytes: &[u8]) -> Result<Option<Head<u16>>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let status = response.parse(bytes).map_err(|_| invalid("garbled"))?;
    let code = response.code.unwrap_or(0);
    Ok(complete(status).map(|length| head(code, length, response.headers)))
}

fn complete(status: httparse::Status<usize>) -> Option<usize> {
    match status {
        httparse::Status::Complete(length) => Some(length),
        httparse::Status::Partial => None,
    }
}

fn head<T>(start: T, length: usize, fields: &[httparse::Header]) -> Head<T> {
    Head {
        start,
        length,
        body_length: number(fields, "content-length").unwrap_or(0) as usize,
        wait_ms: number(fields, "srv-wait-ms"),
    }
}

/// The number in a header field, if it is there and holds one.
fn number(fields: &[httparse::Header], name: &str) -> Option<u64> {
    let field = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    let text = std::str::from_utf8(field.value).ok()?;
    text.trim().parse().ok()
}

fn invalid(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_owned())
}
