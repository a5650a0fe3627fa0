//! The text of each log line of discovery, and of each reason in these lines, as docs/oncall.md lists them.
use rstest::rstest;
use std::fmt::Display;
use std::net::SocketAddr;
use wrenseam::discovery::client::ConnectionError;
use wrenseam::discovery::etcd::{EtcdError, ResyncReason};
use wrenseam::discovery::event::{EventError, InstanceError};
use wrenseam::discovery::event_stream::EventStreamError;
use wrenseam::discovery::log_lines;
use wrenseam::discovery::watch::WatchError;
use wrenseam::discovery::xds::XdsError;
use wrenseam::http::{HeadError, InvalidChunkSize};

fn address() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("an address")
}

fn parse_error() -> std::net::AddrParseError {
    "nowhere".parse::<SocketAddr>().expect_err("no address")
}

#[test]
fn an_event_of_the_start_configuration_with_a_fault() {
    assert_eq!(
        log_lines::known_event_fault(7, &EventError::NoInstances),
        "start: in known event 7: no list of 'instances'"
    );
}

#[test]
fn an_event_of_the_start_configuration_that_cannot_be_read() {
    assert_eq!(
        log_lines::known_event_skipped(7, &EventError::NoPool),
        "start: known event 7 skipped: no 'pool'"
    );
}

#[test]
fn the_end_of_a_connection() {
    assert_eq!(
        log_lines::connection_ended(address(), 7, ConnectionError::Silent),
        "discovery: connection to 127.0.0.1:9000 ended after event 7: no event and no comment was received in time"
    );
}

#[test]
fn an_event_with_a_fault() {
    assert_eq!(
        log_lines::event_fault(7, &EventError::NoPool),
        "discovery: event 7: no 'pool'; its valid instances are used, the rest is requested again"
    );
}

#[test]
fn an_event_that_is_not_requested_again() {
    assert_eq!(
        log_lines::event_fault_ignored(7),
        "discovery: event 7: its invalid instances are not requested again"
    );
}

#[test]
fn event_numbers_that_restart() {
    assert_eq!(
        log_lines::numbers_restarted(2, 7),
        "discovery: event numbers restarted, 2 is the last after 7; the new list is used"
    );
}

#[rstest]
#[case::no_address(
    ConnectionError::NoAddress,
    "the configuration names no discovery service"
)]
#[case::address_changed(
    ConnectionError::AddressChanged,
    "the discovery service has another address"
)]
#[case::closed(ConnectionError::Closed, "the service closed the connection")]
#[case::silent(
    ConnectionError::Silent,
    "no event and no comment was received in time"
)]
#[case::request_expired(
    ConnectionError::RequestExpired,
    "the request is replaced by a new one"
)]
#[case::io(ConnectionError::Io(std::io::Error::other("refused")), "refused")]
#[case::stream(
    ConnectionError::Stream(EventStreamError::Ended),
    "the service ended the stream"
)]
#[case::watch(
    ConnectionError::Watch(WatchError::Gap { number: 9, last: 7 }),
    "event 9 came after 7"
)]
#[case::head(
    EventStreamError::InvalidHead(HeadError::Syntax(httparse::Error::HeaderName)),
    "invalid header name"
)]
#[case::long_head(EventStreamError::HeadTooLong, "the response head is too long")]
#[case::status(EventStreamError::Status(503), "the service responded with status 503")]
#[case::chunk(EventStreamError::InvalidChunk(InvalidChunkSize), "bad chunk size")]
#[case::long_event(EventStreamError::EventTooLong, "an event is too long")]
#[case::numbers_restarted(
    WatchError::NumbersRestarted { last: 7 },
    "events are numbered lower than 7"
)]
#[case::fault(
    WatchError::Fault { number: 7, source: EventError::NoPool },
    "event 7: no 'pool'"
)]
#[case::unnumbered(
    WatchError::Unnumbered { id: "none".to_owned() },
    "an event without a number: none"
)]
#[case::event_not_an_object(EventError::NotAnObject, "not a JSON object")]
#[case::instance(
    EventError::Instance(InstanceError::NotAnObject),
    "an instance is not an object"
)]
#[case::missing_field(
    InstanceError::MissingField { key: "hostPort" },
    "an instance without 'hostPort'"
)]
#[case::instance_address(
    InstanceError::InvalidAddress {
        id: "w1".to_owned(),
        address: "nowhere".to_owned(),
        source: parse_error(),
    },
    "instance w1: invalid address nowhere"
)]
#[case::instance_state(
    InstanceError::UnknownState { id: "w1".to_owned(), state: "asleep".to_owned() },
    "instance w1: unknown state asleep"
)]
#[case::xds_socket(
    XdsError::NoSocketAddress,
    "an endpoint without endpoint.address.socket_address"
)]
#[case::xds_host(XdsError::NoHost, "a socket_address without address")]
#[case::xds_port(XdsError::NoPort, "a socket_address without port_value")]
#[case::xds_address(
    XdsError::InvalidAddress { address: "host:9".to_owned(), source: parse_error() },
    "not an address: host:9"
)]
#[case::compacted(ResyncReason::Compacted, "the last known revision was compacted")]
#[case::cancelled(ResyncReason::Cancelled, "the watch was cancelled")]
#[case::other_cluster(ResyncReason::OtherCluster, "another cluster responds")]
#[case::went_back(
    ResyncReason::RevisionWentBack,
    "the registry's revision is lower than the last known one"
)]
#[case::etcd_not_json(EtcdError::NotJson, "not JSON")]
#[case::etcd_not_an_object(EtcdError::NotAnObject, "not a JSON object")]
fn each_reason(#[case] reason: impl Display, #[case] text: &str) {
    assert_eq!(reason.to_string(), text);
}
