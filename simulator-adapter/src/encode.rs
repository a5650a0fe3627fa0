//! Encodes the policy's actions as the simulator's messages: translates the names of messages and fields, and the units
//! of values.
use miniserde::json::{self, Number, Object, Value};
use wrenseam_policy::{Action, FunctionId, Micros, WorkerId};

/// A field of a message: its key and value.
type Field = (&'static str, Value);

/// Appends the message that ends the reply to a batch.
pub(crate) fn ready(reply: &mut String, batch: u64) {
    write_line(reply, "READY", vec![number("n", batch)]);
}

/// Appends the message for an action of a front end.
pub(crate) fn action(reply: &mut String, front_end: u64, action: Action) {
    let (name, mut fields) = message(action);
    fields.push(number("gateway", front_end));
    write_line(reply, name, fields);
}

/// The name and the fields of the message for an action.
fn message(action: Action) -> (&'static str, Vec<Field>) {
    match action {
        Action::Send {
            id,
            worker,
            timeout,
            ..
        } => (
            "DELIVER",
            vec![
                number("id", id),
                host(worker),
                milliseconds("allow-for", timeout),
            ],
        ),
        Action::Cancel { id, attempt } => (
            "CALL_OFF",
            vec![number("id", id), number("hop", attempt as u64)],
        ),
        Action::Reject { id, retry_after } => (
            "SHED",
            vec![number("id", id), milliseconds("cool-down", retry_after)],
        ),
        Action::Fail { id } => ("ABORT", vec![number("id", id)]),
        Action::Timer { delay, token } => (
            "TIMER",
            vec![milliseconds("offset", delay), number("ctx", token)],
        ),
        Action::Load {
            worker,
            function,
            replicas,
        } => (
            "START_COPY",
            vec![
                host(worker),
                image(function),
                number("copies", replicas.into()),
            ],
        ),
        Action::Unload { worker, function } => {
            ("RELEASE_IDLE", vec![host(worker), image(function)])
        }
        Action::WatchEndpoints => ("WATCH", vec![("on", Value::Bool(true))]),
        Action::Log { text } => ("JOURNAL_LINE", vec![("msg", Value::String(text))]),
    }
}

fn number(key: &'static str, number: u64) -> Field {
    (key, Value::Number(Number::U64(number)))
}

fn milliseconds(key: &'static str, micros: Micros) -> Field {
    (key, Value::Number(Number::F64(micros as f64 / 1000.0)))
}

fn host(worker: WorkerId) -> Field {
    ("host", Value::String(worker))
}

fn image(function: FunctionId) -> Field {
    ("image", Value::String(format!("{function:016x}")))
}

fn write_line(reply: &mut String, name: &str, fields: Vec<Field>) {
    let body: Object = fields
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
    let mut outer = Object::new();
    outer.insert(name.to_owned(), Value::Object(body));
    reply.push_str(&json::to_string(&outer));
    reply.push('\n');
}
