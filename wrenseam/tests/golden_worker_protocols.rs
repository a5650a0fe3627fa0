//! Golden bytes between the front end and its workers: binary frames and KServe v2, as transports write and read them.
mod link;

use link::{transport_of, Protocol, FIRST_ATTEMPT};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use wrenseam::model::{AttemptReport, Payload, Request};
use wrenseam::queue::Message;
use wrenseam::ring::Ring;
use wrenseam::worker::frames::{encode, Decoder, Frame};
use wrenseam::worker::kserve::wrap_response;
use wrenseam::worker::{AttemptLimits, CancelOutcome, Transport};
use wrenseam_policy::Outcome;

const PATIENCE: Duration = Duration::from_secs(20);
const WIRE_ID: u64 = 0x0123_4567_89ab_cdef;
const FUNCTION: u64 = 0x7f3a_9c21_e0b4_d655;
/// The budget is told in milliseconds; what is below one is cut off.
const BUDGET: u64 = 5_000_999;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn request(token: Option<&str>, retry: bool, payload: Payload) -> Arc<Request> {
    Arc::new(Request {
        wire_id: WIRE_ID,
        class: "tile-order".to_owned(),
        tenant: "acme".to_owned(),
        function: FUNCTION,
        timeout: 20_000_000,
        received_at: Instant::now(),
        idempotency_key: token.map(str::to_owned),
        is_retry: retry,
        memory_mb: 512.0,
        concurrency: 4,
        load_time: 640_000,
        payload,
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}

fn bytes_request(token: Option<&str>, retry: bool) -> Arc<Request> {
    request(token, retry, Payload::Bytes(b"body".to_vec()))
}

/// A worker that the test plays, and the transport to it.
struct Link {
    transport: Box<dyn Transport>,
    reports: mpsc::Receiver<Message>,
    listener: TcpListener,
    address: SocketAddr,
}

impl Link {
    fn new(protocol: Protocol) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (transport, reports) = transport_of(protocol, address, |_| ());
        Link {
            transport,
            reports,
            listener,
            address,
        }
    }

    fn accept(&self) -> TcpStream {
        let stream = self.listener.accept().expect("a connection").0;
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream
    }

    fn send(&mut self, request: &Arc<Request>) {
        self.transport
            .send(FIRST_ATTEMPT, request, AttemptLimits::with_timeout(BUDGET));
    }

    fn attempt_report(&self) -> AttemptReport {
        match self.reports.recv_timeout(PATIENCE) {
            Ok(Message::AttemptEnded { key, report }) if key == FIRST_ATTEMPT => report,
            _ => panic!("the attempt has not ended"),
        }
    }

    fn order_report(&self) -> (u64, Outcome, u32) {
        match self.reports.recv_timeout(PATIENCE) {
            Ok(Message::LoadOrderEnded {
                order,
                outcome,
                replicas,
            }) => (order, outcome, replicas),
            _ => panic!("the order has not ended"),
        }
    }
}

/// The next frame as it stands on the wire.
fn raw_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; 16];
    stream.read_exact(&mut bytes).expect("a header");
    let fields = usize::from(u16::from_be_bytes([bytes[2], bytes[3]]));
    let body = u32::from_be_bytes(bytes[4..8].try_into().expect("four")) as usize;
    bytes.resize(16 + fields + body + 4, 0);
    stream.read_exact(&mut bytes[16..]).expect("the rest of it");
    bytes
}

#[rstest]
#[case::bare(
    encode(3, WIRE_ID, "", b""),
    "7e030000000000000123456789abcdef00000000"
)]
#[case::with_fields(
    encode(6, 1, "path=1,slots_up=2", b""),
    "7e060011000000000000000000000001706174683d312c736c6f74735f75703d326196eb93"
)]
#[case::with_body(
    encode(2, u64::MAX, "a=b", b"\x00\xff"),
    "7e02000300000002ffffffffffffffff613d6200ff0660795f"
)]
fn frames_keep_their_bytes(#[case] frame: Vec<u8>, #[case] golden: &str) {
    pinned(&frame, golden);
}

#[rstest]
#[case::plain(bytes_request(None, false), "7e020032000000040123456789abcdef71756575653d74696c652d6f726465722c706174683d37663361396332316530\
         6234643635352c6275646765743d35303030626f647938fc0bab")]
#[case::with_idempotency_key(bytes_request(Some("key-1"), true), "7e02003d000000040123456789abcdef71756575653d74696c652d6f726465722c706174683d37663361396332316530\
         6234643635352c6275646765743d353030302c756e69713d6b65792d31626f64798268f2e1")]
#[case::of_json(request(None, false, Payload::Json(b"{\"a\":1}".to_vec())), "7e020032000000070123456789abcdef71756575653d74696c652d6f726465722c706174683d37663361396332316530\
         6234643635352c6275646765743d353030307b2261223a317d29eaa15e")]
fn calls_are_written_as_frames(#[case] request: Arc<Request>, #[case] golden: &str) {
    let mut link = Link::new(Protocol::Frames);
    link.send(&request);
    pinned(&raw_frame(&mut link.accept()), golden);
}

/// An order to load, a question how many replicas stand, an order to unload, a health check, a call and its cancellation.
#[test]
fn orders_and_cancellations_are_written_as_frames() {
    let mut link = Link::new(Protocol::Frames);
    link.transport.order(1, FUNCTION, 3, None);
    let mut worker = link.accept();
    pinned(&raw_frame(&mut worker), "7e06002000000000fffffffffffffffe706174683d376633613963323165306234643635352c736c6f74735f75703d33\
         e105316e");
    link.transport.order(2, FUNCTION, 0, None);
    pinned(&raw_frame(&mut worker), "7e06002000000000fffffffffffffffd706174683d376633613963323165306234643635352c736c6f74735f75703d30\
         780c60d4");
    link.transport.unload(FUNCTION);
    pinned(
        &raw_frame(&mut worker),
        "7e080000000000007f3a9c21e0b4d65500000000",
    );
    link.transport.check_health(3);
    pinned(
        &raw_frame(&mut worker),
        "7e04000000000000fffffffffffffffc00000000",
    );
    link.send(&bytes_request(None, false));
    raw_frame(&mut worker);
    assert_eq!(
        link.transport.cancel(FIRST_ATTEMPT),
        CancelOutcome::PendingConfirmation
    );
    pinned(
        &raw_frame(&mut worker),
        "7e030000000000000123456789abcdef00000000",
    );
}

fn report(
    outcome: Outcome,
    warm: Option<bool>,
    queue_depth: Option<u32>,
    body: Option<&[u8]>,
) -> AttemptReport {
    let payload = body.map(|body| Payload::Bytes(body.to_vec()));
    AttemptReport {
        outcome,
        replica_loaded: warm,
        queue_depth,
        payload,
    }
}

/// Each kind of answer as a worker writes it, and what the transport reports of it.
#[rstest]
#[case::served_resident(
    "7fc80019000000040123456789abcdef64657461696c3d7265736964656e742c636f6d70616e793d37444f4e456cc398\
         69",
    report(Outcome::Ok, Some(true), Some(7), Some(b"DONE"))
)]
#[case::served_booted(
    "7fc8000d000000000123456789abcdef64657461696c3d626f6f7465648397b643",
    report(Outcome::Ok, Some(false), None, Some(b""))
)]
#[case::served_rode(
    "7fc80015000000010123456789abcdef636f6d70616e793d302c64657461696c3d726f646578fb3f113c",
    report(Outcome::Ok, Some(false), Some(0), Some(b"x"))
)]
#[case::miss(
    "7fca0000000000000123456789abcdef00000000",
    report(Outcome::NotLoaded, None, None, None)
)]
#[case::full(
    "7fcb0009000000000123456789abcdef636f6d70616e793d397a097698",
    report(Outcome::Rejected, None, Some(9), None)
)]
#[case::error(
    "7fcc0009000000030123456789abcdef636f6d70616e793d39776879d9bb0016",
    report(Outcome::Error, None, None, None)
)]
#[case::moot(
    "7fcd0000000000000123456789abcdef00000000",
    report(Outcome::NotSent, None, None, None)
)]
fn answers_are_read_from_frames(#[case] golden: &str, #[case] expected: AttemptReport) {
    let mut link = Link::new(Protocol::Frames);
    link.send(&bytes_request(None, false));
    let mut worker = link.accept();
    raw_frame(&mut worker);
    worker.write_all(&unhex(golden)).expect("written");
    assert_eq!(link.attempt_report(), expected);
}

#[test]
fn answers_to_orders_are_read_from_frames() {
    let mut link = Link::new(Protocol::Frames);
    link.transport.order(1, FUNCTION, 3, None);
    let mut worker = link.accept();
    raw_frame(&mut worker);
    let golden = "7fc8000a00000000fffffffffffffffe736c6f74735f75703d32c89564c7";
    worker.write_all(&unhex(golden)).expect("written");
    assert_eq!(link.order_report(), (1, Outcome::Ok, 2));
}

#[test]
fn frames_are_decoded_from_golden_bytes() {
    let golden = "7fc80019000000040123456789abcdef64657461696c3d7265736964656e742c636f6d70616e793d37444f4e456cc398\
         69";
    let mut ring = Ring::new(256);
    ring.push(&unhex(golden));
    let frame = Decoder::default().next(&mut ring, 64).expect("sound");
    let fields = "detail=resident,company=7".to_owned();
    assert_eq!(
        frame,
        Some(Frame {
            code: 200,
            id: WIRE_ID,
            fields,
            body: b"DONE".to_vec()
        })
    );
}

/// The next HTTP request as it stands on the wire, the worker's own address masked.
fn raw_http(stream: &mut TcpStream, address: SocketAddr) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a head");
        bytes.extend(byte);
    }
    let head = String::from_utf8(bytes).expect("text");
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.expect("told").parse().expect("a number")];
    stream.read_exact(&mut body).expect("the body");
    let body = String::from_utf8(body).expect("text");
    format!("{}{body}", head.replace(&address.to_string(), "ADDRESS"))
}

#[rstest]
#[case::plain(bytes_request(None, false), "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 223\r\n\
         X-Budget-Ms: 5000\r\n\
         \r\n\
         {\"id\":\"0123456789abcdef\",\"inputs\":[{\"data\":[\"Ym9keQ==\"],\"datatype\":\"BYTES\",\"name\":\"body\",\"parameters\":{\"content_type\":\"base64\"},\"shape\":[1]}],\"parameters\":{\"class\":\"tile-order\",\"retry\":false,\"tenant\":\"acme\",\"wait_ms\":5000}}")]
#[case::with_idempotency_key(bytes_request(Some("key-1"), true), "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 238\r\n\
         X-Budget-Ms: 5000\r\n\
         \r\n\
         {\"id\":\"0123456789abcdef\",\"inputs\":[{\"data\":[\"Ym9keQ==\"],\"datatype\":\"BYTES\",\"name\":\"body\",\"parameters\":{\"content_type\":\"base64\"},\"shape\":[1]}],\"parameters\":{\"class\":\"tile-order\",\"retry\":true,\"tenant\":\"acme\",\"token\":\"key-1\",\"wait_ms\":5000}}")]
#[case::of_json(request(None, false, Payload::Json(b"{\"a\":1}".to_vec())), "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 7\r\n\
         X-Budget-Ms: 5000\r\n\
         \r\n\
         {\"a\":1}")]
fn calls_are_written_as_v2_requests(#[case] request: Arc<Request>, #[case] golden: &str) {
    let mut link = Link::new(Protocol::Kserve);
    link.send(&request);
    pinned_text(&raw_http(&mut link.accept(), link.address), golden);
}

#[rstest]
#[case::load(
    3,
    "POST /v2/repository/models/7f3a9c21e0b4d655/load HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 29\r\n\
         X-Budget-Ms: 10000\r\n\
         \r\n\
         {\"parameters\":{\"slots_up\":3}}"
)]
#[case::question(
    0,
    "POST /v2/repository/index HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 14\r\n\
         X-Budget-Ms: 10000\r\n\
         \r\n\
         {\"ready\":true}"
)]
fn orders_are_written_as_v2_requests(#[case] replicas: u32, #[case] golden: &str) {
    let mut link = Link::new(Protocol::Kserve);
    link.transport.order(1, FUNCTION, replicas, None);
    pinned_text(&raw_http(&mut link.accept(), link.address), golden);
}

#[test]
fn unloads_are_written_as_v2_requests() {
    let mut link = Link::new(Protocol::Kserve);
    link.transport.unload(FUNCTION);
    pinned_text(
        &raw_http(&mut link.accept(), link.address),
        "POST /v2/repository/models/7f3a9c21e0b4d655/unload HTTP/1.1\r\n\
         Host: ADDRESS\r\n\
         Content-Type: application/json\r\n\
         Content-Length: 2\r\n\
         X-Budget-Ms: 10000\r\n\
         \r\n\
         {}",
    );
}

const SERVED: &str = r#"{"id":"0123456789abcdef","parameters":{"detail":"booted","company":4},"outputs":[{"name":"body","shape":[1],"datatype":"BYTES","data":["DONE"]}]}"#;
const SERVED_BASE64: &str = r#"{"outputs":[{"name":"body","datatype":"BYTES","parameters":{"content_type":"base64"},"data":["AP8="]}]}"#;

/// Each kind of v2 answer of a worker, and what the transport reports of it.
#[rstest]
#[case::served(
    "200 OK",
    "",
    SERVED,
    report(Outcome::Ok, Some(false), Some(4), Some(b"DONE"))
)]
#[case::served_base64(
    "200 OK",
    "",
    SERVED_BASE64,
    report(Outcome::Ok, None, None, Some(b"\x00\xff"))
)]
#[case::served_nothing_readable("200 OK", "", "{}", report(Outcome::Error, None, None, None))]
#[case::miss(
    "404 Not Found",
    "",
    "{}",
    report(Outcome::NotLoaded, None, None, None)
)]
#[case::full_429(
    "429 Too Many Requests",
    "",
    "{}",
    report(Outcome::Rejected, None, None, None)
)]
#[case::full_503(
    "503 Service Unavailable",
    "Retry-After: 1\r\n",
    "{}",
    report(Outcome::Rejected, None, None, None)
)]
#[case::error_503(
    "503 Service Unavailable",
    "",
    "{}",
    report(Outcome::Error, None, None, None)
)]
#[case::error(
    "500 Internal Server Error",
    "",
    "{}",
    report(Outcome::Error, None, None, None)
)]
fn answers_are_read_from_v2(
    #[case] status: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] expected: AttemptReport,
) {
    let mut link = Link::new(Protocol::Kserve);
    link.send(&bytes_request(None, false));
    let mut worker = link.accept();
    raw_http(&mut worker, link.address);
    say_http(&mut worker, status, headers, body);
    assert_eq!(link.attempt_report(), expected);
}

fn say_http(worker: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let length = body.len();
    write!(
        worker,
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .expect("written");
}

#[rstest]
#[case::load(3, r#"{"parameters":{"slots_up":2}}"#, (1, Outcome::Ok, 2))]
#[case::load_of_unstated_replicas(3, "{}", (1, Outcome::Ok, 3))]
#[case::question(
    0,
    r#"[{"name":"7f3a9c21e0b4d655","state":"READY","parameters":{"slots_up":2}},{"name":"7f3a9c21e0b4d655","state":"READY"},{"name":"7f3a9c21e0b4d655","state":"UNAVAILABLE"},{"name":"0000000000000001","state":"READY"}]"#,
    (1, Outcome::Ok, 3)
)]
fn answers_to_orders_are_read_from_v2(
    #[case] replicas: u32,
    #[case] body: &str,
    #[case] expected: (u64, Outcome, u32),
) {
    let mut link = Link::new(Protocol::Kserve);
    link.transport.order(1, FUNCTION, replicas, None);
    let mut worker = link.accept();
    raw_http(&mut worker, link.address);
    say_http(&mut worker, "200 OK", "", body);
    assert_eq!(link.order_report(), expected);
}

#[test]
fn answers_of_bytes_are_wrapped_as_one_tensor() {
    pinned_text(&String::from_utf8(wrap_response(b"\x00\xffA")).expect("text"), "{\"outputs\":[{\"data\":[\"AP9B\"],\"datatype\":\"BYTES\",\"name\":\"body\",\"parameters\":{\"content_type\":\"base64\"},\"shape\":[1]}]}");
}

fn pinned(bytes: &[u8], golden: &str) {
    assert_eq!(hex(bytes), golden);
}

fn pinned_text(text: &str, golden: &str) {
    assert_eq!(text, golden);
}
