//! Memory that responses take while their clients do not read. The only test of its binary, as it measures the memory
//! of its own process.
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::memory_budget::MemoryBudget;
use wrenseam::net::{DirectCalls, Outbox, SystemCalls};
use wrenseam::process_usage::resident_kib;

const CONNECTIONS: usize = 16;
const RESPONSES_PER_CONNECTION: usize = 200_000;
/// Length of a short response: the end of a request without any output.
const RESPONSE_BYTES: usize = 16;
const MEMORY_MB: u64 = 48;
const DESCRIPTORS: u64 = 384;

/// The operating system's calls, except that no write finds room.
struct BlockedWrites;

impl SystemCalls for BlockedWrites {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<may::net::TcpStream> {
        DirectCalls.connect(address, timeout)
    }

    fn write(&self, _: &may::net::TcpStream, _: &[u8]) -> io::Result<usize> {
        Err(ErrorKind::WouldBlock.into())
    }
}

#[test]
fn short_unsent_responses_take_no_more_memory_than_the_budget() {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let settings = wrenseam_policy::Settings::default();
    let limits = Arc::new(Limits::new(MEMORY_MB, DESCRIPTORS, &settings));
    let budget = MemoryBudget::new(limits.memory_budget_bytes);
    let (sender, receiver) = channel();
    let connection_limits = limits.clone();
    wrenseam::net::spawn(64 * 1024, move || {
        let start = |_| {
            let stream = may::net::TcpStream::connect(address).expect("a connection");
            let calls = Arc::new(BlockedWrites);
            Outbox::with_calls(stream, &connection_limits, &budget, &Arc::default(), calls)
        };
        let outboxes: Vec<Outbox> = (0..CONNECTIONS).map(start).collect();
        let before = resident_kib().expect("Linux");
        for outbox in &outboxes {
            for _ in 0..RESPONSES_PER_CONNECTION {
                outbox.send(vec![0; RESPONSE_BYTES]);
            }
        }
        let after = resident_kib().expect("Linux");
        sender.send(after - before).expect("the test receives");
    })
    .expect("a coroutine");
    let taken_kib = receiver
        .recv_timeout(Duration::from_secs(60))
        .expect("all are queued or dropped") as usize;
    eprintln!("{taken_kib} KiB taken");
    assert!(
        taken_kib <= limits.memory_budget_bytes / 1024,
        "{taken_kib} KiB taken, budget {} bytes",
        limits.memory_budget_bytes
    );
}
