//! Stand-in clients of both fronts, and what they send and read on one connection.
pub(crate) mod fastcgi;
pub(crate) mod v2;

use super::support::http::{read_message, HttpMessage};
use super::support::sockets::{connect, TEST_TIMEOUT};
use super::{CallContent, Protocol, FUNCTION, QUIET};
use fastcgi::{abort_request, fastcgi_request, read_fastcgi_answer, stdin_record, OVERLOADED};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Bytes that are left out of a request that stops midway.
const MISSING_BYTES: usize = 8;
/// Pieces of a body without end that are sent at the most: 60 MB or so.
const ENDLESS_PIECES: usize = 7_500;
/// FastCGI id of the requests that are never begun or never finished.
const STRAY_REQUEST_ID: u16 = 9;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClientRequest {
    pub(crate) content: CallContent,
    pub(crate) timeout_ms: u64,
}

/// A final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClientAnswer {
    Served(String),
    /// Nothing ran; the client is told when to retry.
    Rejected,
    Failed,
}

/// A stand-in client with one connection.
pub(crate) struct Client {
    protocol: Protocol,
    stream: TcpStream,
    /// The FastCGI id of its last request.
    last_request_id: u16,
}

/// Sends what means nothing, at full speed for as long as it is taken, at most `TEST_TIMEOUT`.
pub(crate) fn flood(protocol: Protocol, address: SocketAddr) {
    let mut stream = connect(address);
    let bytes = match protocol {
        Protocol::Platform => abort_request(STRAY_REQUEST_ID).repeat(8_000),
        Protocol::Kserve => b"\r\n".repeat(32_000),
    };
    let until = Instant::now() + TEST_TIMEOUT;
    std::thread::spawn(
        move || {
            while Instant::now() < until && stream.write_all(&bytes).is_ok() {}
        },
    );
}

/// The response to an HTTP GET, up to the end of the connection.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn http_get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    let request = format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}

impl Client {
    pub(crate) fn connect(protocol: Protocol, address: SocketAddr) -> Client {
        Client {
            protocol,
            stream: connect(address),
            last_request_id: 0,
        }
    }

    /// Sends a whole request, under an id of its own.
    pub(crate) fn send(&mut self, request: &ClientRequest) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        self.last_request_id = id as u16;
        let bytes = match self.protocol {
            Protocol::Platform => fastcgi::call(id, request),
            Protocol::Kserve => v2::call(id, request),
        };
        self.stream.write_all(&bytes).expect("written");
    }

    /// Sends a request but for its last bytes.
    pub(crate) fn send_part(&mut self) {
        let bytes = match self.protocol {
            Protocol::Platform => {
                fastcgi_request(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"half")
            }
            Protocol::Kserve => {
                format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\n").into_bytes()
            }
        };
        let part = &bytes[..bytes.len() - MISSING_BYTES];
        self.stream.write_all(part).expect("written");
    }

    /// Sends a body until the connection takes no more of it.
    pub(crate) fn send_endless(&mut self) {
        self.send_part();
        let mut stream = self.stream.try_clone().expect("cloned");
        let piece = match self.protocol {
            Protocol::Platform => stdin_record(1, &[7; 8_000]),
            Protocol::Kserve => b"X-Endless: 1\r\n".repeat(500),
        };
        std::thread::spawn(move || {
            (0..ENDLESS_PIECES).all(|_| stream.write_all(&piece).is_ok());
        });
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        self.stream.shutdown(Shutdown::Both).expect("open");
    }

    /// Cancels the last request; in v2 that is done by closing.
    pub(crate) fn abort(&mut self) {
        match self.protocol {
            Protocol::Platform => {
                let record = abort_request(self.last_request_id);
                self.stream.write_all(&record).expect("written");
            }
            Protocol::Kserve => self.close(),
        }
    }

    /// Fails unless the program ends the connection.
    pub(crate) fn expect_closed(&mut self, context: &str) {
        let mut rest = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut rest) {
            let kind = error.kind();
            assert_eq!(kind, ErrorKind::ConnectionReset, "{context}: still open");
        }
    }

    /// Fails if anything comes.
    pub(crate) fn expect_nothing(&mut self, context: &str) {
        self.stream.set_read_timeout(Some(QUIET)).expect("set");
        let got = self.stream.read(&mut [0; 64]);
        assert!(got.is_err(), "{context}: {got:?}");
        self.stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set");
    }

    /// The next final answer; a rejection must say when to retry, and a v2 error must be an error object.
    pub(crate) fn read_answer(&mut self, context: &str) -> ClientAnswer {
        match self.protocol {
            Protocol::Platform => self.read_fastcgi_answer(context),
            Protocol::Kserve => self.read_v2_answer(context),
        }
    }

    fn read_fastcgi_answer(&mut self, context: &str) -> ClientAnswer {
        let answer = read_fastcgi_answer(&mut self.stream).expect(context);
        if answer.head.contains(" 200 ") {
            return ClientAnswer::Served(v2::text_of(&answer.body));
        }
        let overloaded = answer.protocol_status == OVERLOADED;
        if !overloaded && !answer.head.contains("Status: 503") {
            return ClientAnswer::Failed;
        }
        let advice = overloaded || answer.head.contains("Srv-Wait-Ms: ");
        assert!(advice, "{context}: no advice when to retry");
        ClientAnswer::Rejected
    }

    fn read_v2_answer(&mut self, context: &str) -> ClientAnswer {
        let HttpMessage { head, body } = read_message(&mut self.stream).expect(context);
        if head.contains(" 200 ") {
            return ClientAnswer::Served(v2::text_of(&body));
        }
        let text = String::from_utf8_lossy(&body);
        assert!(text.starts_with(r#"{"error":""#), "{context}: {text}");
        if !head.starts_with("HTTP/1.1 503") {
            return ClientAnswer::Failed;
        }
        let advice = head.contains("Retry-After: ");
        assert!(advice, "{context}: no advice when to retry");
        ClientAnswer::Rejected
    }
}
