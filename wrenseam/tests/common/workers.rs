//! Stand-in workers of both protocols: they answer orders by themselves, and leave each call to the test.
use super::clients::v2::text_of;
use super::support::frames::{code, encode_answer, read_frame, Frame};
use super::support::http::{read_message, response, HttpMessage};
use super::support::sockets::{listen, PATIENCE};
use super::{CallContent, Protocol, FUNCTION};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use wrenseam_policy::json::{object, parse, part, text};

/// Bytes that are left out of an answer that stops midway.
const MISSING_BYTES: usize = 8;
/// Time between two looks whether a connection has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What workers do with orders to load, and with questions how many replicas are loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum OrderMode {
    /// Both are answered at once: a replica of each function is loaded.
    #[default]
    Answer,
    /// Neither is answered.
    Hold,
    /// No order to load is answered; questions are, and nothing is loaded.
    HoldLoads,
}

/// The mode that all workers of a test are in.
#[derive(Default)]
pub struct OrderControl {
    mode: Mutex<OrderMode>,
    changed: Condvar,
}

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Load,
    Query,
}

/// What the workers of a test share.
#[derive(Clone)]
pub struct WorkerContext {
    /// Where calls go, of whichever worker.
    pub calls: Sender<ReceivedCall>,
    pub orders: Arc<OrderControl>,
}

/// A call as it reached a worker, and the connection on which it is to be answered.
pub struct ReceivedCall {
    pub zone: usize,
    /// Its id in a frame; 0 in v2.
    pub id: u64,
    pub content: CallContent,
    protocol: Protocol,
    stream: TcpStream,
    /// Whether the worker ignores what else comes on the connection.
    silenced: Arc<AtomicBool>,
}

/// How a worker answers a call.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerAnswer {
    Ok(String),
    Rejected,
    NotLoaded,
    Error,
    /// A part of an answer, then the end of the connection.
    Truncated,
    /// A part of an answer, and nothing after it.
    Stalled,
    /// An answer whose last byte, which is that of a frame's checksum, is wrong.
    Corrupt,
}

impl OrderControl {
    /// Changes the mode; what was held back and is to be answered now, is.
    pub fn set(&self, mode: OrderMode) {
        *self.mode.lock().expect("not poisoned") = mode;
        self.changed.notify_all();
    }

    fn holds_back(&self) -> bool {
        *self.mode.lock().expect("not poisoned") != OrderMode::Answer
    }

    /// Waits for as long as such orders are held back; how many replicas are loaded then.
    fn wait_for_replicas(&self, order: Order) -> u32 {
        let held = |mode: &mut OrderMode| match mode {
            OrderMode::Answer => false,
            OrderMode::Hold => true,
            OrderMode::HoldLoads => order == Order::Load,
        };
        let mode = self.mode.lock().expect("not poisoned");
        let mode = self.changed.wait_while(mode, held).expect("not poisoned");
        u32::from(*mode == OrderMode::Answer)
    }
}

/// Starts a worker in a zone; its address.
pub fn start_worker(protocol: Protocol, zone: usize, context: WorkerContext) -> SocketAddr {
    listen(move |stream| {
        let context = context.clone();
        std::thread::spawn(move || {
            let _ = match protocol {
                Protocol::Platform => serve_frames(stream, zone, &context),
                Protocol::Kserve => serve_v2(stream, zone, &context),
            }; // the connection has ended
        });
    })
}

fn serve_frames(mut stream: TcpStream, zone: usize, context: &WorkerContext) -> io::Result<()> {
    let silenced = Arc::new(AtomicBool::new(false));
    loop {
        let frame = read_frame(&mut stream)?;
        if silenced.load(Ordering::Acquire) {
            continue;
        }
        match frame.code {
            code::LOAD_ORDER => answer_order_frame(&frame, stream.try_clone()?, &context.orders),
            code::CALL => {
                let _ = context.calls.send(ReceivedCall {
                    zone,
                    id: frame.id,
                    content: call_of_frame(&frame),
                    protocol: Protocol::Platform,
                    stream: stream.try_clone()?,
                    silenced: silenced.clone(),
                }); // the test may have ended
            }
            _ => {}
        }
    }
}

/// Answers an order; calls behind one that is held back come through.
fn answer_order_frame(frame: &Frame, mut stream: TcpStream, orders: &Arc<OrderControl>) {
    let order = match frame.field("slots_up") {
        Some("0") => Order::Query,
        _ => Order::Load,
    };
    let (id, control) = (frame.id, orders.clone());
    let mut answer = move || {
        let fields = format!("slots_up={}", control.wait_for_replicas(order));
        let _ = stream.write_all(&encode_answer(code::OK, id, &fields, &[])); // it may have closed
    };
    if orders.holds_back() {
        std::thread::spawn(answer);
    } else {
        answer();
    }
}

fn call_of_frame(frame: &Frame) -> CallContent {
    assert_eq!(frame.field("path"), Some(FUNCTION));
    CallContent {
        class: frame.field("queue").expect("a class").to_owned(),
        idempotency_key: frame.field("uniq").map(str::to_owned),
        body: text_of(&frame.body),
    }
}

fn serve_v2(mut stream: TcpStream, zone: usize, context: &WorkerContext) -> io::Result<()> {
    let infer = format!("/v2/models/{FUNCTION}/infer");
    loop {
        let request = read_message(&mut stream)?;
        if request.target().starts_with("/v2/repository/") {
            stream.write_all(&answer_order_v2(&request, &context.orders))?;
            continue;
        }
        assert_eq!(request.target(), infer);
        let _ = context.calls.send(ReceivedCall {
            zone,
            id: 0,
            content: call_of_v2(&request),
            protocol: Protocol::Kserve,
            stream: stream.try_clone()?,
            silenced: Arc::default(),
        }); // the test may have ended
    }
}

fn answer_order_v2(request: &HttpMessage, orders: &OrderControl) -> Vec<u8> {
    if request.target() == "/v2/repository/index" {
        orders.wait_for_replicas(Order::Query);
        let index = format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#);
        return response("200 OK", "", &index);
    }
    assert!(request.target().starts_with("/v2/repository/models/"));
    orders.wait_for_replicas(Order::Load);
    response("200 OK", "", r#"{"parameters":{"slots_up":1}}"#)
}

fn call_of_v2(request: &HttpMessage) -> CallContent {
    let json = parse(&String::from_utf8_lossy(&request.body)).expect("JSON");
    let body = object(&json).expect("an object");
    let parameters = part(body, "parameters").expect("parameters");
    let class = text(parameters, "class").expect("a class");
    CallContent {
        class: class.to_owned(),
        idempotency_key: text(parameters, "token").map(str::to_owned),
        body: text_of(&request.body),
    }
}

impl ReceivedCall {
    /// From now on the worker ignores what else comes on the connection.
    pub fn silence(&self) {
        self.silenced.store(true, Ordering::Release);
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("open");
    }

    /// Waits for the end of the connection; what else comes there is for the worker to read.
    pub fn expect_closed(&self, context: &str) {
        let since = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let took = since.elapsed();
        assert!(took < PATIENCE, "{context}: it was open for {took:?}");
    }

    /// Answers the call.
    pub fn answer(&self, answer: &WorkerAnswer) {
        let mut bytes = match self.protocol {
            Protocol::Platform => frame_answer(self.id, answer),
            Protocol::Kserve => v2_answer(answer),
        };
        match answer {
            WorkerAnswer::Truncated | WorkerAnswer::Stalled => {
                bytes.truncate(bytes.len() - MISSING_BYTES);
            }
            WorkerAnswer::Corrupt => *bytes.last_mut().expect("an answer") ^= 1,
            _ => {}
        }
        (&self.stream).write_all(&bytes).expect("written");
        if *answer == WorkerAnswer::Truncated {
            self.close();
        }
    }
}

impl WorkerAnswer {
    /// The body of an answer that says that the call succeeded.
    fn success_body(&self) -> Option<&str> {
        match self {
            WorkerAnswer::Ok(body) => Some(body),
            WorkerAnswer::Truncated | WorkerAnswer::Stalled | WorkerAnswer::Corrupt => {
                Some("cut-short")
            }
            WorkerAnswer::Rejected | WorkerAnswer::NotLoaded | WorkerAnswer::Error => None,
        }
    }
}

fn frame_answer(id: u64, answer: &WorkerAnswer) -> Vec<u8> {
    let answer_code = match answer {
        WorkerAnswer::NotLoaded => code::NOT_LOADED,
        WorkerAnswer::Rejected => code::REJECTED,
        WorkerAnswer::Error => code::ERROR,
        _ => code::OK,
    };
    let body = answer.success_body().unwrap_or_default();
    encode_answer(answer_code, id, "detail=resident", body.as_bytes())
}

fn v2_answer(answer: &WorkerAnswer) -> Vec<u8> {
    if let Some(body) = answer.success_body() {
        let output = format!(
            r#"{{"parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
        );
        return response("200 OK", "", &output);
    }
    let (status, headers) = match answer {
        WorkerAnswer::NotLoaded => ("404 Not Found", ""),
        WorkerAnswer::Rejected => ("503 Service Unavailable", "Retry-After: 1\r\n"),
        _ => ("500 Internal Server Error", ""),
    };
    response(status, headers, r#"{"error":"no"}"#)
}
