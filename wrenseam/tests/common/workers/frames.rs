//! Stand-in worker that speaks the platform's binary frames.
use super::super::clients::v2::text_of;
use super::super::support::frames::{code, encode_answer, read_frame, Frame};
use super::super::{CallContent, Protocol, FUNCTION};
use super::orders::{Order, OrderControl};
use super::{ReceivedCall, WorkerAnswer, WorkerContext};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Serves a connection until either side closes it.
pub(crate) fn serve(mut stream: TcpStream, zone: usize, context: &WorkerContext) -> io::Result<()> {
    let silenced = Arc::new(AtomicBool::new(false));
    loop {
        let frame = read_frame(&mut stream)?;
        if silenced.load(Ordering::Acquire) {
            continue;
        }
        match frame.code {
            code::HEALTH_CHECK => {
                stream.write_all(&encode_answer(code::ACCEPTING, frame.id, "", &[]))?;
            }
            code::LOAD_ORDER => answer_order(&frame, stream.try_clone()?, &context.orders),
            code::CALL => {
                let _ = context.calls.send(ReceivedCall {
                    zone,
                    id: frame.id,
                    content: call_content(&frame),
                    protocol: Protocol::Platform,
                    stream: stream.try_clone()?,
                    silenced: silenced.clone(),
                }); // fails once the test has ended
            }
            _ => {}
        }
    }
}

/// Answers a load order or query. While the mode holds back orders, the answer waits on a thread of its own, so that
/// calls on the same connection are still received.
fn answer_order(frame: &Frame, mut stream: TcpStream, orders: &Arc<OrderControl>) {
    let order = match frame.field("slots_up") {
        Some("0") => Order::Query,
        _ => Order::Load,
    };
    let (id, control) = (frame.id, orders.clone());
    let mut answer = move || {
        let fields = format!("slots_up={}", control.wait_for_answer(order));
        let _ = stream.write_all(&encode_answer(code::OK, id, &fields, &[])); // the connection may be closed
    };
    if orders.holds_back() {
        std::thread::spawn(answer);
    } else {
        answer();
    }
}

fn call_content(frame: &Frame) -> CallContent {
    assert_eq!(frame.field("path"), Some(FUNCTION));
    CallContent {
        class: frame
            .field("queue")
            .expect("the call has a class")
            .to_owned(),
        idempotency_key: frame.field("uniq").map(str::to_owned),
        body: text_of(&frame.body),
    }
}

/// Encodes the answer to a call.
pub(crate) fn encode_call_answer(id: u64, answer: &WorkerAnswer) -> Vec<u8> {
    let answer_code = match answer {
        WorkerAnswer::NotLoaded => code::NOT_LOADED,
        WorkerAnswer::Rejected => code::REJECTED,
        WorkerAnswer::Error => code::ERROR,
        _ => code::OK,
    };
    let body = answer.success_body().unwrap_or_default();
    encode_answer(answer_code, id, "detail=resident", body.as_bytes())
}
