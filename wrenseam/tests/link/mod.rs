//! What tests of transports share: a worker's side of the connections, written from the specification.
#![allow(dead_code)]
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::model::{AttemptKey, Payload, Request};
use wrenseam::queue::{CoreHandle, Message};
use wrenseam::worker::frames::{encode, Frames};
use wrenseam::worker::kserve::Kserve;
use wrenseam::worker::Transport;
use wrenseam_policy::{Outcome, Settings};

/// A worker whose next connection comes up only once those that fill its queue are taken.
pub fn late_worker() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("an address")
                .into(),
        )
        .expect("bound");
    socket.listen(0).expect("listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        fillers.push(stream);
    }
    (listener, address, fillers)
}

/// The protocols that workers speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Frames,
    Kserve,
}

fn limits(change: impl FnOnce(&mut Limits)) -> Arc<Limits> {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect = Duration::from_secs(20); // a busy machine fails no connect that a test waits for
    change(&mut limits);
    Arc::new(limits)
}

/// A transport of frames with changed limits, and what it reports.
pub fn transport(
    address: SocketAddr,
    change: impl FnOnce(&mut Limits),
) -> (Frames, mpsc::Receiver<Message>) {
    let (queue, reports) = mpsc::channel();
    (
        Frames::new(address, limits(change), CoreHandle::new(queue)),
        reports,
    )
}

/// A transport of either protocol with changed limits, and what it reports.
pub fn transport_of(
    protocol: Protocol,
    address: SocketAddr,
    change: impl FnOnce(&mut Limits),
) -> (Box<dyn Transport>, mpsc::Receiver<Message>) {
    let (queue, reports) = mpsc::channel();
    let (limits, reporting) = (limits(change), CoreHandle::new(queue));
    let transport: Box<dyn Transport> = match protocol {
        Protocol::Frames => Box::new(Frames::new(address, limits, reporting)),
        Protocol::Kserve => Box::new(Kserve::new(address, limits, reporting)),
    };
    (transport, reports)
}

/// A call with a short body, whose client waits for 20 s.
pub fn request(wire_id: u64) -> Arc<Request> {
    Arc::new(Request {
        wire_id,
        class: "c".to_owned(),
        tenant: "t".to_owned(),
        function: 7,
        timeout: 20_000_000,
        received_at: Instant::now(),
        idempotency_key: None,
        is_retry: false,
        memory_mb: 0.0,
        concurrency: 0,
        load_time: 0,
        payload: Payload::Bytes(b"body".to_vec()),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}

/// The next frame, its id and code.
pub fn frame(stream: &mut TcpStream) -> (u64, u8) {
    let mut head = [0; 16];
    stream.read_exact(&mut head).expect("a frame");
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes(head[4..8].try_into().expect("four")) as usize;
    stream
        .read_exact(&mut vec![0; fields + body + 4])
        .expect("the rest of it");
    (
        u64::from_be_bytes(head[8..].try_into().expect("eight")),
        head[1],
    )
}

/// Answers an exchange.
pub fn say(stream: &mut TcpStream, code: u8, id: u64, fields: &str, body: &[u8]) {
    let mut answer = encode(code, id, fields, body);
    answer[0] = 127;
    stream.write_all(&answer).expect("answered");
}

/// The next end that is reported: the attempt's number, `usize::MAX` for an order.
pub fn outcome(reports: &mpsc::Receiver<Message>) -> (usize, Outcome) {
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::AttemptEnded { key, report }) => (key.attempt, report.outcome),
        Ok(Message::LoadOrderEnded {
            order: _,
            outcome,
            replicas: _,
        }) => (usize::MAX, outcome),
        _ => panic!("nothing ended"),
    }
}

/// The first attempt of the first request.
pub const FIRST: AttemptKey = AttemptKey {
    request: 1,
    attempt: 0,
};
