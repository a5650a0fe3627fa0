//! End-to-end tests of unusual client input, idle connections, health and state reports, and graceful shutdown.
mod common;

use common::{
    connect, fastcgi_record, fastcgi_request, http_get, read_fastcgi_answer, Harness, Protocol,
    FUNCTION,
};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

type Params = Vec<(&'static str, &'static str)>;

/// Parameters of a valid call whose client waits for `timeout_ms`.
fn params(timeout_ms: &'static str) -> Params {
    vec![
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", timeout_ms),
        ("HTTP_REQ_KEY", FUNCTION),
    ]
}

/// A call that is valid apart from one parameter, which is replaced or added.
fn request_with_param(name: &'static str, value: &'static str) -> Vec<u8> {
    let mut params: Params = params("900").into_iter().filter(|p| p.0 != name).collect();
    params.push((name, value));
    fastcgi_request(1, &params, b"")
}

/// A request that cannot be served gets an error answer, and the connection stays usable: each request is sent twice on
/// one connection. A health check is answered by the front end itself.
#[rstest]
#[case::body_too_long(fastcgi_request(1, &params("900"), &[7; 17_000]), "Status: 400", 0)]
#[case::timeout_is_no_number(fastcgi_request(1, &params("soon"), b""), "Status: 400", 0)]
// Numbers out of range must be rejected before they reach the clock or the policy.
#[case::infinite_timeout(fastcgi_request(1, &params("inf"), b""), "Status: 400", 0)]
#[case::huge_timeout(fastcgi_request(1, &params("1e300"), b""), "Status: 400", 0)]
#[case::negative_timeout(fastcgi_request(1, &params("-5"), b""), "Status: 400", 0)]
#[case::memory_is_no_number(
    request_with_param("HTTP_X_MORE", "memory_mb:NaN;lanes:2"),
    "Status: 400",
    0
)]
#[case::negative_memory(request_with_param("HTTP_X_MORE", "memory_mb:-1"), "Status: 400", 0)]
#[case::huge_concurrency(request_with_param("HTTP_X_MORE", "lanes:1e9"), "Status: 400", 0)]
#[case::load_time_is_no_number(request_with_param("HTTP_X_MORE", "load_ms:soon"), "Status: 400", 0)]
#[case::unknown_tenant(request_with_param("HTTP_REQ_OWNER", "nobody"), "Status: 500", 0)]
#[case::unknown_class(request_with_param("SCRIPT_NAME", "/v1/other"), "Status: 500", 0)]
#[case::no_parameters(fastcgi_request(1, &[], b""), "Status: 400", 0)]
#[case::unknown_role(fastcgi_record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]), "", 3)]
#[case::health(fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""), "Status: 200", 0)]
fn unusual_fastcgi_requests_are_answered(
    #[case] bytes: Vec<u8>,
    #[case] head_start: &str,
    #[case] protocol_status: u8,
) {
    let harness = Harness::new(Protocol::Platform);
    let mut stream = connect(harness.fastcgi_front);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("send a request");
        let answer = read_fastcgi_answer(&mut stream).expect("read an answer");
        assert!(
            answer.head.starts_with(head_start) && answer.protocol_status == protocol_status,
            "{answer:?}"
        );
    }
}

/// A violation of the FastCGI protocol ends its connection without an answer. Requests on other connections are served.
#[rstest]
#[case::not_fastcgi(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::begun_twice([fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]), fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0])].concat())]
#[case::begin_cut_short(fastcgi_record(1, 1, &[0, 1]))]
fn protocol_violations_end_the_connection(#[case] bytes: Vec<u8>) {
    let harness = Harness::new(Protocol::Platform);
    let mut stream = connect(harness.fastcgi_front);
    stream.write_all(&bytes).expect("send a request");
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0);
    harness.run_scenario(Protocol::Platform, SERVED_REQUEST);
}

/// An invalid or unsupported HTTP request is answered with an error object, and its connection is closed. Requests on
/// other connections are served.
#[rstest]
#[case::garbage("\u{1}\r\n\r\n", "400")]
#[case::too_long(
    "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "413"
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "400"
)]
#[case::chunked("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411")]
#[case::unknown_model("GET /v2/models/x/ready HTTP/1.1\r\nConnection: close\r\n\r\n", "404")]
#[case::not_json(
    "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
    "400"
)]
fn invalid_http_is_answered(#[case] bytes: &str, #[case] status: &str) {
    let harness = Harness::new(Protocol::Kserve);
    let mut stream = connect(harness.kserve_front);
    stream.write_all(bytes.as_bytes()).expect("send a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read an answer");
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")) && answer.contains(r#"{"error":""#),
        "{answer}"
    );
    harness.run_scenario(Protocol::Kserve, SERVED_REQUEST);
}

/// A client that sends no complete request is disconnected, after an error answer if its request is too long. Idle
/// clients must not keep others out: 130 silent connections exceed the 92 that the configured limit of sockets allows.
#[rstest]
#[case::silent("client expect closed")]
#[case::unfinished_request("client send part\nclient expect closed")]
#[case::endless_request("client send endless\nclient expect failed\nclient expect closed")]
#[case::idle_after_a_request(&format!("{SERVED_REQUEST}\nclient expect closed"))]
#[case::many_silent_connections(&format!("client open 130\n{SERVED_REQUEST}"))]
fn idle_and_unfinished_connections_are_closed(
    #[values(Protocol::Platform, Protocol::Kserve)] front: Protocol,
    #[case] scenario: &str,
) {
    Harness::new(Protocol::Platform).run_scenario(front, scenario);
}

/// A second request with the request id (`HTTP_REQ_ID`) of an open request fails, and the open request is served.
#[test]
fn an_open_request_keeps_its_id() {
    let harness = Harness::new(Protocol::Platform);
    harness.run_scenario(Protocol::Platform, SERVED_REQUEST);
    let mut stream = connect(harness.fastcgi_front);
    for (id, body) in [(1, b"first"), (2, b"other")] {
        stream
            .write_all(&fastcgi_request(id, &params("5000"), body))
            .expect("send a request");
    }
    let head = read_fastcgi_answer(&mut stream)
        .expect("read an answer")
        .head;
    assert!(head.starts_with("Status: 500"), "{head}");
    harness.run_scenario(
        Protocol::Platform,
        "worker expect tile-render - first\nworker send ok DONE",
    );
    let answer = read_fastcgi_answer(&mut stream).expect("read an answer");
    let (head, body) = (answer.head, answer.body);
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}

/// Scenario of one request that is served.
const SERVED_REQUEST: &str = "
    client send tile-render - x 3000
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE";

#[test]
fn health_metadata_and_state_are_reported() {
    let harness = Harness::new(Protocol::Kserve);
    harness.run_scenario(Protocol::Platform, SERVED_REQUEST);
    for (path, expected) in [
        ("/v2/health/live", r#"{"live":true}"#),
        ("/v2/health/ready", r#"{"ready":true}"#),
        ("/v2/models/7f3a9c21e0b4d655/ready", r#""ready":true"#),
        (
            "/v2/models/7f3a9c21e0b4d655/versions/1/ready",
            r#""ready":true"#,
        ),
        ("/v2/models/7f3a9c21e0b4d655", r#""platform":"wrenseam""#),
    ] {
        let answer = http_get(harness.kserve_front, path);
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.contains(expected),
            "{path}: {answer}"
        );
    }
    let state = http_get(harness.admin_api, "/v1/state");
    assert!(
        state.contains(r#""asked":1"#) && state.contains(r#""speech":"kserve""#),
        "{state}"
    );
}

/// A request sent just before SIGTERM is answered before the process exits, here with an error: no worker answers the
/// call within the 1.2 s that its client waits.
#[test]
fn graceful_shutdown_answers_accepted_requests() {
    let mut harness = Harness::new(Protocol::Platform);
    harness.run_scenario(Protocol::Platform, SERVED_REQUEST);
    let mut stream = connect(harness.fastcgi_front);
    stream
        .write_all(&fastcgi_request(1, &params("1200"), b"open"))
        .expect("send a request");
    assert!(harness.terminate());
    let head = read_fastcgi_answer(&mut stream)
        .expect("read an answer before the connection ends")
        .head;
    assert!(head.starts_with("Status: 5"), "{head}");
}

/// A request that its client aborted gets no answer, and its FastCGI id can be reused: the next answer on the
/// connection is that of the second request.
#[test]
fn an_aborted_request_gets_no_answer() {
    let harness = Harness::new(Protocol::Platform);
    harness.run_scenario(Protocol::Platform, SERVED_REQUEST);
    let mut stream = connect(harness.fastcgi_front);
    stream
        .write_all(&fastcgi_request(1, &params("60000"), b"given up"))
        .expect("send a request");
    stream
        .write_all(&fastcgi_record(2, 1, &[]))
        .expect("send a request");
    stream
        .write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("send a request");
    let head = read_fastcgi_answer(&mut stream)
        .expect("read an answer")
        .head;
    assert!(head.starts_with("Status: 200"), "{head}");
}

/// Guards against an exit that waits for clients that do not read their responses: the platform may kill the process
/// 3.7 s after SIGTERM, the longest wait that it counts and 0.7 s more.
#[test]
fn a_process_exits_in_time_although_a_client_does_not_read_its_responses() {
    const GET_VALUES: u8 = 9;
    const QUESTIONS: usize = 6;
    const EXIT_TIME: Duration = Duration::from_millis(3_700);
    let mut harness = Harness::new(Protocol::Platform);
    let mut client = connect(harness.fastcgi_front);
    SockRef::from(&client)
        .set_recv_buffer_size(4_096)
        .expect("set");
    let question = fastcgi_record(GET_VALUES, 0, &b"\x0e\0FCGI_MAX_CONNS".repeat(3_000));
    client
        .write_all(&question.repeat(QUESTIONS))
        .expect("written");
    client.peek(&mut [0]).expect("a response");
    let terminated_at = Instant::now();
    assert!(harness.terminate());
    let exit_time = terminated_at.elapsed();
    assert!(exit_time < EXIT_TIME, "exits after {exit_time:?}");
}
