//! A client that cancels or closes its connection has gone: nothing is begun for it any more. The reader of its connection
//! is held back here, as on a starved core, so that only a look at the connection itself can tell.
mod common;

use common::{connect, fastcgi, record, Harness, Protocol, FUNCTION};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::front::{fastcgi as platform, kserve, ListenerContext, Serve};
use wrenseam::limits::Limits;
use wrenseam::model::{AttemptKey, Client, ClientState, Request};
use wrenseam::queue::{CoreHandle, Message};
use wrenseam::worker::dispatch::{Dispatch, StartResult};
use wrenseam::worker::{frames::Frames, kserve::Kserve, AttemptLimits, Transport};
use wrenseam_policy::{Outcome, Settings};
use Protocol::{Kserve as V2, Platform};

/// One at a time: they share the scheduler's one thread, and hold it.
static SCHEDULER: Mutex<()> = Mutex::new(());

/// A front whose core is this test: a client's connection, and the call that it sent.
struct Front {
    client: TcpStream,
    request: Arc<Request>,
    /// The front's side of the connection.
    _side: Arc<dyn Client>,
    limits: Arc<Limits>,
}

impl Front {
    fn new(front: Protocol) -> Front {
        may::config().set_workers(1).set_worker_pin(false); // as the program has it
        let limits = Arc::new(Limits::new(192, 1024, &Settings::default()));
        let (core, inbox) = mpsc::channel();
        let context = ListenerContext::new(CoreHandle::new(core), limits.clone(), Arc::default());
        let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut client = connect(listener.local_addr().expect("bound"));
        client.write_all(&call(front)).expect("written");
        let serve: Serve = if front == Platform {
            platform::serve
        } else {
            kserve::serve
        };
        wrenseam::net::spawn(limits.coroutine_stack_bytes, move || {
            let (stream, _) = listener.accept().expect("a connection");
            let guard = context.slots.acquire().expect("a slot");
            serve(stream, &context, guard);
        })
        .expect("a coroutine");
        let Ok(Message::Request {
            request,
            client: _side,
            tag: _,
        }) = inbox.recv_timeout(Duration::from_secs(20))
        else {
            panic!("no call");
        };
        Front {
            client,
            request: Arc::new(request),
            _side,
            limits,
        }
    }

    fn state(&self) -> ClientState {
        self.request
            .client_probe
            .as_ref()
            .expect("it can be looked at")
            .state()
    }

    /// The client leaves in this way, and what that brings has arrived.
    fn leave(mut self, how: &str) -> Arc<Request> {
        let more = match how {
            "aborts" => record(2, 1, &[]),
            "asks more and closes" => call(V2),
            _ => Vec::new(),
        };
        self.client.write_all(&more).expect("written");
        if how == "resets" {
            socket2::SockRef::from(&self.client)
                .set_linger(Some(Duration::ZERO))
                .expect("set");
        }
        let Front {
            client, request, ..
        } = self;
        let client_probe = request.client_probe.clone().expect("it can be looked at");
        let _kept = (how == "aborts").then(|| client.try_clone().expect("cloned"));
        drop(client);
        let since = Instant::now();
        while client_probe.state() == ClientState::Connected {
            assert!(
                since.elapsed() < Duration::from_secs(20),
                "{how}: nothing shows"
            );
            std::thread::yield_now();
        }
        request
    }
}

fn call(front: Protocol) -> Vec<u8> {
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "20000"),
        ("HTTP_REQ_KEY", FUNCTION),
    ];
    if front == Platform {
        return fastcgi(1, &params, b"x");
    }
    let body =
        r#"{"parameters":{"class":"tile-render","tenant":"acme","wait_ms":20000},"inputs":[]}"#;
    let length = body.len();
    format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Holds the scheduler's one thread, and with it every reader, until dropped.
struct Starved(mpsc::Sender<()>);

impl Starved {
    fn new() -> Starved {
        let ((hold, held), (go, until)) = (mpsc::channel(), mpsc::channel::<()>());
        wrenseam::net::spawn(64 * 1024, move || {
            let _ = hold.send(());
            let _ = until.recv(); // of the thread, not of the coroutine
        })
        .expect("a coroutine");
        held.recv().expect("held");
        Starved(go)
    }
}

/// The client leaves, and its reader cannot run: who begins an attempt sees it at the connection, at once. What lies
/// unread may be a cancel: its reader comes first, and finds it.
#[rstest]
#[case::closes(Platform, "closes", ClientState::Disconnected)]
#[case::resets(Platform, "resets", ClientState::Disconnected)]
#[case::aborts(Platform, "aborts", ClientState::UnreadInput)]
#[case::v2_closes(V2, "closes", ClientState::Disconnected)]
#[case::v2_resets(V2, "resets", ClientState::Disconnected)]
#[case::v2_closes_behind_input(V2, "asks more and closes", ClientState::UnreadInput)]
fn a_client_that_left_is_seen_before_its_reader_runs(
    #[case] front: Protocol,
    #[case] how: &str,
    #[case] shows: ClientState,
) {
    let _alone = SCHEDULER
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let front = Front::new(front);
    assert_eq!(front.state(), ClientState::Connected);
    let starved = Starved::new();
    let request = front.leave(how);
    assert!(
        !request.client_gone.load(Ordering::Acquire),
        "its reader is held back"
    );
    assert_eq!(request.client_probe.as_ref().expect("told").state(), shows);
    let dispatch = Dispatch::for_attempt(
        &request,
        AttemptLimits::with_timeout(20_000_000),
        Instant::now(),
    );
    let first = dispatch.try_start(Instant::now());
    assert_eq!(
        first,
        if shows == ClientState::Disconnected {
            StartResult::Discarded
        } else {
            StartResult::ClientInputUnread
        }
    );
    drop(starved.0);
    let since = Instant::now();
    while !request.client_gone.load(Ordering::Acquire) {
        assert!(
            since.elapsed() < Duration::from_secs(20),
            "its reader never came"
        );
        std::thread::yield_now();
    }
    assert_ne!(dispatch.try_start(Instant::now()), StartResult::Started);
}

/// A call waits for a connection that comes up late; its client closes, and nobody has read that when it is up.
#[rstest]
fn nothing_is_written_for_a_client_whose_end_nobody_has_read(
    #[values(Platform, V2)] worker: Protocol,
    #[values("closes", "resets")] how: &str,
) {
    let _alone = SCHEDULER
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let front = Front::new(Platform);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let address = listener.local_addr().expect("bound");
    let mut transport: Box<dyn Transport> = match worker {
        Platform => Box::new(Frames::new(
            address,
            front.limits.clone(),
            CoreHandle::new(queue),
        )),
        V2 => Box::new(Kserve::new(
            address,
            front.limits.clone(),
            CoreHandle::new(queue),
        )),
    };
    let starved = Starved::new();
    let request = front.leave(how);
    // As if its reader had no turn though the worker's writer has: the flag that it would set is another one.
    let unread = Arc::new(Request {
        client_gone: Arc::default(),
        client_probe: request.client_probe.clone(),
        class: request.class.clone(),
        tenant: request.tenant.clone(),
        idempotency_key: None,
        payload: request.payload.clone(),
        reserved_bytes: None,
        ..*request
    });
    let key = AttemptKey {
        request: 1,
        attempt: 0,
    };
    transport.send(key, &unread, AttemptLimits::with_timeout(20_000_000));
    drop(starved.0);
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::AttemptEnded { key: of, report }) => {
            assert_eq!((of, report.outcome), (key, Outcome::NotSent))
        }
        _ => panic!("nothing ended"),
    }
    drop(transport);
    let mut got = Vec::new();
    listener
        .accept()
        .expect("it came up")
        .0
        .read_to_end(&mut got)
        .expect("closed");
    assert!(got.is_empty(), "{got:?}");
}

/// Every path on which a call waits for its next attempt: its client leaves or gives it up, and no attempt follows.
#[rstest]
#[case::a_retry_that_is_due("worker send rejected")]
#[case::a_retry_after_an_error("worker send error")]
#[case::a_connection_that_ends("worker close")]
#[case::a_worker_that_falls_silent("worker silence\nwait 700")]
#[case::a_copy_that_is_missing("worker send not-loaded")]
fn no_attempt_follows_a_client_that_left(
    #[case] then: &str,
    #[values("close", "abort")] how: &str,
    #[values(Platform, V2)] front: Protocol,
    #[values(Platform, V2)] workers: Protocol,
) {
    let send = "client send tile-render - x 4000\nworker expect tile-render - x";
    // The next client's call shows that the first one's leaving has been read.
    let left = format!("{send}\nclient {how}\nwait 100\n{then}\nworker expect nothing");
    Harness::new(workers).run_scenario(front, &left);
}

/// What the call waits for then comes: `SECOND` stands where the client leaves, or does not.
const WAITS: [(&str, &str, &str, &str); 3] = [
    (
        "in the module",
        "",
        "",
        "orders hold\nclient send tile-render - x 4000\nworker expect nothing\nSECOND\norders answer",
    ),
    (
        "for a load",
        r#""when-absent":"load""#,
        r#""when-absent":"miss""#,
        "orders hold-loads\nclient send tile-render - x 4000\nworker expect nothing\nSECOND\norders answer",
    ),
    (
        "for a hedge",
        r#""second-copies":false"#,
        r#""second-copies":true"#,
        "client send tile-render - x 4000\nworker expect tile-render - x\nSECOND\nwait 900",
    ),
];

/// A call that waits in the module, for a load or for its second copy: that attempt goes out, and not if its client left.
#[rstest]
fn what_a_call_waits_for_brings_no_attempt_once_its_client_left(
    #[values(0, 1, 2)] waits: usize,
    #[values("stays", "close", "abort")] how: &str,
    #[values(Platform, V2)] front: Protocol,
) {
    let (name, from, to, lines) = WAITS[waits];
    let (leave, then) = match how {
        "stays" => (String::new(), "worker expect tile-render - x"),
        how => (format!("client {how}\nwait 100"), "worker expect nothing"),
    };
    eprintln!("waits {name}");
    Harness::with(Platform, &[(from, to)]).run_scenario(
        front,
        &format!("{}\n{then}", lines.replace("SECOND", &leave)),
    );
}

/// A client that sends at full speed holds up nobody else: calls of others are read, and their leaving is.
#[rstest]
fn a_flood_holds_nobody_up(#[values(Platform, V2)] front: Protocol) {
    let served = "client send tile-render - x 1500\nworker expect tile-render - x\nworker send ok DONE\nclient expect served DONE\n";
    let stage = Harness::new(Platform);
    stage.run_scenario(front, "client flood\nclient flood");
    let since = Instant::now();
    stage.run_scenario(Platform, &served.repeat(20));
    stage.run_scenario(V2, &served.repeat(20));
    eprintln!("served after {:?}", since.elapsed());
    // Nothing else is seen of a client that leaves than the end of its connection.
    let send = "client send tile-render - x 4000\nworker expect tile-render - x\nworker silence\nclient close\nwait 700\nworker expect nothing";
    stage.run_scenario(front, send);
}
