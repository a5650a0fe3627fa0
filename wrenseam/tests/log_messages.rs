//! The exact texts of the log lines of the fronts, client connections, the admin endpoint and the shutdown, and that
//! docs/oncall.md lists each of them.
use rstest::rstest;
use std::io::Error;
use std::net::SocketAddr;
use std::time::Duration;
use wrenseam::front::admin::ReadLineError;
use wrenseam::front::fastcgi::{EarlyRejection, FastCgiError};
use wrenseam::front::kserve::HttpError;
use wrenseam::front::messages::{self, HandoverContent};
use wrenseam::front::{ConnectionError, ParameterError};
use wrenseam::net::messages as connection_messages;
use wrenseam::shutdown::messages as shutdown_messages;

/// The operators' page on log lines.
const ONCALL: &str = include_str!("../../docs/oncall.md");

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 4000))
}

fn error() -> Error {
    Error::other("out of memory")
}

#[rstest]
#[case(
    messages::slots_exhausted("fastcgi", peer()).to_string(),
    "fastcgi: connection from 10.0.0.1:4000 rejected: all client connection slots are in use"
)]
#[case(
    messages::connection_not_served("kserve", peer(), &error()).to_string(),
    "kserve: connection from 10.0.0.1:4000 closed: out of memory"
)]
#[case(
    messages::accept_failed("admin", &error()).to_string(),
    "admin: accept failed: out of memory"
)]
#[case(
    messages::writer_not_started("kserve", "10.0.0.1:4000", &error()).to_string(),
    "kserve 10.0.0.1:4000: connection closed: writer not started: out of memory"
)]
#[case(
    messages::connection_closed("fastcgi", "?", &ConnectionError::RequestTimeout).to_string(),
    "fastcgi ?: connection closed: request timed out before it was complete"
)]
#[case(
    messages::fastcgi_request_invalid(7, &ParameterError::ReadTimeout).to_string(),
    "fastcgi: request 7 rejected as invalid: request timed out before it was complete"
)]
#[case(
    messages::fastcgi_request_invalid(7, &ParameterError::ParametersTooLong(16_384)).to_string(),
    "fastcgi: request 7 rejected as invalid: parameters longer than 16384 bytes"
)]
#[case(
    messages::fastcgi_request_invalid(7, &ParameterError::BodyTooLong(16_384)).to_string(),
    "fastcgi: request 7 rejected as invalid: body longer than 16384 bytes"
)]
#[case(
    messages::fastcgi_request_rejected(7, &EarlyRejection::MemoryLimit).to_string(),
    "fastcgi: request 7 rejected: memory limit of requests reached"
)]
#[case(
    messages::v2_request_invalid(&ParameterError::MissingClass).to_string(),
    "kserve: request rejected as invalid: no 'class' among the parameters"
)]
#[case(
    messages::v2_memory_limit().to_string(),
    "kserve: request rejected: memory limit of requests reached"
)]
#[case(
    messages::admin_connection_rejected(peer()).to_string(),
    "admin: connection from 10.0.0.1:4000 rejected: 8 are open"
)]
#[case(
    messages::admin_connection_closed(&ReadLineError::Timeout).to_string(),
    "admin: connection closed: line not complete within 900 ms"
)]
#[case(
    messages::admin_reply_not_written(&error()).to_string(),
    "admin: reply not written: out of memory"
)]
#[case(
    messages::handover_not_written(HandoverContent::Exclusions, &error()).to_string(),
    "admin: exclusions not written for a successor process: out of memory"
)]
#[case(
    messages::handover_not_written(HandoverContent::ActiveProcess, &error()).to_string(),
    "admin: active process not written for a successor process: out of memory"
)]
#[case(
    messages::handover_not_read(HandoverContent::Exclusions, &error()).to_string(),
    "admin: exclusions not read, previous state kept: out of memory"
)]
#[case(
    messages::handover_not_read(HandoverContent::ActiveProcess, &error()).to_string(),
    "admin: active process not read, previous state kept: out of memory"
)]
#[case(
    messages::standby_changed(true).to_string(),
    "admin: standby, a new process sends to workers in slow start"
)]
#[case(
    messages::standby_changed(false).to_string(),
    "admin: active, this process sends to workers in slow start"
)]
#[case(
    connection_messages::responses_unread(262_144).to_string(),
    "client: connection closed: 262144 bytes of responses unread"
)]
#[case(
    connection_messages::answer_without_memory(230_000, 5_000_000).to_string(),
    "client: request failed: no memory for a response of 230000 bytes behind 5000000 unsent"
)]
#[case(
    connection_messages::response_write_failed(&error()).to_string(),
    "client: connection closed: writing a response failed: out of memory"
)]
#[case(
    connection_messages::writer_not_started(&error()).to_string(),
    "client: connection closed: writer not started: out of memory"
)]
#[case(
    shutdown_messages::discovery_moved(peer()).to_string(),
    "reload: the discovery service is at 10.0.0.1:4000"
)]
#[case(
    shutdown_messages::configuration_unchanged(&error()).to_string(),
    "reload: configuration unchanged: out of memory"
)]
#[case(
    shutdown_messages::shutdown_started(Duration::from_millis(700)).to_string(),
    "shutdown: signal received, listeners close in 700 ms"
)]
#[case(
    shutdown_messages::shutdown_complete(3).to_string(),
    "shutdown: complete, 3 requests open"
)]
fn log_lines_have_their_exact_text(#[case] message: String, #[case] text: &str) {
    assert_eq!(message, text);
}

/// The reasons in log lines about client connections that the front end closes.
#[rstest]
#[case(ConnectionError::Io(error()), "out of memory")]
#[case(
    ConnectionError::Evicted,
    "evicted to make room for another connection before its request was accepted"
)]
#[case(
    ConnectionError::RequestTimeout,
    "request timed out before it was complete"
)]
#[case(
    ConnectionError::TooManyRequests(32),
    "more than 32 open requests on one connection"
)]
#[case(ConnectionError::Poisoned, "connection state poisoned by a panic")]
#[case(
    FastCgiError::UnsupportedVersion(3).into(),
    "unsupported FastCGI version 3"
)]
#[case(FastCgiError::TruncatedBeginRequest.into(), "truncated BEGIN_REQUEST record")]
#[case(FastCgiError::DuplicateRequestId(5).into(), "request id 5 is already open")]
#[case(
    FastCgiError::RecordTimeout.into(),
    "record timed out before it was complete"
)]
#[case(
    FastCgiError::DiscardLimit.into(),
    "too many bytes after a rejected request"
)]
#[case(HttpError::HeadTooLong.into(), "the head is too long")]
#[case(HttpError::ChunkedBody.into(), "chunked requests are not read")]
#[case(HttpError::BodyTooLong.into(), "the body is too long")]
fn client_connection_close_reasons_have_their_exact_text(
    #[case] error: ConnectionError,
    #[case] reason: &str,
) {
    assert_eq!(error.to_string(), reason);
}

/// The reasons in log lines about FastCGI requests that are ended without their parameters being parsed.
#[rstest]
#[case(EarlyRejection::UnknownRole, "unsupported role")]
#[case(
    EarlyRejection::TooManyRequests(32),
    "more than 32 open requests on one connection"
)]
#[case(EarlyRejection::MemoryLimit, "memory limit of requests reached")]
fn early_rejection_reasons_have_their_exact_text(
    #[case] reason: EarlyRejection,
    #[case] text: &str,
) {
    assert_eq!(reason.to_string(), text);
}

/// The reasons in log lines about connections that the admin endpoint closes without a reply.
#[rstest]
#[case(ReadLineError::TooLong, "line longer than 256 bytes")]
#[case(ReadLineError::Timeout, "line not complete within 900 ms")]
#[case(ReadLineError::Closed, "client disconnected before it sent a line")]
fn admin_connection_close_reasons_have_their_exact_text(
    #[case] error: ReadLineError,
    #[case] text: &str,
) {
    assert_eq!(error.to_string(), text);
}

/// Operators look up log lines on the page, so each must be there.
#[rstest]
#[case("`FRONT: connection from PEER rejected: all client connection slots are in use`")]
#[case("`FRONT: connection from PEER closed: …`")]
#[case("`FRONT: accept failed: …`")]
#[case("`FRONT PEER: connection closed: writer not started: …`")]
#[case("`fastcgi PEER: connection closed: …`")]
#[case("`fastcgi: request N rejected as invalid: …`")]
#[case("`kserve: request rejected as invalid: …`")]
#[case("`fastcgi: request N rejected: …`")]
#[case("`kserve: request rejected: …`")]
#[case("`admin: connection from PEER rejected: 8 are open`")]
#[case("`admin: connection closed: …`")]
#[case("`admin: reply not written: …`")]
#[case("`admin: exclusions not written for a successor process: …`")]
#[case("`admin: standby, a new process sends to workers in slow start`")]
#[case("`admin: active, this process sends to workers in slow start`")]
#[case("`client: connection closed: N bytes of responses unread`")]
#[case("`client: request failed: no memory for a response of N bytes behind M unsent`")]
#[case("`client: connection closed: writing a response failed: …`")]
#[case("`client: connection closed: writer not started: …`")]
#[case("`reload: the discovery service is at ADDRESS`")]
#[case("`reload: configuration unchanged: …`")]
#[case("`shutdown: signal received, listeners close in N ms`")]
#[case("`shutdown: complete, N requests open`")]
fn the_oncall_page_lists_each_log_line(#[case] line: &str) {
    assert!(ONCALL.contains(line), "{line}");
}
