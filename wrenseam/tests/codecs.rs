//! Decoders of the protocols, on handwritten input.
use rstest::rstest;
use wrenseam::discovery::event::parse_event;
use wrenseam::discovery::event_stream::{EventStreamParser, ServerSentEvent, StreamItem};
use wrenseam::discovery::xds::parse_endpoints;
use wrenseam::http::{ChunkedDecoder, DecodedByte, Head};
use wrenseam::model::TransportProtocol;
use wrenseam_policy::json::{object, parse};
use wrenseam_policy::WorkerState;

#[test]
fn server_sent_events_are_parsed() {
    let mut events = EventStreamParser::default();
    let text =
        ": comment\nid: 7\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\n: more\n\nid:8\ndata:x\n\ndata:y\n\n";
    let found: Vec<_> = text
        .bytes()
        .map(|b| events.push(b))
        .filter(|s| *s != StreamItem::Incomplete)
        .collect();
    let event = |id: Option<&str>, data: &str| {
        StreamItem::Event(ServerSentEvent {
            id: id.map(str::to_owned),
            data: data.to_owned(),
        })
    };
    let (first, second, third) = (
        event(Some("7"), "{\"a\":\n1}"),
        event(Some("8"), "x"),
        event(None, "y"),
    );
    assert_eq!(
        found,
        [
            StreamItem::Comment,
            first,
            StreamItem::Comment,
            second,
            third
        ]
    );
}

/// A log line that others can cause at any rate is written a few times a second and counted beyond that.
#[test]
fn repeated_lines_are_counted() {
    let line = wrenseam::log::RateLimitedLine::new();
    let written = (0..1_000)
        .filter_map(|_| line.admit(7, format_args!("x")))
        .count();
    assert_eq!(written, 5);
    assert_eq!(
        line.admit(8, format_args!("x")),
        Some("x (995 more such lines were left out)".to_owned())
    );
}

#[test]
fn chunked_bodies_are_decoded() {
    let mut chunked = ChunkedDecoder::default();
    let coded: Vec<DecodedByte> = b"3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n"
        .iter()
        .map(|&b| chunked.decode_byte(b).expect("valid"))
        .collect();
    let content: Vec<u8> = coded
        .iter()
        .filter_map(|c| {
            if let DecodedByte::Content(b) = c {
                Some(*b)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(
        (content, coded.last()),
        (b"abcd".to_vec(), Some(&DecodedByte::LastChunk))
    );
    let mut broken = ChunkedDecoder::default();
    assert!(b"zz\r\n".iter().any(|&b| broken.decode_byte(b).is_err()));
}

#[rstest]
#[case::smuggled("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::negative("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n")]
#[case::garbage("\0\r\n\r\n")]
fn invalid_heads_are_rejected(#[case] head: &str) {
    assert!(Head::request(head.as_bytes()).is_err());
}

#[test]
fn a_discovery_event_gives_endpoints() {
    let text = r#"{"rev":41,"pool":{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":
        "127.0.0.1:9","zone":"east","machineType":"std","cell":2,"lifecycle":"draining","startedAtMs":5}]}}"#;
    let json = parse(text).expect("JSON");
    let event = parse_event(object(&json).expect("an object")).expect("valid");
    let endpoint = &event.endpoints[0];
    assert!(
        event.complete
            && event.faults.is_empty()
            && endpoint.state == WorkerState::Draining
            && endpoint.started_at == 5_000
            && endpoint.cell == Some(2),
        "{endpoint:?}"
    );
}

/// Envoy's rules: an endpoint of unknown health gets work, a draining one gets no new work.
#[rstest]
#[case::unstated("", WorkerState::Ready)]
#[case::healthy(r#""health_status":"HEALTHY","#, WorkerState::Ready)]
#[case::draining(r#""health_status":"DRAINING","#, WorkerState::Draining)]
#[case::unhealthy(r#""health_status":"UNHEALTHY","#, WorkerState::Gone)]
fn xds_endpoints_are_parsed(#[case] health: &str, #[case] state: WorkerState) {
    let text = format!(
        r#"{{"resources":[{{"cluster_name":"tiles","endpoints":[{{"locality":{{"zone":"east"}},"lb_endpoints":[
        {{{health}"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":9}}}}}},
        "metadata":{{"filter_metadata":{{"wrenseam":{{"id":"w1","cell":3}}}}}}}}]}}]}}]}}"#
    );
    let json = parse(&text).expect("JSON");
    let endpoints = parse_endpoints(object(&json).expect("an object")).expect("valid");
    let endpoint = &endpoints[0];
    assert_eq!(
        (
            endpoint.state,
            endpoint.protocol,
            &endpoint.id[..],
            &endpoint.zone[..],
            endpoint.cell
        ),
        (state, TransportProtocol::Kserve, "w1", "east", Some(3))
    );
}
