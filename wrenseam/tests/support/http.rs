//! HTTP/1.1 messages whose body length is given by `Content-Length`.
use super::sockets::read_bytes;
use std::io::{self, Read};

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request or a response.
pub(crate) struct HttpMessage {
    /// The start line and the headers, with the empty line that ends them.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// The value of a header, `None` if it is missing. `name` must match in case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The target of a request.
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) fn target(&self) -> &str {
        self.head.split(' ').nth(1).expect("a request line")
    }
}

/// Reads one message. Without a `Content-Length` its body is empty.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn read_message(stream: &mut impl Read) -> io::Result<HttpMessage> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        head.extend(read_bytes(stream, 1)?);
    }
    let mut message = HttpMessage {
        head: String::from_utf8_lossy(&head).into_owned(),
        body: Vec::new(),
    };
    let length = message
        .header("Content-Length")
        .map_or(0, |length| length.parse().expect("a length"));
    message.body = read_bytes(stream, length)?;
    Ok(message)
}

/// Encodes a response. `headers` are those besides `Content-Length`, each terminated by CRLF.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
