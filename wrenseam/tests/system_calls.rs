//! System calls on connections that fail or come short: a connection with pending requests ends only if it is over.
use rstest::rstest;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::memory_budget::MemoryBudget;
use wrenseam::net::{receive, DirectCalls, Failure, Outbox, ReadOutcome, SystemCalls};
use wrenseam::ring::Ring;

/// The numbers of Linux's errors.
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
#[case::eintr(EINTR, Failure::Again)]
#[case::eagain(EAGAIN, Failure::Again)]
#[case::enomem(ENOMEM, Failure::Later)]
#[case::enobufs(ENOBUFS, Failure::Later)]
#[case::epipe(EPIPE, Failure::Over)]
#[case::enetunreach(ENETUNREACH, Failure::Over)]
#[case::econnreset(ECONNRESET, Failure::Over)]
#[case::etimedout(ETIMEDOUT, Failure::Over)]
#[case::ehostunreach(EHOSTUNREACH, Failure::Over)]
fn an_error_asks_for(#[case] number: i32, #[case] failure: Failure) {
    let error = || io::Error::from_raw_os_error(number);
    assert_eq!(Failure::of(&error()), failure);
    // What a read brings: the connection stands unless it is over.
    struct Fails(i32);
    impl Read for Fails {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Err(io::Error::from_raw_os_error(self.0))
        }
    }
    let received = receive(&mut Ring::new(64), &mut Fails(number));
    match failure {
        Failure::Over => assert!(received.is_err()),
        _ => assert!(
            matches!(received, Ok(ReadOutcome::NotReady)),
            "{received:?}"
        ),
    }
}

/// The scheduler's own time-out is no error of the connection.
#[test]
fn a_time_out_of_the_scheduler_ends_nothing() {
    assert_eq!(
        Failure::of(&io::Error::new(io::ErrorKind::TimedOut, "timeout")),
        Failure::Again
    );
}

/// The machine's calls, but every other write fails so, and the rest write a byte at a time.
struct Troubled {
    number: i32,
    calls: AtomicUsize,
}

impl SystemCalls for Troubled {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<may::net::TcpStream> {
        DirectCalls.connect(address, within)
    }

    fn write(&self, stream: &may::net::TcpStream, bytes: &[u8]) -> io::Result<usize> {
        if self.calls.fetch_add(1, Ordering::AcqRel).is_multiple_of(2) {
            return Err(io::Error::from_raw_os_error(self.number));
        }
        DirectCalls.write(stream, &bytes[..1])
    }
}

/// An answer is written through whatever may pass. Before, a shortage of buffers ended the connection under it: its
/// client sends a request again that has run.
#[rstest]
#[case::interrupted(EINTR, true)]
#[case::no_room(EAGAIN, true)]
#[case::no_memory(ENOMEM, true)]
#[case::no_buffers(ENOBUFS, true)]
#[case::reset(ECONNRESET, false)]
fn an_answer_comes_whole_though_writes_fail(#[case] number: i32, #[case] whole: bool) {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let limits = Arc::new(Limits::new(
        192,
        1024,
        &wrenseam_policy::Settings::default(),
    ));
    let calls = Arc::new(Troubled {
        number,
        calls: AtomicUsize::new(0),
    });
    let inside = limits;
    wrenseam::net::spawn(64 * 1024, move || {
        let stream = may::net::TcpStream::connect(address).expect("a connection");
        let budget = MemoryBudget::new(inside.memory_budget_bytes);
        let out =
            Outbox::start_with(stream, &inside, &budget, &Arc::default(), calls).expect("started");
        out.send(b"the whole answer".to_vec());
        out.close();
    })
    .expect("a coroutine");
    let mut stream: TcpStream = listener.accept().expect("a connection").0;
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got); // it may end with a reset
    assert_eq!(
        got == b"the whole answer",
        whole,
        "{:?}",
        String::from_utf8_lossy(&got)
    );
}
