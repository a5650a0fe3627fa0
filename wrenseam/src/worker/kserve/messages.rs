//! The messages of KServe v2 as JSON, and what answers say of calls and orders. No sockets.
use super::super::{replica_loaded, MICROS_PER_MILLI};
use super::exchange::Order;
use crate::model::{AttemptReport, Payload, Request};
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{self, Array, Number, Object, Value};
use wrenseam_policy::json::{as_text, list, nested_object, object, parse, text, unsigned};
use wrenseam_policy::{FunctionId, Micros, Outcome};

/// Numbers that an answer states count no higher than this.
const MAX_STATED_NUMBER: u64 = 1 << 16;

/// Digits of an id that a front end gave.
const ID_DIGITS: usize = 16;

fn json_object(fields: Vec<(&str, Value)>) -> Value {
    let owned = fields
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value));
    Value::Object(owned.collect())
}

fn json_string(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn json_number(number: u64) -> Value {
    Value::Number(Number::U64(number))
}

fn json_array(values: Vec<Value>) -> Value {
    Value::Array(values.into_iter().collect::<Array>())
}

/// Bytes as one BYTES tensor; base64 carries those that are no text, and the tensor says so.
fn tensor(bytes: &[u8]) -> Value {
    json_object(vec![
        ("name", json_string("body")),
        ("shape", json_array(vec![json_number(1)])),
        ("datatype", json_string("BYTES")),
        (
            "parameters",
            json_object(vec![("content_type", json_string("base64"))]),
        ),
        (
            "data",
            json_array(vec![json_string(&STANDARD.encode(bytes))]),
        ),
    ])
}

/// The body of a v2 answer that carries these bytes.
pub fn wrap_answer(bytes: &[u8]) -> Vec<u8> {
    json::to_string(&json_object(vec![(
        "outputs",
        json_array(vec![tensor(bytes)]),
    )]))
    .into_bytes()
}

/// The body of a v2 call that carries a body of the platform's protocol.
pub(super) fn wrap_call(request: &Request, bytes: &[u8], budget: Micros) -> Vec<u8> {
    let mut parameters = vec![
        ("class", json_string(&request.class)),
        ("tenant", json_string(&request.tenant)),
        ("wait_ms", json_number(budget / MICROS_PER_MILLI)),
        ("retry", Value::Bool(request.is_retry)),
    ];
    if let Some(idempotency_key) = &request.idempotency_key {
        parameters.push(("token", json_string(idempotency_key)));
    }
    let call = json_object(vec![
        ("id", json_string(&format!("{:016x}", request.wire_id))),
        ("parameters", json_object(parameters)),
        ("inputs", json_array(vec![tensor(bytes)])),
    ]);
    json::to_string(&call).into_bytes()
}

/// The bytes of the first output tensor of a v2 answer.
pub fn unwrap_answer(answer: &Object) -> Option<Vec<u8>> {
    let output = list(answer, "outputs").first().and_then(object)?;
    let data = list(output, "data").first().and_then(as_text)?;
    let content_type =
        nested_object(output, "parameters").and_then(|parameters| text(parameters, "content_type"));
    if content_type == Some("base64") {
        STANDARD.decode(data).ok()
    } else {
        Some(data.as_bytes().to_vec())
    }
}

/// The body of an order to hold replicas.
pub(super) fn hold(replicas: u32) -> String {
    let parameters = json_object(vec![("slots_up", json_number(replicas.into()))]);
    json::to_string(&json_object(vec![("parameters", parameters)]))
}

/// A complete answer.
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    /// Whether it says when to retry.
    pub(super) has_retry_after: bool,
}

fn parse_body(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    parse(text).ok()
}

/// What an answer proves. A worker that lacks the model says 404, one that has too many calls 429, one that takes none
/// for a while 503 with Retry-After: none of them has run anything. A 503 without it may come from a
/// proxy before the worker, which lost the answer to a call that it had passed on.
fn outcome(reply: &Reply) -> Outcome {
    match reply.status {
        200 => Outcome::Ok,
        404 => Outcome::NotLoaded,
        429 => Outcome::Rejected,
        503 if reply.has_retry_after => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Which call an answer says that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerOwner {
    /// The call that was sent last.
    ThisCall,
    /// Another one, that was before it on its connection.
    OtherCall,
    /// It does not say.
    Unstated,
}

/// Which call an answer names, as seen from the call with this id.
pub(super) fn answer_owner(reply: &Reply, wire_id: u64) -> AnswerOwner {
    let body = parse_body(&reply.body);
    let id = body
        .as_ref()
        .and_then(object)
        .and_then(|answer| text(answer, "id"))
        .and_then(parse_id);
    match id {
        Some(id) if id == wire_id => AnswerOwner::ThisCall,
        Some(_) => AnswerOwner::OtherCall,
        None => AnswerOwner::Unstated,
    }
}

/// An id as a front end writes it; any other says nothing here.
fn parse_id(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != ID_DIGITS || !is_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// A number that an answer states.
fn stated_number(answer: &Object, name: &str) -> Option<u32> {
    let number = unsigned(answer, name)?;
    Some(number.min(MAX_STATED_NUMBER) as u32)
}

/// What an answer says of an attempt. `is_wrapped` tells that it carries a body of the platform's protocol.
pub(super) fn attempt_report(reply: Reply, is_wrapped: bool) -> AttemptReport {
    let body = parse_body(&reply.body);
    let answer = body.as_ref().and_then(object);
    let parameters = answer.and_then(|answer| nested_object(answer, "parameters"));
    let detail = parameters.and_then(|parameters| text(parameters, "detail"));
    let queue_depth = parameters.and_then(|parameters| stated_number(parameters, "company"));
    let mut outcome = outcome(&reply);
    let payload = match outcome {
        Outcome::Ok if is_wrapped => answer.and_then(unwrap_answer).map(Payload::Bytes),
        Outcome::Ok => answer.is_some().then_some(Payload::Json(reply.body)),
        _ => None,
    };
    if outcome == Outcome::Ok && payload.is_none() {
        outcome = Outcome::Error; // it ran, but what it said cannot be forwarded
    }
    AttemptReport {
        outcome,
        replica_loaded: replica_loaded(detail),
        queue_depth,
        payload,
    }
}

/// What an answer says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadReport {
    /// How the order ended.
    pub(super) outcome: Outcome,
    /// Replicas that are loaded.
    pub(super) replicas: u32,
}

/// What an answer says of an order to hold replicas, or to tell how many there are.
pub(super) fn load_report(reply: &Reply, order: &Order) -> LoadReport {
    let body = parse_body(&reply.body);
    let outcome = outcome(reply);
    if order.replicas > 0 {
        hold_report(outcome, body.as_ref(), order.replicas)
    } else {
        index_report(outcome, body.as_ref(), order.function)
    }
}

/// The answer to an order to hold replicas. One that was carried out without saying how many there are holds what was
/// ordered.
fn hold_report(outcome: Outcome, body: Option<&Value>, ordered: u32) -> LoadReport {
    let stated = body
        .and_then(object)
        .and_then(|answer| nested_object(answer, "parameters"))
        .and_then(|parameters| stated_number(parameters, "slots_up"));
    let unstated = match outcome {
        Outcome::Ok => ordered,
        _ => 0,
    };
    LoadReport {
        outcome: match outcome {
            Outcome::NotLoaded => Outcome::Error,
            outcome => outcome,
        },
        replicas: stated.unwrap_or(unstated),
    }
}

/// The answer to the question which models are ready. A model that does not say how many replicas it has counts as one.
fn index_report(outcome: Outcome, body: Option<&Value>, function: FunctionId) -> LoadReport {
    let Some(Value::Array(models)) = body else {
        return LoadReport {
            outcome: match outcome {
                Outcome::Ok => Outcome::Error,
                outcome => outcome,
            },
            replicas: 0,
        };
    };
    let name = format!("{function:016x}");
    let is_ready = |model: &&Object| {
        text(model, "name") == Some(&name) && text(model, "state") == Some("READY")
    };
    let replicas = models
        .iter()
        .filter_map(object)
        .filter(is_ready)
        .map(|model| {
            nested_object(model, "parameters")
                .and_then(|parameters| stated_number(parameters, "slots_up"))
                .unwrap_or(1)
        })
        .sum();
    LoadReport { outcome, replicas }
}
