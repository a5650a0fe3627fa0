//! A client of the v2 inference protocol.
use super::CLASS;
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest wait for data of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Multiplier that turns request numbers into ids that look random: 2^64 divided by the golden ratio. It is odd, so
/// that different numbers give different ids.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Number of the latest request of all clients in this process; each request has an id of its own.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// A v2 client with one persistent connection.
pub struct InferenceClient {
    stream: TcpStream,
}

impl InferenceClient {
    /// Connects to the v2 listener at this address.
    ///
    /// # Errors
    /// The connection cannot be established.
    pub fn connect(to: SocketAddr) -> std::io::Result<InferenceClient> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(InferenceClient { stream })
    }

    /// Sends an inference request for a function and returns the status code of the response. The request states `load`
    /// as the function's load time.
    ///
    /// # Errors
    /// The connection fails, or times out, before a complete response has been received, or the status is invalid.
    pub fn infer(&mut self, function: u64, load: Duration) -> std::io::Result<u16> {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed) + 1;
        let id = number.wrapping_mul(ID_MULTIPLIER);
        let body = format!(
            r#"{{"id":"{id:016x}","parameters":{{"class":"{CLASS}","tenant":"acme","wait_ms":3000,"memory_mb":500,"lanes":4,"load_ms":{}}},"inputs":[]}}"#,
            load.as_millis()
        );
        let request = format!(
            "POST /v2/models/{function:016x}/infer HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(request.as_bytes())?;
        self.read_status()
    }

    /// Reads a complete response and returns its status code.
    fn read_status(&mut self) -> std::io::Result<u16> {
        let mut received = Vec::new();
        let mut chunk = [0u8; 1024];
        loop {
            let count = self.stream.read(&mut chunk)?;
            if count == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            received.extend_from_slice(&chunk[..count]);
            let text = String::from_utf8_lossy(&received);
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            if body.len() >= content_length(head) {
                return status(head).ok_or(Error::from(ErrorKind::InvalidData));
            }
        }
    }
}

fn content_length(head: &str) -> usize {
    let lengths = head.lines().filter_map(|line| {
        let line = line.to_ascii_lowercase();
        line.strip_prefix("content-length:")?.trim().parse().ok()
    });
    lengths.into_iter().next().unwrap_or(0)
}

fn status(head: &str) -> Option<u16> {
    head.split_whitespace().nth(1)?.parse().ok()
}
