//! Stand-in worker that speaks KServe v2 over HTTP/1.1.
use super::super::clients::v2::text_of;
use super::super::support::http::{read_message, response, HttpMessage};
use super::super::{CallContent, Protocol, FUNCTION};
use super::orders::{Order, OrderControl};
use super::{ReceivedCall, WorkerAnswer, WorkerContext};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use wrenseam_policy::json::{nested_object, object, parse, text};

/// Serves a connection until either side closes it. It carries one request at a time.
pub(crate) fn serve(mut stream: TcpStream, zone: usize, context: &WorkerContext) -> io::Result<()> {
    let infer_target = format!("/v2/models/{FUNCTION}/infer");
    loop {
        let request = read_message(&mut stream)?;
        if request.target().starts_with("/v2/repository/") {
            stream.write_all(&answer_order(&request, &context.orders))?;
            continue;
        }
        assert_eq!(request.target(), infer_target);
        let _ = context.calls.send(ReceivedCall {
            zone,
            id: 0,
            content: call_content(&request),
            protocol: Protocol::Kserve,
            stream: stream.try_clone()?,
            silenced: Arc::default(),
        }); // fails once the test has ended
    }
}

/// Answers a load order or query once the mode does not hold it back. The answer does not depend on the mode: the
/// function is ready, with one replica loaded.
fn answer_order(request: &HttpMessage, orders: &OrderControl) -> Vec<u8> {
    if request.target() == "/v2/repository/index" {
        orders.wait_for_answer(Order::Query);
        let index = format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#);
        return response("200 OK", "", &index);
    }
    assert!(request.target().starts_with("/v2/repository/models/"));
    orders.wait_for_answer(Order::Load);
    response("200 OK", "", r#"{"parameters":{"slots_up":1}}"#)
}

fn call_content(request: &HttpMessage) -> CallContent {
    let json = parse(&String::from_utf8_lossy(&request.body)).expect("JSON body");
    let body = object(&json).expect("JSON object");
    let parameters = nested_object(body, "parameters").expect("the call has parameters");
    let class = text(parameters, "class").expect("the call has a class");
    CallContent {
        class: class.to_owned(),
        idempotency_key: text(parameters, "token").map(str::to_owned),
        body: text_of(&request.body),
    }
}

/// Encodes the answer to a call.
pub(crate) fn encode_call_answer(answer: &WorkerAnswer) -> Vec<u8> {
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
