//! The messages of KServe v2 as JSON, and what answers say of calls and orders. No sockets.
use crate::model::{AttemptReport, Payload, Request};
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{self, Array, Number, Object, Value};
use wrenseam_policy::json::{as_text, list, object, parse, part, text, whole};
use wrenseam_policy::{FunctionId, Micros, Outcome};

fn map(fields: Vec<(&str, Value)>) -> Value {
    Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn word(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn items(values: Vec<Value>) -> Value {
    Value::Array(values.into_iter().collect::<Array>())
}

/// Bytes as one BYTES tensor; base64 carries those that are no text, and the tensor says so.
fn tensor(bytes: &[u8]) -> Value {
    map(vec![
        ("name", word("body")),
        ("shape", items(vec![Value::Number(Number::U64(1))])),
        ("datatype", word("BYTES")),
        ("parameters", map(vec![("content_type", word("base64"))])),
        ("data", items(vec![word(&STANDARD.encode(bytes))])),
    ])
}

/// The body of a v2 answer that carries these bytes.
pub fn wrap_answer(bytes: &[u8]) -> Vec<u8> {
    json::to_string(&map(vec![("outputs", items(vec![tensor(bytes)]))])).into_bytes()
}

/// The body of a v2 call that carries a body of the platform's protocol.
pub(super) fn wrap_call(request: &Request, bytes: &[u8], budget: Micros) -> Vec<u8> {
    let mut told = vec![
        ("class", word(&request.class)),
        ("tenant", word(&request.tenant)),
        ("wait_ms", Value::Number(Number::U64(budget / 1000))),
        ("retry", Value::Bool(request.is_retry)),
    ];
    told.extend(
        request
            .idempotency_key
            .as_deref()
            .map(|t| ("token", word(t))),
    );
    let call = map(vec![
        ("id", word(&format!("{:016x}", request.wire_id))),
        ("parameters", map(told)),
        ("inputs", items(vec![tensor(bytes)])),
    ]);
    json::to_string(&call).into_bytes()
}

/// The bytes of the first output tensor of a v2 answer.
pub fn unwrap_answer(answer: &Object) -> Option<Vec<u8>> {
    let output = list(answer, "outputs").first().and_then(object)?;
    let data = list(output, "data").first().and_then(as_text)?;
    let coded = part(output, "parameters").and_then(|p| text(p, "content_type")) == Some("base64");
    if coded {
        STANDARD.decode(data).ok()
    } else {
        Some(data.as_bytes().to_vec())
    }
}

/// The body of an order to hold copies.
pub(super) fn hold(copies: u32) -> String {
    let told = map(vec![(
        "slots_up",
        Value::Number(Number::U64(copies.into())),
    )]);
    json::to_string(&map(vec![("parameters", told)]))
}

/// An answer read whole.
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    /// Whether it says when to come back.
    pub(super) retry_after: bool,
}

fn fields(body: &[u8]) -> Option<Value> {
    std::str::from_utf8(body).ok().and_then(|t| parse(t).ok())
}

/// What an answer proves. A worker that lacks the model says 404, one that has too many calls 429, one that takes none
/// for a while 503 and when to come back: none of them has run anything. A 503 that does not say when may come from a
/// proxy before the worker, which lost the answer to a call that it had passed on.
fn outcome(reply: &Reply) -> Outcome {
    match reply.status {
        200 => Outcome::Ok,
        404 => Outcome::NotLoaded,
        429 => Outcome::Rejected,
        503 if reply.retry_after => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Which call an answer says that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Named {
    /// This one.
    This,
    /// Another, that was before it on its connection.
    Another,
    /// It does not say.
    None,
}

/// Which call an answer names, as seen from the call with this id.
pub(super) fn named(reply: &Reply, wire_id: u64) -> Named {
    let whole = fields(&reply.body);
    match whole
        .as_ref()
        .and_then(object)
        .and_then(|answer| text(answer, "id"))
        .and_then(hex_id)
    {
        Some(id) if id == wire_id => Named::This,
        Some(_) => Named::Another,
        None => Named::None,
    }
}

/// An id of 16 hex digits; others were given by whoever drew them and say nothing here.
fn hex_id(text: &str) -> Option<u64> {
    let fits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

pub(super) fn attempt_report(reply: Reply, foreign: bool) -> AttemptReport {
    let whole = fields(&reply.body);
    let answer = whole.as_ref().and_then(object);
    let told = answer.and_then(|a| part(a, "parameters"));
    let warm = match told.and_then(|t| text(t, "detail")) {
        Some("resident") => Some(true),
        Some("booted" | "rode") => Some(false),
        _ => None,
    };
    let crowd = told
        .and_then(|t| wrenseam_policy::json::whole(t, "company"))
        .map(|n| n.min(1 << 16) as u32);
    let mut outcome = outcome(&reply);
    let payload = match outcome {
        Outcome::Ok if foreign => answer.and_then(unwrap_answer).map(Payload::Bytes),
        Outcome::Ok => answer.is_some().then_some(Payload::Json(reply.body)),
        _ => None,
    };
    if outcome == Outcome::Ok && payload.is_none() {
        outcome = Outcome::Error; // it ran, but what it said cannot be passed on
    }
    AttemptReport {
        outcome,
        replica_loaded: warm,
        queue_depth: crowd,
        payload,
    }
}

pub(super) fn order_report(reply: &Reply, function: FunctionId, copies: u32) -> (Outcome, u32) {
    let (outcome, whole_body) = (outcome(reply), fields(&reply.body));
    let copies_told = |o: &Object| whole(o, "slots_up").map(|n| n.min(1 << 16) as u32);
    if copies > 0 {
        let told = whole_body
            .as_ref()
            .and_then(object)
            .and_then(|o| part(o, "parameters").and_then(copies_told));
        let stand = if outcome == Outcome::Ok {
            told.unwrap_or(copies)
        } else {
            told.unwrap_or(0)
        };
        return (
            if outcome == Outcome::NotLoaded {
                Outcome::Error
            } else {
                outcome
            },
            stand,
        );
    }
    let name = format!("{function:016x}");
    let Some(Value::Array(models)) = &whole_body else {
        return (
            if outcome == Outcome::Ok {
                Outcome::Error
            } else {
                outcome
            },
            0,
        );
    };
    let ready = |m: &&Object| text(m, "name") == Some(&name) && text(m, "state") == Some("READY");
    let stand = models
        .iter()
        .filter_map(object)
        .filter(ready)
        .map(|m| part(m, "parameters").and_then(copies_told).unwrap_or(1));
    (outcome, stand.sum())
}
