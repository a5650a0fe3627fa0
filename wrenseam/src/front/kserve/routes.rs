//! The routes of the KServe v2 protocol.
use super::answers::error_body;
use super::connection::HttpConnection;
use super::decoder::HttpRequest;
use super::request::to_request;
use crate::front::{messages, parse_hex_id};
use crate::http::Status;
use crate::memory_budget::MemoryReservation;
use crate::model::{Milestone, Request, RequestEnd};
use std::time::Instant;

/// The JSON of the server metadata.
const SERVER_METADATA: &str = concat!(
    r#"{"name":"wrenseam","version":""#,
    env!("CARGO_PKG_VERSION"),
    r#"","extensions":[]}"#
);
/// The JSON of the input and output tensors, which are the same for every model.
const TENSORS: &str = r#"[{"name":"body","datatype":"BYTES","shape":[1]}]"#;

/// The result of handling a request.
pub(super) enum Reply {
    /// The request was passed to the core, which answers later.
    Deferred,
    /// The connection was evicted before the request was passed to the core. The request is dropped without an answer.
    Evicted,
    /// The request is answered at once.
    Now {
        /// The response's status.
        status: Status,
        /// The response's body.
        body: Vec<u8>,
    },
}

impl Reply {
    /// A response with this status and body.
    pub(super) fn now(status: Status, body: impl Into<Vec<u8>>) -> Reply {
        Reply::Now {
            status,
            body: body.into(),
        }
    }

    /// A response with this status and an error body.
    pub(super) fn error(status: Status, reason: &str) -> Reply {
        Reply::now(status, error_body(reason))
    }
}

/// The status of a readiness check.
fn readiness_status(is_ready: bool) -> Status {
    if is_ready {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

/// Handles a request of a KServe v2 client.
pub(super) fn reply(connection: &HttpConnection, request: HttpRequest) -> Reply {
    let HttpRequest { head, body } = request;
    let mut segments = head.path_segments();
    // The path may name a version of the model. Each model has only one, so the version is ignored.
    if segments.len() > 4 && segments[3] == "versions" {
        segments.drain(3..5);
    }
    let is_ready = || connection.context.process_state.accepts_clients();
    match (head.method.as_str(), &segments[..]) {
        ("GET", ["v2", "health", "live"]) => Reply::now(Status::Ok, r#"{"live":true}"#),
        ("GET", ["v2", "health", "ready"]) => server_ready(is_ready()),
        ("GET", ["v2"]) => Reply::now(Status::Ok, SERVER_METADATA),
        (_, ["v2", "models", name, ..]) if parse_hex_id(name).is_none() => {
            Reply::error(Status::NotFound, "unknown model: a name is 16 hex digits")
        }
        ("GET", ["v2", "models", name, "ready"]) => model_ready(name, is_ready()),
        ("GET", ["v2", "models", name]) => model_metadata(name),
        ("POST", ["v2", "models", name, "infer"]) => infer(connection, name, body),
        (_, ["v2", "models", _, "infer" | "ready"] | ["v2", "health", _]) => {
            Reply::error(Status::MethodNotAllowed, "method")
        }
        _ => Reply::error(Status::NotFound, "no such resource"),
    }
}

fn server_ready(is_ready: bool) -> Reply {
    let body = format!("{{\"ready\":{is_ready}}}");
    Reply::now(readiness_status(is_ready), body)
}

fn model_ready(name: &str, is_ready: bool) -> Reply {
    let body = format!("{{\"name\":\"{name}\",\"ready\":{is_ready}}}");
    Reply::now(readiness_status(is_ready), body)
}

fn model_metadata(name: &str) -> Reply {
    let body = format!(
        "{{\"name\":\"{name}\",\"versions\":[\"1\"],\"platform\":\"wrenseam\",\"inputs\":{TENSORS},\"outputs\":{TENSORS}}}"
    );
    Reply::now(Status::Ok, body)
}

/// Passes an inference request to the core, or rejects it.
fn infer(connection: &HttpConnection, name: &str, body: Vec<u8>) -> Reply {
    let context = connection.context;
    let received_at = Instant::now();
    let response_bytes = context.limits.short_response_bytes;
    let size = context.limits.request_record_bytes + response_bytes + body.len();
    let Some(mut reserved_bytes) = context.request_budget.reserve(size) else {
        log_limited!("{}", messages::v2_memory_limit());
        return Reply::error(Status::ServiceUnavailable, "too many bytes are held");
    };
    let request = match to_request(name, body, &context.limits) {
        Ok(request) => request,
        Err(error) => {
            log_limited!("{}", messages::v2_request_invalid(&error));
            return Reply::error(Status::BadRequest, &error.to_string());
        }
    };
    if context.process_state.rejects_requests(&context.limits) {
        // The process drains or is about to exit, and another process accepts the retry.
        context
            .core
            .answered_at_front(request.class, RequestEnd::Rejected);
        return Reply::error(Status::ServiceUnavailable, "the front end is ending");
    }
    if let Some(reason) = backlog_reason(connection, received_at) {
        context
            .core
            .answered_at_front(request.class, RequestEnd::Rejected);
        return Reply::error(Status::ServiceUnavailable, reason);
    }
    let response_memory = reserved_bytes.split(response_bytes);
    let request = Request {
        received_at,
        reserved_bytes: Some(reserved_bytes),
        client_probe: Some(connection.client.channel.out.client_probe()),
        timeline: connection.last_read.timeline(),
        ..request
    };
    submit(connection, request, response_memory)
}

/// Why a request is rejected whose client sends more than is taken or reads less than it is sent; `None` if it does not.
fn backlog_reason(connection: &HttpConnection, now: Instant) -> Option<&'static str> {
    let channel = &connection.client.channel;
    if channel.out.input().is_far_behind(now) {
        return Some("more was sent than is taken");
    }
    channel
        .has_response_backlog()
        .then_some("too many responses are unread")
}

fn submit(
    connection: &HttpConnection,
    request: Request,
    response_memory: MemoryReservation,
) -> Reply {
    let client = &connection.client;
    client.attach_request(connection.tag, &request, response_memory);
    if !client.channel.slot.begin_request() {
        return Reply::Evicted;
    }
    request.timeline.reach(Milestone::Queued, Instant::now());
    connection
        .context
        .core
        .request(request, client.clone(), connection.tag);
    Reply::Deferred
}
