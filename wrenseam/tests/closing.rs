//! Listeners and connections that close while connections or input are still arriving.
mod common;

use common::{
    connect, fastcgi_record, fastcgi_request, read_fastcgi_answer, request_bytes, Harness,
    InProcessFront, Protocol, FUNCTION,
};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use wrenseam::front::{close, Listener, ListenerContext};
use wrenseam::limits::Limits;
use wrenseam::net::SlotGuard;
use wrenseam::queue::{CoreHandle, Message};

/// FastCGI record type of a question for variables.
const GET_VALUES: u8 = 9;

fn echo(mut stream: may::net::TcpStream, _: &ListenerContext, _: SlotGuard) {
    let mut received = [0; 4];
    let _ = stream.read_exact(&mut received);
    let _ = stream.write_all(&received);
}

/// Connections that the system has queued, and the program has not accepted, when the listener closes are still served.
#[test]
fn connections_queued_when_the_listener_closes_are_served() {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let limits = Arc::new(Limits::new(
        192,
        1024,
        &wrenseam_policy::Settings::default(),
    ));
    let (core, _inbox) = mpsc::channel();
    let context = ListenerContext::new(CoreHandle::new(core), limits, Arc::default());
    context.listeners_closing.store(true, Ordering::Release);
    let socket = Arc::new(may::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = socket.local_addr().expect("bound");
    // Nothing accepts these connections before the listener closes.
    let mut clients: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
    clients
        .iter_mut()
        .for_each(|c| c.write_all(b"here").expect("written"));
    close(
        &Listener {
            socket,
            front: "test",
            serve: echo,
        },
        &context,
    );
    for client in &mut clients {
        let mut received = [0; 4];
        client.read_exact(&mut received).expect("an answer");
        assert_eq!(&received, b"here");
    }
    assert!(TcpStream::connect(address).is_err(), "closed");
}

/// Input that comes after our half-close is read for a while: closing the socket at once would send a reset, which
/// destroys responses in flight.
#[test]
fn input_after_the_close_causes_no_reset() {
    let harness = Harness::new(Protocol::Platform);
    let mut stream = connect(harness.fastcgi_front);
    let mut bytes = fastcgi_request(
        1,
        &[("SCRIPT_NAME", "/healthz"), ("HTTP_REQ_KEY", FUNCTION)],
        b"",
    );
    bytes[10] = 0; // flags of BEGIN_REQUEST: the connection is not kept
    stream.write_all(&bytes).expect("written");
    let head = read_fastcgi_answer(&mut stream).expect("an answer").head;
    assert!(head.starts_with("Status: 200"), "{head}");
    assert_eq!(stream.read(&mut [0; 8]).expect("closed without a reset"), 0);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("no reset");
    }
    assert_eq!(stream.read(&mut [0; 8]).expect("still no reset"), 0);
    assert!(stream.take_error().expect("read").is_none(), "no reset");
}

/// A client that keeps its connection open does not delay a process that shuts down, and loses no response.
#[test]
fn a_planned_shutdown_closes_kept_connections_in_order() {
    let mut harness = Harness::new(Protocol::Platform);
    let mut kept = connect(harness.fastcgi_front);
    kept.write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    read_fastcgi_answer(&mut kept).expect("an answer");
    let mut open = connect(harness.fastcgi_front);
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "2500"),
        ("HTTP_REQ_KEY", FUNCTION),
    ];
    open.write_all(&fastcgi_request(1, &params, b"x"))
        .expect("written");
    assert!(harness.terminate());
    assert_eq!(kept.read(&mut [0; 8]).expect("closed without a reset"), 0);
    let head = read_fastcgi_answer(&mut open)
        .expect("an answer before the end")
        .head;
    assert!(head.starts_with("Status: 5"), "{head}");
    assert_eq!(open.read(&mut [0; 8]).expect("closed without a reset"), 0);
}

/// A connection's writer goes on for a while when its client does not read. Until it has ended its descriptor is open,
/// so the slot, which stands for the connection's descriptors, is in use.
#[test]
fn a_connection_keeps_its_slot_until_its_writer_has_ended() {
    let InProcessFront {
        mut client,
        context,
        inbox: _inbox,
    } = InProcessFront::start(Protocol::Platform, |_| {});
    let (unsent, slots) = (
        context.unsent_bytes.clone(),
        context.process_state.client_connections.clone(),
    );
    SockRef::from(&client)
        .set_recv_buffer_size(4_096)
        .expect("set");
    client
        .set_write_timeout(Some(Duration::from_secs(1)))
        .expect("set");
    // Each question is answered with some 57 KB, until the front end gives up the connection.
    let question = fastcgi_record(GET_VALUES, 0, &b"\x0e\0FCGI_MAX_CONNS".repeat(3_000));
    while client.write_all(&question).is_ok() {}
    let is_writer_stalled = || unsent.load(Ordering::Acquire) > 0;
    assert!(is_writer_stalled());
    let since = Instant::now();
    while is_writer_stalled() {
        assert!(since.elapsed() < Duration::from_secs(20), "it never ends");
        let slots_in_use = slots.load(Ordering::Acquire);
        assert!(slots_in_use == 1 || !is_writer_stalled(), "{slots_in_use}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// While other coroutines keep the scheduler's thread busy, a read may time out although a request has arrived meanwhile.
/// A connection that drains must not take that for silence and close: the request would be lost.
#[test]
fn a_request_that_arrived_while_the_scheduler_was_busy_is_not_closed_on() {
    let mut front = InProcessFront::start(Protocol::Platform, |limits| {
        limits.client_check_interval = Duration::from_millis(50);
    });
    let (busy, is_busy) = mpsc::channel();
    wrenseam::net::spawn(front.context.limits.coroutine_stack_bytes, move || {
        wrenseam::net::sleep(Duration::from_millis(20)); // the connection's reader waits for input by then
        busy.send(()).expect("the test receives");
        std::thread::sleep(Duration::from_millis(500)); // keeps the scheduler's only thread
    })
    .expect("a coroutine");
    is_busy.recv().expect("sent");
    let draining = &front.context.process_state.draining;
    draining.store(true, Ordering::Release);
    std::thread::sleep(Duration::from_millis(200)); // the read times out
    front
        .client
        .write_all(&request_bytes(Protocol::Platform, 1, 1_000))
        .expect("written");
    assert!(
        matches!(
            front.inbox.recv_timeout(Duration::from_secs(5)),
            Ok(Message::Request { .. })
        ),
        "the request did not reach the core"
    );
}
