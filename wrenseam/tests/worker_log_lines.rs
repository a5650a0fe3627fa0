//! The text of each log line about connections to workers, which docs/oncall.md lists for operators.
use rstest::rstest;
use std::io;
use std::net::SocketAddr;
use wrenseam::http::HeadError;
use wrenseam::worker::frames::{FrameError, ReadError, WriteError};
use wrenseam::worker::kserve::ResponseError;
use wrenseam::worker::log_lines;

fn address() -> SocketAddr {
    "10.0.0.7:9000".parse().expect("an address")
}

#[test]
fn lines_name_the_worker_and_the_reason() {
    let lines = [
        log_lines::coroutine_not_started(address(), &"no memory").to_string(),
        log_lines::id_exhausted(address(), 0xbeef).to_string(),
        log_lines::connection_ended(address(), &"timeout").to_string(),
        log_lines::connection_closed(address(), &"reset").to_string(),
        log_lines::keepalive_timed_out(address()).to_string(),
        log_lines::not_connected(address(), &"timeout").to_string(),
        log_lines::response_lost(address(), &"reset").to_string(),
        log_lines::response_mismatched(address()).to_string(),
    ];
    assert_eq!(
        lines,
        [
            "worker 10.0.0.7:9000: coroutine not started: no memory",
            "worker 10.0.0.7:9000: request 000000000000beef not sent: responses to an earlier request with this id may \
             still arrive",
            "worker 10.0.0.7:9000: connection ended: timeout",
            "worker 10.0.0.7:9000: connection closed: reset",
            "worker 10.0.0.7:9000: connection closed: keepalive timed out",
            "worker 10.0.0.7:9000: not connected: timeout",
            "worker 10.0.0.7:9000: answer lost: reset",
            "worker 10.0.0.7:9000: answer lost: it belongs to another call",
        ]
    );
}

#[rstest]
#[case(WriteError::KeepaliveTimedOut, "keepalive timed out")]
#[case(WriteError::WriteZero, "write returned 0 bytes")]
#[case(WriteError::WriteDeadlinePassed, "write deadline of a retry passed")]
#[case(WriteError::WriteStalled, "write stalled")]
#[case(
    WriteError::FrameTooLarge(9),
    "frame of 9 bytes exceeds the send buffer"
)]
#[case(WriteError::Poisoned, "exchange table poisoned")]
#[case(WriteError::Io(std::io::ErrorKind::TimedOut.into()), "timed out")]
fn a_write_error_says_why_the_connection_ended(#[case] error: WriteError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

#[rstest]
#[case(ReadError::IncompleteFrame, "incomplete frame")]
#[case(ReadError::Receive(io::Error::other("reset")), "reset")]
#[case(ReadError::Socket(std::io::ErrorKind::TimedOut.into()), "timed out")]
#[case(FrameError::Magic(126).into(), "invalid frame: unexpected magic byte 126")]
#[case(FrameError::BodyLength(9).into(), "invalid frame: body length 9 exceeds the limit")]
#[case(FrameError::Checksum.into(), "invalid frame: checksum mismatch")]
#[case(FrameError::UnknownCode(9).into(), "invalid frame: unknown code 9")]
#[case(FrameError::UnexpectedBody(203).into(), "invalid frame: unexpected body with code 203")]
#[case(FrameError::IncompleteCall.into(), "invalid frame: answer to an incomplete call")]
#[case(FrameError::Poisoned.into(), "invalid frame: exchange table poisoned")]
fn a_read_error_says_why_the_connection_was_closed(#[case] error: ReadError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

#[rstest]
#[case(ResponseError::ClosedEarly, "connection closed early")]
#[case(ResponseError::NoLength, "answer without length")]
#[case(ResponseError::TooLong, "answer too long")]
#[case(ResponseError::HeadTooLong, "head too long")]
#[case(ResponseError::Incomplete, "incomplete answer")]
#[case(ResponseError::TimedOut, "timed out")]
#[case(
    ResponseError::InvalidHead(HeadError::ConflictingLengths),
    "two lengths"
)]
#[case(ResponseError::Receive(io::Error::other("reset")), "reset")]
fn a_response_error_says_why_the_response_was_lost(
    #[case] error: ResponseError,
    #[case] text: &str,
) {
    assert_eq!(error.to_string(), text);
}
