//! A stand-in client of either front, with one connection.
pub(crate) mod fastcgi;
pub(crate) mod v2;

use super::support::fastcgi::{
    abort_request, fastcgi_request, read_fastcgi_answer, stdin_record, OVERLOADED,
};
use super::support::http::{read_message, HttpMessage};
use super::support::sockets::{connect, TEST_TIMEOUT};
use super::{CallContent, Protocol, FUNCTION, QUIET_PERIOD};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Bytes omitted from the end of an incomplete request.
const OMITTED_BYTES: usize = 8;
/// Largest number of pieces of an endless request, about 60 MB of FastCGI records.
const ENDLESS_PIECES: usize = 7_500;
/// FastCGI id of a request that is aborted without having been begun.
const UNKNOWN_REQUEST_ID: u16 = 9;

/// A complete request of a client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClientRequest {
    pub(crate) content: CallContent,
    /// How long the client states that it waits for the answer.
    pub(crate) timeout_ms: u64,
}

/// The kind of answer that a client received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClientAnswer {
    /// The function ran; the body of the answer as text.
    Served(String),
    /// The request was not run, and the answer says when to retry.
    Rejected,
    /// Any other answer.
    Failed,
}

/// A client with one connection to a front.
pub(crate) struct Client {
    protocol: Protocol,
    stream: TcpStream,
    /// FastCGI id of the last request; 0 before the first.
    last_request_id: u16,
}

/// Opens a connection and sends valid input without effect on it in the background, as fast as it is accepted, for at
/// most `TEST_TIMEOUT`: FastCGI aborts of an unknown request, or the empty lines that HTTP allows before a request.
pub(crate) fn flood(protocol: Protocol, address: SocketAddr) {
    let mut stream = connect(address);
    let bytes = match protocol {
        Protocol::Platform => abort_request(UNKNOWN_REQUEST_ID).repeat(8_000),
        Protocol::Kserve => b"\r\n".repeat(32_000),
    };
    let until = Instant::now() + TEST_TIMEOUT;
    std::thread::spawn(
        move || {
            while Instant::now() < until && stream.write_all(&bytes).is_ok() {}
        },
    );
}

/// Sends an HTTP GET request on a connection of its own, and returns the complete response.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn http_get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    let request = format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("send a request");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("read the response");
    response
}

impl Client {
    /// Connects to the front of this protocol.
    pub(crate) fn connect(protocol: Protocol, address: SocketAddr) -> Client {
        Client {
            protocol,
            stream: connect(address),
            last_request_id: 0,
        }
    }

    /// Sends a complete request under a new id.
    pub(crate) fn send(&mut self, request: &ClientRequest) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        self.last_request_id = id as u16;
        let bytes = match self.protocol {
            Protocol::Platform => fastcgi::call(id, request),
            Protocol::Kserve => v2::call(id, request),
        };
        self.stream.write_all(&bytes).expect("send a request");
    }

    /// Sends a request that ends early: a FastCGI request without its last record, or an HTTP head that breaks off in
    /// the `Host` header.
    pub(crate) fn send_part(&mut self) {
        let bytes = match self.protocol {
            Protocol::Platform => {
                fastcgi_request(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"half")
            }
            Protocol::Kserve => {
                format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\n").into_bytes()
            }
        };
        let part = &bytes[..bytes.len() - OMITTED_BYTES];
        self.stream.write_all(part).expect("send part of a request");
    }

    /// Sends a request without end in the background until the connection fails or `ENDLESS_PIECES` are sent: a body in
    /// FastCGI, header lines in HTTP.
    pub(crate) fn send_endless(&mut self) {
        self.send_part();
        let mut stream = self.stream.try_clone().expect("clone the socket");
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
        self.stream
            .shutdown(Shutdown::Both)
            .expect("shut down an open connection");
    }

    /// Cancels the last request: with a FastCGI abort record, or by closing the HTTP connection.
    pub(crate) fn abort(&mut self) {
        match self.protocol {
            Protocol::Platform => {
                let record = abort_request(self.last_request_id);
                self.stream.write_all(&record).expect("send an abort");
            }
            Protocol::Kserve => self.close(),
        }
    }

    /// Fails the test unless the front end closes the connection.
    pub(crate) fn expect_closed(&mut self, context: &str) {
        let mut rest = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut rest) {
            let kind = error.kind();
            assert_eq!(
                kind,
                ErrorKind::ConnectionReset,
                "{context}: the connection is still open"
            );
        }
    }

    /// Fails the test if any byte arrives, or the connection ends, within `QUIET_PERIOD`.
    pub(crate) fn expect_nothing(&mut self, context: &str) {
        self.stream
            .set_read_timeout(Some(QUIET_PERIOD))
            .expect("set the read timeout");
        let got = self.stream.read(&mut [0; 64]);
        assert!(got.is_err(), "{context}: read ended with {got:?}");
        self.stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set the read timeout");
    }

    /// Reads the next answer. Fails the test on a rejection that does not say when to retry, or on a KServe v2 error
    /// without an error object.
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
        let says_when_to_retry = overloaded || answer.head.contains("Srv-Wait-Ms: ");
        assert!(
            says_when_to_retry,
            "{context}: rejected without a time to retry after"
        );
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
        let says_when_to_retry = head.contains("Retry-After: ");
        assert!(
            says_when_to_retry,
            "{context}: rejected without a time to retry after"
        );
        ClientAnswer::Rejected
    }
}
