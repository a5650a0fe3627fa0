//! Listeners and connections as they close, with what crosses the close.
mod common;

use common::{connect, fastcgi, fastcgi_answer, Harness, Protocol, FUNCTION};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::{mpsc, Arc};
use wrenseam::front::{close, Doors, Listener};
use wrenseam::limits::Limits;
use wrenseam::memory_budget::MemoryBudget;
use wrenseam::net::{Seat, Seats};
use wrenseam::queue::CoreHandle;

fn greet(mut stream: may::net::TcpStream, _: &Doors, _: Seat) {
    let mut got = [0; 4];
    let _ = stream.read_exact(&mut got);
    let _ = stream.write_all(&got);
}

/// Connections that the machine has accepted and nobody has taken yet when the listener closes are owed an answer.
#[test]
fn what_stands_in_the_listeners_queue_at_its_close_is_served() {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let limits = Arc::new(Limits::new(
        192,
        1024,
        &wrenseam_policy::Settings::default(),
    ));
    let (core, _inbox) = mpsc::channel();
    let shared: Arc<wrenseam::process_state::ProcessState> = Arc::default();
    let doors = Doors {
        core: CoreHandle::new(core),
        limits: limits.clone(),
        budget: MemoryBudget::new(limits.held_bytes),
        seats: Seats::new(
            limits.client_connections,
            shared.draining.clone(),
            shared.clients.clone(),
        ),
        unsent: Arc::default(),
        shared,
        closing: Arc::new(AtomicBool::new(true)),
        ending: Arc::default(),
        accepting: Arc::default(),
    };
    let socket = Arc::new(may::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = socket.local_addr().expect("bound");
    // Nobody accepts here: the close comes first, every time.
    let mut clients: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
    clients
        .iter_mut()
        .for_each(|c| c.write_all(b"here").expect("written"));
    close(
        &Listener {
            socket,
            front: "test",
            serve: greet,
        },
        &doors,
    );
    for client in &mut clients {
        let mut got = [0; 4];
        client.read_exact(&mut got).expect("an answer");
        assert_eq!(&got, b"here");
    }
    assert!(TcpStream::connect(address).is_err(), "closed");
}

/// What a client still sends behind a close from this side is read for a while: a reset would destroy answers on their
/// way.
#[test]
fn input_behind_the_close_brings_no_reset() {
    let stage = Harness::new(Protocol::Platform);
    let mut stream = connect(stage.front);
    let mut bytes = fastcgi(
        1,
        &[("SCRIPT_NAME", "/healthz"), ("HTTP_REQ_KEY", FUNCTION)],
        b"",
    );
    bytes[10] = 0; // flags of BEGIN_REQUEST: the connection is not kept
    stream.write_all(&bytes).expect("written");
    let head = fastcgi_answer(&mut stream).expect("an answer").head;
    assert!(head.starts_with("Status: 200"), "{head}");
    assert_eq!(stream.read(&mut [0; 8]).expect("closed in order"), 0);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("no reset");
    }
    assert_eq!(stream.read(&mut [0; 8]).expect("still in order"), 0);
    assert!(stream.take_error().expect("asked").is_none(), "no reset");
}

/// A client that keeps its connection does not keep a process that ends, and loses nothing on it.
#[test]
fn a_planned_end_closes_kept_connections_in_order() {
    let mut stage = Harness::new(Protocol::Platform);
    let mut kept = connect(stage.front);
    kept.write_all(&fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    fastcgi_answer(&mut kept).expect("an answer");
    let mut open = connect(stage.front);
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "2500"),
        ("HTTP_REQ_KEY", FUNCTION),
    ];
    open.write_all(&fastcgi(1, &params, b"x")).expect("written");
    assert!(stage.terminate());
    assert_eq!(kept.read(&mut [0; 8]).expect("closed in order"), 0);
    let head = fastcgi_answer(&mut open)
        .expect("an answer before the end")
        .head;
    assert!(head.starts_with("Status: 5"), "{head}");
    assert_eq!(open.read(&mut [0; 8]).expect("closed in order"), 0);
}
