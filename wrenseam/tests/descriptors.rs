//! Clients that fill the descriptors while discovery is down: the board is called again soon after it is back, and a
//! connection to a worker can still be made. The program knows its limit from its configuration.
mod common;

use common::{connect, fastcgi, fastcgi_answer, Harness, Protocol, FUNCTION};
use rstest::rstest;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Dials without end and says nothing, with at most so many connections that it has not closed itself; at most 30 s.
fn dial(front: SocketAddr, most: usize, stop: Arc<AtomicBool>, dialled: Arc<AtomicUsize>) {
    std::thread::spawn(move || {
        let (mut open, since) = (VecDeque::new(), Instant::now());
        while !stop.load(Ordering::Acquire) && since.elapsed() < Duration::from_secs(30) {
            let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                continue;
            };
            dialled.fetch_add(1, Ordering::AcqRel);
            open.push_back(stream);
            if open.len() > most {
                open.pop_front();
            }
        }
    });
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// One call, again if the connection was closed with no answer (the page allows that): whether it was served.
fn served(stage: &Harness, id: u64) -> bool {
    let id = format!("{id:016x}");
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", &id[..]),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "2000"),
        ("HTTP_REQ_KEY", FUNCTION),
    ];
    let mut stream = connect(stage.front);
    let sent = stream.write_all(&fastcgi(1, &params, b"x")).is_ok();
    sent && stage.answer_next_call("tile-render")
        && fastcgi_answer(&mut stream).is_ok_and(|a| a.head.contains(" 200 "))
}

#[rstest]
#[case::at_128(128)]
#[case::at_256(256)]
#[case::at_1024(1024)]
fn clients_that_fill_the_descriptors_leave_some_for_board_and_workers(#[case] sockets: usize) {
    // The board's address is bound and nobody listens there: it is down, and nobody else can take its port.
    let board =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    board
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("an address")
                .into(),
        )
        .expect("bound");
    let address = board
        .local_addr()
        .expect("bound")
        .as_socket()
        .expect("an address");
    let limit = format!(r#""sockets":{sockets}"#);
    let stage = Harness::with(
        Protocol::Platform,
        &[
            (r#""sockets":256"#, &limit),
            ("BOARD", &address.to_string()),
        ],
    );
    let (stop, dialled): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
    for _ in 0..2 {
        dial(stage.front, sockets, stop.clone(), dialled.clone());
    }
    let mut most = 0;
    while dialled.load(Ordering::Acquire) < 6 * sockets || most < sockets * 6 / 10 {
        most = most.max(descriptors(stage.pid()));
        assert!(most <= sockets, "{most} descriptors of {sockets}");
    }
    // All that can be taken is taken; now the board is back.
    board.listen(8).expect("listens");
    let (board, back) = (TcpListener::from(board), Instant::now());
    // One that the program gave up while it stood in the queue says nothing: the next is taken.
    let asks = |mut call: TcpStream| {
        let mut head = [0; 64];
        call.read(&mut head)
            .is_ok_and(|n| head[..n].starts_with(b"GET /board/poll"))
            .then_some(call)
    };
    let _call = board
        .incoming()
        .map_while(Result::ok)
        .find_map(asks)
        .expect("called");
    let called = back.elapsed();
    assert!(
        called < Duration::from_secs(2),
        "called {called:?} after it was back"
    );
    // Nothing was sent to any worker yet: the connection is new.
    let since = Instant::now();
    let mut tries = 1;
    while !served(&stage, tries) {
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "no call came to a worker"
        );
        most = most.max(descriptors(stage.pid()));
        tries += 1;
    }
    most = most.max(descriptors(stage.pid()));
    assert!(most <= sockets, "{most} descriptors of {sockets}");
    eprintln!("{sockets}: board called after {called:?}, served at try {tries}, at most {most} descriptors");
    stop.store(true, Ordering::Release);
}
