//! Reading one HTTP/1.1 message from a stream with `httparse`: its status or target, and its body.
use std::io::Read;

/// Largest message the lab's stand-ins read, head and body: they only speak to the program.
const MAX: usize = 1 << 20;

/// One message read: the request's target (or the answer's status as text), its wait told, its body.
pub struct Message {
    pub first: String,
    /// `Srv-Wait-Ms`, where told.
    pub wait_ms: Option<u64>,
    pub body: Vec<u8>,
}

/// Reads a message; `request` tells which kind to expect. Bytes past it stay in `carry`.
///
/// # Errors
/// The stream ends or fails, the message is garbled or larger than 1 MiB.
pub fn read(
    stream: &mut impl Read,
    carry: &mut Vec<u8>,
    request: bool,
) -> std::io::Result<Message> {
    let bad = |what: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_owned());
    let mut chunk = [0u8; 16 * 1024];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let field = |headers: &[httparse::Header], name: &str| {
            headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
                .and_then(|h| {
                    std::str::from_utf8(h.value)
                        .ok()?
                        .trim()
                        .parse::<u64>()
                        .ok()
                })
        };
        let done = |n: usize, first: String, h: &[httparse::Header]| {
            (
                n,
                first,
                field(h, "content-length").unwrap_or(0),
                field(h, "srv-wait-ms"),
            )
        };
        let parsed = if request {
            let mut r = httparse::Request::new(&mut headers);
            match r.parse(carry).map_err(|_| bad("garbled"))? {
                httparse::Status::Complete(n) => {
                    Some(done(n, r.path.unwrap_or("").to_owned(), r.headers))
                }
                httparse::Status::Partial => None,
            }
        } else {
            let mut r = httparse::Response::new(&mut headers);
            match r.parse(carry).map_err(|_| bad("garbled"))? {
                httparse::Status::Complete(n) => {
                    Some(done(n, r.code.unwrap_or(0).to_string(), r.headers))
                }
                httparse::Status::Partial => None,
            }
        };
        if let Some((n, first, length, wait_ms)) = parsed {
            let length = length as usize;
            if n + length > MAX {
                return Err(bad("too large"));
            }
            while carry.len() < n + length {
                let got = stream.read(&mut chunk)?;
                if got == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                carry.extend_from_slice(&chunk[..got]);
            }
            let body = carry[n..n + length].to_vec();
            carry.drain(..n + length);
            return Ok(Message {
                first,
                wait_ms,
                body,
            });
        }
        if carry.len() > MAX {
            return Err(bad("too large"));
        }
        let got = stream.read(&mut chunk)?;
        if got == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        carry.extend_from_slice(&chunk[..got]);
    }
}
