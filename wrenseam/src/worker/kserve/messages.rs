//! KServe v2 messages as JSON, and what responses say about calls and load orders. No sockets.
use super::super::{replica_loaded, MICROS_PER_MILLI};
use super::exchange::Order;
use crate::model::{AttemptReport, Payload, Request};
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{self, Array, Number, Object, Value};
use wrenseam_policy::json::{as_text, list, nested_object, object, parse, text, unsigned};
use wrenseam_policy::{FunctionId, Micros, Outcome};

/// Larger numbers in a response are clamped to this.
const MAX_STATED_NUMBER: u64 = 1 << 16;

/// Number of hexadecimal digits in an id that a front end chose.
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

/// Bytes as a tensor of type BYTES. They are encoded in base64, as they need not be text, and the tensor says so.
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

/// The body of a v2 response whose output tensor carries these bytes.
pub fn wrap_response(bytes: &[u8]) -> Vec<u8> {
    json::to_string(&json_object(vec![(
        "outputs",
        json_array(vec![tensor(bytes)]),
    )]))
    .into_bytes()
}

/// The body of a v2 call whose input tensor carries a body of the platform's protocol.
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

/// The bytes of the first output tensor of a v2 response; `None` if there is none or its base64 is invalid.
pub fn unwrap_response(fields: &Object) -> Option<Vec<u8>> {
    let output = list(fields, "outputs").first().and_then(object)?;
    let data = list(output, "data").first().and_then(as_text)?;
    let content_type =
        nested_object(output, "parameters").and_then(|parameters| text(parameters, "content_type"));
    if content_type == Some("base64") {
        STANDARD.decode(data).ok()
    } else {
        Some(data.as_bytes().to_vec())
    }
}

/// The body of a load order.
pub(super) fn load_order(replicas: u32) -> String {
    let parameters = json_object(vec![("slots_up", json_number(replicas.into()))]);
    json::to_string(&json_object(vec![("parameters", parameters)]))
}

/// A complete response: the parts that the outcome depends on.
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    /// Whether it has a Retry-After header.
    pub(super) has_retry_after: bool,
}

fn parse_body(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    parse(text).ok()
}

/// The outcome that a response proves. 404 (the worker lacks the model), 429 (it has too many calls) and 503 with
/// Retry-After (it accepts no calls for a while) prove that nothing has run. A 503 without Retry-After may come from a
/// proxy that had passed the call on and lost the response.
fn outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Ok,
        404 => Outcome::NotLoaded,
        429 => Outcome::Rejected,
        503 if response.has_retry_after => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Which call a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOwner {
    /// The call that was sent last.
    ThisCall,
    /// Another call, which the connection carried earlier.
    OtherCall,
    /// None: the response carries no valid id.
    Unstated,
}

/// Which call a response names, relative to the call with this id.
pub(super) fn response_owner(response: &Response, wire_id: u64) -> ResponseOwner {
    let body = parse_body(&response.body);
    let id = body
        .as_ref()
        .and_then(object)
        .and_then(|fields| text(fields, "id"))
        .and_then(parse_id);
    match id {
        Some(id) if id == wire_id => ResponseOwner::ThisCall,
        Some(_) => ResponseOwner::OtherCall,
        None => ResponseOwner::Unstated,
    }
}

/// Parses an id in the form that front ends write; `None` for any other text.
fn parse_id(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != ID_DIGITS || !is_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// A number that a response states, clamped to `MAX_STATED_NUMBER`.
fn stated_number(fields: &Object, name: &str) -> Option<u32> {
    let number = unsigned(fields, name)?;
    Some(number.min(MAX_STATED_NUMBER) as u32)
}

/// The report on an attempt, from the worker's response. With `is_wrapped` the response carries a body of the
/// platform's protocol.
pub(super) fn attempt_report(response: Response, is_wrapped: bool) -> AttemptReport {
    let body = parse_body(&response.body);
    let fields = body.as_ref().and_then(object);
    let parameters = fields.and_then(|fields| nested_object(fields, "parameters"));
    let detail = parameters.and_then(|parameters| text(parameters, "detail"));
    let queue_depth = parameters.and_then(|parameters| stated_number(parameters, "company"));
    let mut outcome = outcome(&response);
    let payload = match outcome {
        Outcome::Ok if is_wrapped => fields.and_then(unwrap_response).map(Payload::Bytes),
        Outcome::Ok => fields.is_some().then_some(Payload::Json(response.body)),
        _ => None,
    };
    if outcome == Outcome::Ok && payload.is_none() {
        outcome = Outcome::Error; // the call ran, but its response cannot be forwarded
    }
    AttemptReport {
        outcome,
        replica_loaded: replica_loaded(detail),
        queue_depth,
        payload,
    }
}

/// The result of a load order, from the worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadReport {
    /// How the order ended.
    pub(super) outcome: Outcome,
    /// Replicas that are loaded.
    pub(super) replicas: u32,
}

/// Evaluates the response to a load order, or to the query how many replicas are loaded.
pub(super) fn load_report(response: &Response, order: &Order) -> LoadReport {
    let body = parse_body(&response.body);
    let outcome = outcome(response);
    if order.replicas > 0 {
        order_report(outcome, body.as_ref(), order.replicas)
    } else {
        index_report(outcome, body.as_ref(), order.function)
    }
}

/// Evaluates the response to an order to hold replicas. If it succeeded without stating how many there are, the ordered
/// number counts.
fn order_report(outcome: Outcome, body: Option<&Value>, ordered: u32) -> LoadReport {
    let stated = body
        .and_then(object)
        .and_then(|fields| nested_object(fields, "parameters"))
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

/// Evaluates the response to the query which models are ready. A model that does not state its number of replicas
/// counts as one.
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
