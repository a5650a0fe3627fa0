//! A front in the test's own process with one client connection. Its messages to the core come to the test.
use super::support::fastcgi::fastcgi_request;
use super::support::sockets::{connect, TEST_TIMEOUT};
use super::{Protocol, FUNCTION};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use wrenseam::front::{fastcgi, kserve, ListenerContext, Serve};
use wrenseam::limits::Limits;
use wrenseam::model::{Client, Request};
use wrenseam::queue::{CoreHandle, Message};

/// A front and its client's side of the connection.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) struct InProcessFront {
    /// The client's side.
    pub(crate) client: TcpStream,
    /// The front's state.
    pub(crate) context: ListenerContext,
    /// What the front sends to the core.
    pub(crate) inbox: Receiver<Message>,
}

/// A request that the front passed to the core.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) struct PassedRequest {
    pub(crate) request: Request,
    /// The front's side of the connection, which receives the answer.
    pub(crate) client: Arc<dyn Client>,
    /// The request's number on the connection.
    pub(crate) tag: u64,
}

#[allow(dead_code, reason = "each test binary uses its own part")]
impl InProcessFront {
    /// Starts the front of this protocol for one connection, with limits altered by `change`, and connects to it.
    pub(crate) fn start(protocol: Protocol, change: impl FnOnce(&mut Limits)) -> InProcessFront {
        may::config().set_workers(1).set_worker_pin(false); // as the program has it
        let mut limits = Limits::new(192, 1024, &wrenseam_policy::Settings::default());
        change(&mut limits);
        let (core, inbox) = channel();
        let context = ListenerContext::new(CoreHandle::new(core), Arc::new(limits), Arc::default());
        let client = connect_to_front(protocol, &context);
        InProcessFront {
            client,
            context,
            inbox,
        }
    }

    /// Opens another connection to the front of this protocol.
    pub(crate) fn connect_another(&self, protocol: Protocol) -> TcpStream {
        connect_to_front(protocol, &self.context)
    }

    /// Waits for the next request that the front passes to the core.
    pub(crate) fn next_request(&self) -> PassedRequest {
        match self.inbox.recv_timeout(TEST_TIMEOUT) {
            Ok(Message::Request {
                request,
                client,
                tag,
                ..
            }) => PassedRequest {
                request,
                client,
                tag,
            },
            _ => panic!("the request did not reach the core"),
        }
    }
}

fn connect_to_front(protocol: Protocol, context: &ListenerContext) -> TcpStream {
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = connect(listener.local_addr().expect("bound"));
    let serve: Serve = match protocol {
        Protocol::Platform => fastcgi::serve,
        Protocol::Kserve => kserve::serve,
    };
    let connection_context = context.clone();
    let guard = context.slots.acquire().expect("a slot");
    wrenseam::net::spawn(context.limits.coroutine_stack_bytes, move || {
        let (stream, _) = listener.accept().expect("a connection");
        serve(stream, &connection_context, guard);
    })
    .expect("a coroutine");
    client
}

/// The bytes of a request for the core with this id, whose client waits `wait_ms` for the answer.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn request_bytes(protocol: Protocol, id: u16, wait_ms: u32) -> Vec<u8> {
    let (wire, wait) = (format!("{id:016x}"), wait_ms.to_string());
    if protocol == Protocol::Platform {
        let params = [
            ("SCRIPT_NAME", "/v1/tile-render"),
            ("HTTP_REQ_ID", &wire[..]),
            ("HTTP_REQ_OWNER", "acme"),
            ("HTTP_REQ_WAIT_MS", &wait),
            ("HTTP_REQ_KEY", FUNCTION),
        ];
        return fastcgi_request(id, &params, b"x");
    }
    let body = format!(
        r#"{{"id":"{wire}","parameters":{{"class":"tile-render","tenant":"acme","wait_ms":{wait}}},"inputs":[]}}"#
    );
    let length = body.len();
    let path = format!("/v2/models/{FUNCTION}/infer");
    format!("POST {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
