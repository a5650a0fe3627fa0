//! Clients that use up the file descriptors while the discovery service is down. They must not keep the program from
//! reconnecting to the service soon after it is back, or from connecting to a worker. The program takes its descriptor
//! limit from its configuration.
mod common;

use common::{connect, fastcgi_request, read_fastcgi_answer, Harness, Protocol, FUNCTION};
use rstest::rstest;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a thread that opens connections and sends nothing on them, until `stop` is set or 30 s have passed. It closes
/// the oldest connection when more than `max_open` are open. `opened` counts the connections.
fn open_connections(
    front: SocketAddr,
    max_open: usize,
    stop: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
) {
    std::thread::spawn(move || {
        let (mut open, since) = (VecDeque::new(), Instant::now());
        while !stop.load(Ordering::Acquire) && since.elapsed() < Duration::from_secs(30) {
            let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                continue;
            };
            opened.fetch_add(1, Ordering::AcqRel);
            open.push_back(stream);
            if open.len() > max_open {
                open.pop_front();
            }
        }
    });
}

/// The number of file descriptors that a process has open.
fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Sends a request on a new connection and answers it at a worker. Returns whether it was served: the program may close
/// the connection without an answer, as the specification allows, and the caller then tries again.
fn is_request_served(harness: &Harness, id: u64) -> bool {
    let id = format!("{id:016x}");
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", &id[..]),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "2000"),
        ("HTTP_REQ_KEY", FUNCTION),
    ];
    let mut stream = connect(harness.fastcgi_front);
    let sent = stream.write_all(&fastcgi_request(1, &params, b"x")).is_ok();
    sent && harness.answer_next_call("tile-render")
        && read_fastcgi_answer(&mut stream).is_ok_and(|a| a.head.contains(" 200 "))
}

#[rstest]
#[case::at_128(128)]
#[case::at_256(256)]
#[case::at_1024(1024)]
fn descriptors_are_left_for_discovery_and_workers(#[case] sockets: usize) {
    // The discovery service is down: its address is bound, so that no other process can take the port, but nothing
    // listens there.
    let discovery =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    discovery
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("an address")
                .into(),
        )
        .expect("bound");
    let address = discovery
        .local_addr()
        .expect("bound")
        .as_socket()
        .expect("an address");
    let limit = format!(r#""sockets":{sockets}"#);
    let harness = Harness::with_config_changes(
        Protocol::Platform,
        &[
            (r#""sockets":256"#, &limit),
            ("BOARD", &address.to_string()),
        ],
    );
    let (stop, opened): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
    for _ in 0..2 {
        open_connections(harness.fastcgi_front, sockets, stop.clone(), opened.clone());
    }
    let mut peak = 0;
    while opened.load(Ordering::Acquire) < 6 * sockets || peak < sockets * 6 / 10 {
        peak = peak.max(open_descriptors(harness.pid()));
        assert!(peak <= sockets, "{peak} descriptors open, limit {sockets}");
    }
    // Clients hold all descriptors that they can get. Now the discovery service is back.
    discovery.listen(8).expect("listens");
    let (discovery, up_at) = (TcpListener::from(discovery), Instant::now());
    // A connection that the program gave up while it was in the accept queue has no request; the next one is tried.
    let with_request = |mut call: TcpStream| {
        let mut head = [0; 64];
        call.read(&mut head)
            .is_ok_and(|n| head[..n].starts_with(b"GET /board/poll"))
            .then_some(call)
    };
    let _call = discovery
        .incoming()
        .map_while(Result::ok)
        .find_map(with_request)
        .expect("a request to the discovery service");
    let reconnect_time = up_at.elapsed();
    assert!(
        reconnect_time < Duration::from_secs(2),
        "discovery service called only {reconnect_time:?} after it was back"
    );
    // No request was sent to any worker yet, so the program has to connect to one.
    let since = Instant::now();
    let mut attempts = 1;
    while !is_request_served(&harness, attempts) {
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "no request was served within 10 s"
        );
        peak = peak.max(open_descriptors(harness.pid()));
        attempts += 1;
    }
    peak = peak.max(open_descriptors(harness.pid()));
    assert!(peak <= sockets, "{peak} descriptors open, limit {sockets}");
    eprintln!("limit {sockets}: discovery service called after {reconnect_time:?}, request {attempts} served, at most {peak} descriptors open");
    stop.store(true, Ordering::Release);
}
