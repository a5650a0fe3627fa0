//! v2 clients.
use super::CLASS;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A kept connection of a v2 client.
pub struct InferenceClient {
    stream: TcpStream,
}

/// Calls numbered so far: each has an id of its own.
static CALLS: AtomicU64 = AtomicU64::new(0);

impl InferenceClient {
    /// Connects to the v2 front.
    ///
    /// # Errors
    /// No connection comes up.
    pub fn connect(to: SocketAddr) -> std::io::Result<InferenceClient> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        Ok(InferenceClient { stream })
    }

    /// Calls a function that takes so long to load; the answer's status.
    ///
    /// # Errors
    /// The connection ends before a whole answer.
    pub fn call(&mut self, function: u64, load: Duration) -> std::io::Result<u16> {
        let id = (CALLS.fetch_add(1, Ordering::Relaxed) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let body = format!(
            r#"{{"id":"{id:016x}","parameters":{{"class":"{CLASS}","tenant":"acme","wait_ms":3000,"memory_mb":500,"lanes":4,"load_ms":{}}},"inputs":[]}}"#,
            load.as_millis()
        );
        let text = format!(
            "POST /v2/models/{function:016x}/infer HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())?;
        let (mut got, mut chunk) = (Vec::new(), [0u8; 1024]);
        loop {
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            got.extend_from_slice(&chunk[..n]);
            let text = String::from_utf8_lossy(&got);
            let Some((head, rest)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let named = |l: &str| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length:")?
                    .trim()
                    .parse()
                    .ok()
            };
            let length: usize = head.lines().find_map(named).unwrap_or(0);
            if rest.len() >= length {
                let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok());
                return status.ok_or(std::io::ErrorKind::InvalidData.into());
            }
        }
    }
}
