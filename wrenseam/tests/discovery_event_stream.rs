//! The discovery service's response, parsed byte by byte, and the errors for invalid events and endpoints.
use rstest::rstest;
use wrenseam::discovery::event::{parse_event, EventError, InstanceError};
use wrenseam::discovery::event_stream::{EventStreamError, EventStreamResponse, StreamItem};
use wrenseam::discovery::xds::{parse_endpoints, XdsError};
use wrenseam::limits::{DiscoveryLimits, Limits};
use wrenseam_policy::json::{object, parse};
use wrenseam_policy::Settings;

const PLAIN: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Limits of a small process, with heads of at most 64 bytes and events of at most 16.
fn limits() -> DiscoveryLimits {
    DiscoveryLimits {
        max_head_bytes: 64,
        max_event_bytes: 16,
        ..Limits::new(32, 64, &Settings::default()).discovery
    }
}

/// The data of the events in `bytes`, up to the first error.
fn parse_response(bytes: &str) -> (Vec<String>, Option<EventStreamError>) {
    let mut response = EventStreamResponse::new(&limits());
    let mut events = Vec::new();
    for byte in bytes.bytes() {
        match response.push(byte) {
            Ok(StreamItem::Event(event)) => events.push(event.data),
            Ok(StreamItem::Incomplete | StreamItem::Comment) => {}
            Err(error) => return (events, Some(error)),
        }
    }
    (events, None)
}

#[rstest]
#[case::plain(format!("{PLAIN}data: a\n\ndata: b\n\n"), None)]
#[case::chunked(format!("{CHUNKED}9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n"), None)]
#[case::chunks_across_events(format!("{CHUNKED}d\r\ndata: a\n\ndata\r\n5\r\n: b\n\n\r\n"), None)]
#[case::last_chunk(
    format!("{CHUNKED}12\r\ndata: a\n\ndata: b\n\n\r\n0\r\n\r\n"),
    Some(EventStreamError::Ended)
)]
#[case::long_event(
    format!("{PLAIN}data: a\n\ndata: b\n\ndata: 0123456789abcdef"),
    Some(EventStreamError::EventTooLong)
)]
fn events_before_an_error_are_returned(
    #[case] bytes: String,
    #[case] error: Option<EventStreamError>,
) {
    assert_eq!(
        parse_response(&bytes),
        (vec!["a".to_owned(), "b".to_owned()], error)
    );
}

#[rstest]
#[case::status("HTTP/1.1 503 Busy\r\n\r\n".to_owned(), EventStreamError::Status(503))]
#[case::long_head(format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(64)), EventStreamError::HeadTooLong)]
fn unusable_heads(#[case] bytes: String, #[case] error: EventStreamError) {
    assert_eq!(parse_response(&bytes), (vec![], Some(error)));
}

#[test]
fn malformed_heads_and_chunks() {
    let head = parse_response("HTTP/1.1 ok\r\n\r\n").1;
    assert!(matches!(head, Some(EventStreamError::InvalidHead { .. })));
    let chunk = parse_response(&format!("{CHUNKED}zz\r\n")).1;
    assert!(matches!(chunk, Some(EventStreamError::InvalidChunk { .. })));
}

/// An event's valid instances are used, and each invalid one is a fault of its own kind.
#[test]
fn faults_of_an_event() {
    let text = r#"{"pool":{"instances":[7,{},{"instanceId":"a"},
        {"instanceId":"b","hostPort":"x","lifecycle":"ready"},
        {"instanceId":"c","hostPort":"127.0.0.1:1","lifecycle":"asleep"},
        {"instanceId":"d","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}}"#;
    let json = parse(text).expect("JSON");
    let event = parse_event(object(&json).expect("an object")).expect("a pool");
    let ids: Vec<&str> = event.endpoints.iter().map(|e| e.id.as_str()).collect();
    assert_eq!(ids, ["d"]);
    let missing = |key| EventError::Instance(InstanceError::MissingField { key });
    assert_eq!(
        event.faults[..3],
        [
            EventError::Instance(InstanceError::NotAnObject),
            missing("instanceId"),
            missing("hostPort")
        ]
    );
    assert!(matches!(
        event.faults[3..],
        [
            EventError::Instance(InstanceError::InvalidAddress { .. }),
            EventError::Instance(InstanceError::UnknownState { .. })
        ]
    ));
}

#[rstest]
#[case::no_pool("{}", Some(EventError::NoPool))]
#[case::no_instances(r#"{"pool":{"reset":true}}"#, None)]
fn an_event_without_instances(#[case] text: &str, #[case] error: Option<EventError>) {
    let json = parse(text).expect("JSON");
    match parse_event(object(&json).expect("an object")) {
        Ok(event) => assert_eq!(
            (event.complete, event.faults, error),
            (true, vec![EventError::NoInstances], None)
        ),
        Err(found) => assert_eq!(Some(found), error),
    }
}

#[rstest]
#[case::no_socket("{}", XdsError::NoSocketAddress)]
#[case::no_host(r#"{"endpoint":{"address":{"socket_address":{}}}}"#, XdsError::NoHost)]
#[case::no_port(
    r#"{"endpoint":{"address":{"socket_address":{"address":"127.0.0.1"}}}}"#,
    XdsError::NoPort
)]
fn an_endpoint_without_an_address(#[case] endpoint: &str, #[case] error: XdsError) {
    let text = format!(r#"{{"endpoints":[{{"lb_endpoints":[{endpoint}]}}]}}"#);
    let json = parse(&text).expect("JSON");
    let result = parse_endpoints(object(&json).expect("an object"));
    assert_eq!(result, Err(error));
}
