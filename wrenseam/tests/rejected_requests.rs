//! FastCGI requests that are answered before they are whole, on connections with other requests: these must get their
//! answers, whatever becomes of the rejected one.
mod common;

use common::{
    fastcgi_record, read_fastcgi_answer, request_bytes, InProcessFront, PassedRequest, Protocol,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::model::{Answer, Payload};

// FastCGI record types.
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const GET_VALUES: u8 = 9;

/// Bytes of a BEGIN_REQUEST record.
const BEGIN_BYTES: usize = 16;
/// Bytes of the empty record that ends a request.
const END_BYTES: usize = 8;
/// Protocol status FCGI_OVERLOADED.
const OVERLOADED: u8 = 2;
/// Length of a long answer.
const LONG_ANSWER_BYTES: usize = 30_000;
/// No test takes longer.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the clients wait, in ms.
const WAIT_MS: u32 = 20_000;
/// Time in which a request must be complete in the tests.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a request is answered before it is whole.
#[derive(Clone, Copy, Debug)]
enum Early {
    ReadTimeout,
    ParametersTooLong,
    BodyTooLong,
}

fn change_limits(limits: &mut Limits) {
    limits.request_read_timeout = READ_TIMEOUT;
    limits.client_check_interval = READ_TIMEOUT / 10;
}

fn whole(id: u16) -> Vec<u8> {
    request_bytes(Protocol::Platform, id, WAIT_MS)
}

/// The first part of a request, after which it is answered early.
fn part(id: u16, early: Early) -> Vec<u8> {
    let bytes = whole(id);
    let begun = &bytes[..bytes.len() - END_BYTES];
    match early {
        Early::ReadTimeout => begun.to_vec(),
        Early::ParametersTooLong => [
            &bytes[..BEGIN_BYTES],
            &fastcgi_record(PARAMS, id, &[0; 17_000]),
        ]
        .concat(),
        Early::BodyTooLong => [begun, &fastcgi_record(STDIN, id, &[0; 17_000])].concat(),
    }
}

fn send(front: &mut InProcessFront, bytes: &[u8]) {
    front.client.write_all(bytes).expect("written");
}

fn read_status(front: &mut InProcessFront) -> String {
    let head = read_fastcgi_answer(&mut front.client)
        .expect("an answer")
        .head;
    head.lines().next().unwrap_or_default().to_owned()
}

fn serve(request: &PassedRequest) {
    let answer = Answer::Served(Payload::Bytes(b"DONE".to_vec()));
    request.client.answer(request.tag, answer);
}

/// Guards against a connection that ends, with the requests of others on it, because the id of a request that was
/// answered early is used for the next one, as FastCGI allows.
#[rstest]
fn the_id_of_a_request_that_was_answered_early_is_free(
    #[values(Early::ReadTimeout, Early::ParametersTooLong, Early::BodyTooLong)] early: Early,
) {
    let mut front = InProcessFront::start(Protocol::Platform, change_limits);
    send(&mut front, &whole(1));
    let other = front.next_request();
    send(&mut front, &part(2, early));
    assert_eq!(read_status(&mut front), "Status: 400 Bad Request");
    send(&mut front, &whole(2));
    let next = front.next_request();
    serve(&other);
    assert_eq!(read_status(&mut front), "Status: 200 OK");
    serve(&next);
    assert_eq!(read_status(&mut front), "Status: 200 OK");
}

/// Guards against a connection that ends because what was discarded of many rejected requests is added up.
#[test]
fn the_rest_of_rejected_requests_ends_no_connection() {
    let mut front = InProcessFront::start(Protocol::Platform, change_limits);
    send(&mut front, &whole(1));
    let other = front.next_request();
    for id in 2..10 {
        send(&mut front, &part(id, Early::BodyTooLong));
        assert_eq!(read_status(&mut front), "Status: 400 Bad Request");
        send(&mut front, &fastcgi_record(STDIN, id, &[0; 16_000]));
        send(&mut front, &fastcgi_record(STDIN, id, &[]));
    }
    serve(&other);
    assert_eq!(read_status(&mut front), "Status: 200 OK");
}

/// Guards against a connection that ends, with a request that is still arriving, because another one on it is overdue.
#[test]
fn a_request_that_arrives_outlives_one_that_is_overdue() {
    let mut front = InProcessFront::start(Protocol::Platform, change_limits);
    send(&mut front, &part(1, Early::ReadTimeout));
    std::thread::sleep(READ_TIMEOUT / 2);
    let second = whole(2);
    let (begun, end) = second.split_at(second.len() - END_BYTES);
    send(&mut front, begun);
    assert_eq!(read_status(&mut front), "Status: 400 Bad Request");
    send(&mut front, end);
    serve(&front.next_request());
    assert_eq!(read_status(&mut front), "Status: 200 OK");
}

/// Guards against memory that no budget counts: what a connection stores of a record that may never become whole.
#[rstest]
#[case::parameters(fastcgi_record(PARAMS, 2, &[0; 16_000]))]
#[case::body(fastcgi_record(STDIN, 2, &[0; 16_000]))]
#[case::management(fastcgi_record(GET_VALUES, 0, &[0; 16_000]))]
fn a_half_received_record_is_reserved_in_the_budget(#[case] record: Vec<u8>) {
    let mut front = InProcessFront::start(Protocol::Platform, |_| {});
    send(&mut front, &whole(2)[..BEGIN_BYTES]);
    send(&mut front, &record[..record.len() - 1]);
    let since = Instant::now();
    while front.context.budget.reserved() < 16_000 {
        assert!(since.elapsed() < TEST_TIMEOUT, "not reserved");
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(front.client);
    while front.context.budget.reserved() > 0 {
        assert!(since.elapsed() < TEST_TIMEOUT, "not given back");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a record that is stored although it is too long: its request is rejected by its header.
#[rstest]
#[case::parameters(PARAMS)]
#[case::body(STDIN)]
fn a_record_that_is_too_long_is_rejected_before_it_comes(#[case] record_type: u8) {
    let mut front = InProcessFront::start(Protocol::Platform, |_| {});
    send(&mut front, &whole(2)[..BEGIN_BYTES]);
    let header = &fastcgi_record(record_type, 2, &[0; 17_000])[..8];
    send(&mut front, header);
    assert_eq!(read_status(&mut front), "Status: 400 Bad Request");
    send(&mut front, &[0; 17_000]);
    send(&mut front, &whole(2));
    serve(&front.next_request());
    assert_eq!(read_status(&mut front), "Status: 200 OK");
}

/// A budget that four half-received requests fill, as far as these may.
fn small_budget(limits: &mut Limits) {
    limits.memory_budget_bytes = 256 * 1024;
    limits.max_partial_request_bytes = 64 * 1024;
    limits.max_request_bytes = 192 * 1024;
}

/// Guards against half-received requests that take the memory for the responses of others: a response for which there was
/// none ended its connection, although the request had run.
#[test]
fn half_received_requests_leave_memory_for_responses() {
    let mut front = InProcessFront::start(Protocol::Platform, small_budget);
    send(&mut front, &whole(1));
    let other = front.next_request();
    for id in 2..30 {
        let begin = &whole(id)[..BEGIN_BYTES];
        send(
            &mut front,
            &[begin, &fastcgi_record(PARAMS, id, &[0; 14_000])].concat(),
        );
    }
    let refused = read_fastcgi_answer(&mut front.client).expect("a rejection");
    assert_eq!(refused.protocol_status, OVERLOADED);
    let answer = Answer::Served(Payload::Bytes(vec![b'x'; LONG_ANSWER_BYTES]));
    other.client.answer(other.tag, answer);
    let served = loop {
        let answer = read_fastcgi_answer(&mut front.client).expect("the response");
        if answer.protocol_status != OVERLOADED {
            break answer;
        }
    };
    assert_eq!(served.body.len(), LONG_ANSWER_BYTES);
}

/// A v2 request for whose body there is no memory is refused, with advice, and ends none before it.
#[test]
fn a_v2_request_without_memory_is_refused_behind_the_pending_ones() {
    let mut front = InProcessFront::start(Protocol::Kserve, |limits| {
        limits.max_partial_request_bytes = 8 * 1024;
    });
    let first = request_bytes(Protocol::Kserve, 1, WAIT_MS);
    let head = b"POST /v2/models/x/infer HTTP/1.1\r\nHost: t\r\nContent-Length: 16000\r\n\r\n";
    send(&mut front, &[&first, &head[..]].concat());
    serve(&front.next_request());
    let mut received = String::new();
    front
        .client
        .read_to_string(&mut received)
        .expect("closed without a reset");
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    let (_, refused) = received.split_once("HTTP/1.1 503").expect("a refusal");
    assert!(refused.contains("Retry-After: "), "{refused}");
}

/// Padding belongs to no record's content, also where it comes in pieces, and behind discarded content.
#[rstest]
fn padded_records_are_read(#[values(1, 5, 4_096)] piece_bytes: usize) {
    let mut front = InProcessFront::start(Protocol::Platform, |_| {});
    let mut input = padded(&fastcgi_record(STDIN, 9, b"of no request"));
    let mut request = &whole(1)[..];
    while !request.is_empty() {
        let content = usize::from(u16::from_be_bytes([request[4], request[5]]));
        let (record, rest) = request.split_at(8 + content);
        input.extend(padded(record));
        request = rest;
    }
    for piece in input.chunks(piece_bytes) {
        send(&mut front, piece);
    }
    serve(&front.next_request());
    assert_eq!(read_status(&mut front), "Status: 200 OK");
}

/// The record with padding.
fn padded(record: &[u8]) -> Vec<u8> {
    const PADDING: [u8; 7] = [0xff; 7];
    let mut padded = [record, &PADDING].concat();
    padded[6] = PADDING.len() as u8;
    padded
}
