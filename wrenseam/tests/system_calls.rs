//! System calls on connections that fail or write only a part: the connection ends only if the error means that it is
//! broken.
use rstest::rstest;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::memory_budget::MemoryBudget;
use wrenseam::net::{receive, DirectCalls, ErrorAction, Outbox, ReadOutcome, SystemCalls};
use wrenseam::ring::Ring;

/// Error numbers of Linux.
const EINTR: i32 = 4;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const EPIPE: i32 = 32;
const ENETUNREACH: i32 = 101;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;

#[rstest]
#[case::eintr(EINTR, ErrorAction::Retry)]
#[case::eagain(EAGAIN, ErrorAction::Retry)]
#[case::enomem(ENOMEM, ErrorAction::RetryLater)]
#[case::enobufs(ENOBUFS, ErrorAction::RetryLater)]
#[case::epipe(EPIPE, ErrorAction::Close)]
#[case::enetunreach(ENETUNREACH, ErrorAction::Close)]
#[case::econnreset(ECONNRESET, ErrorAction::Close)]
#[case::etimedout(ETIMEDOUT, ErrorAction::Close)]
#[case::ehostunreach(EHOSTUNREACH, ErrorAction::Close)]
fn an_error_determines_the_action(#[case] number: i32, #[case] action: ErrorAction) {
    let error = || io::Error::from_raw_os_error(number);
    assert_eq!(ErrorAction::for_error(&error()), action);
    // A read that fails ends the connection only if the error means that it is broken.
    struct FailingRead(i32);
    impl Read for FailingRead {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Err(io::Error::from_raw_os_error(self.0))
        }
    }
    let received = receive(&mut Ring::new(64), &mut FailingRead(number));
    match action {
        ErrorAction::Close => assert!(received.is_err()),
        _ => assert!(
            matches!(received, Ok(ReadOutcome::NotReady)),
            "{received:?}"
        ),
    }
}

/// A timeout of the coroutine scheduler does not mean that the connection is broken.
#[test]
fn a_scheduler_timeout_does_not_close_the_connection() {
    assert_eq!(
        ErrorAction::for_error(&io::Error::new(io::ErrorKind::TimedOut, "timeout")),
        ErrorAction::Retry
    );
}

/// The operating system's calls, except that every other write fails with this error and the rest write one byte.
struct FailingWrites {
    number: i32,
    calls: AtomicUsize,
}

impl SystemCalls for FailingWrites {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<may::net::TcpStream> {
        DirectCalls.connect(address, timeout)
    }

    fn write(&self, stream: &may::net::TcpStream, bytes: &[u8]) -> io::Result<usize> {
        if self.calls.fetch_add(1, Ordering::AcqRel).is_multiple_of(2) {
            return Err(io::Error::from_raw_os_error(self.number));
        }
        DirectCalls.write(stream, &bytes[..1])
    }
}

/// A response is completely written although some writes fail. A shortage of buffers used to end the connection
/// instead, after which the client repeated a request that had run.
#[rstest]
#[case::interrupted(EINTR, true)]
#[case::no_room(EAGAIN, true)]
#[case::no_memory(ENOMEM, true)]
#[case::no_buffers(ENOBUFS, true)]
#[case::reset(ECONNRESET, false)]
fn a_response_is_completely_written_although_writes_fail(
    #[case] number: i32,
    #[case] is_complete: bool,
) {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let limits = Arc::new(Limits::new(
        192,
        1024,
        &wrenseam_policy::Settings::default(),
    ));
    let calls = Arc::new(FailingWrites {
        number,
        calls: AtomicUsize::new(0),
    });
    let outbox_limits = limits;
    wrenseam::net::spawn(64 * 1024, move || {
        let stream = may::net::TcpStream::connect(address).expect("a connection");
        let budget = MemoryBudget::new(outbox_limits.memory_budget_bytes);
        let outbox = Outbox::with_calls(stream, &outbox_limits, &budget, &Arc::default(), calls);
        outbox.send(b"the whole answer".to_vec());
        outbox.close();
    })
    .expect("a coroutine");
    let mut stream: TcpStream = listener.accept().expect("a connection").0;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received); // it may end with a reset
    assert_eq!(
        received == b"the whole answer",
        is_complete,
        "{:?}",
        String::from_utf8_lossy(&received)
    );
}
