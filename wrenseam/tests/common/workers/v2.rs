//! The workers that speak KServe v2 over HTTP/1.1.
use super::super::clients::v2::text_of;
use super::super::support::http::{read_message, response, HttpMessage};
use super::super::{CallContent, Protocol, FUNCTION};
use super::orders::{Order, OrderControl};
use super::{ReceivedCall, WorkerAnswer, WorkerContext};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use wrenseam_policy::json::{nested_object, object, parse, text};

/// Serves a connection until one side ends it.
pub(crate) fn serve(mut stream: TcpStream, zone: usize, context: &WorkerContext) -> io::Result<()> {
    let infer = format!("/v2/models/{FUNCTION}/infer");
    loop {
        let request = read_message(&mut stream)?;
        if request.target().starts_with("/v2/repository/") {
            stream.write_all(&answer_order(&request, &context.orders))?;
            continue;
        }
        assert_eq!(request.target(), infer);
        let _ = context.calls.send(ReceivedCall {
            zone,
            id: 0,
            content: call_content(&request),
            protocol: Protocol::Kserve,
            stream: stream.try_clone()?,
            silenced: Arc::default(),
        }); // the test may have ended
    }
}

fn answer_order(request: &HttpMessage, orders: &OrderControl) -> Vec<u8> {
    if request.target() == "/v2/repository/index" {
        orders.wait_for_replicas(Order::Query);
        let index = format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#);
        return response("200 OK", "", &index);
    }
    assert!(request.target().starts_with("/v2/repository/models/"));
    orders.wait_for_replicas(Order::Load);
    response("200 OK", "", r#"{"parameters":{"slots_up":1}}"#)
}

fn call_content(request: &HttpMessage) -> CallContent {
    let json = parse(&String::from_utf8_lossy(&request.body)).expect("JSON");
    let body = object(&json).expect("an object");
    let parameters = nested_object(body, "parameters").expect("parameters");
    let class = text(parameters, "class").expect("a class");
    CallContent {
        class: class.to_owned(),
        idempotency_key: text(parameters, "token").map(str::to_owned),
        body: text_of(&request.body),
    }
}

/// An answer to a call as bytes.
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
