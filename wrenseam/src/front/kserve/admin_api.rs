//! The routes of the read-only administration API.
use super::connection::HttpConnection;
use super::decoder::HttpRequest;
use super::routes::Reply;
use crate::http::Status;
use crate::queue::Message;

/// Handles a request to the administration API.
pub(super) fn reply(connection: &HttpConnection, request: HttpRequest) -> Reply {
    let is_ready = || connection.context.process_state.accepts_clients();
    match (request.head.method.as_str(), request.head.path()) {
        ("GET", "/healthz") if is_ready() => Reply::now(Status::Ok, r#"{"ready":true}"#),
        ("GET", "/healthz") => Reply::now(Status::ServiceUnavailable, r#"{"ready":false}"#),
        ("GET", "/v1/state") => state(connection),
        ("GET", _) => Reply::error(Status::NotFound, "there are /healthz and /v1/state"),
        _ => Reply::error(Status::MethodNotAllowed, "this API is read-only"),
    }
}

/// Answers with the core's state report. Waits until the core has sent it.
fn state(connection: &HttpConnection) -> Reply {
    let (reply, report) = may::sync::mpsc::channel();
    let _ = connection.context.core.send(Message::StateReport { reply }); // fails only if the core has ended
    match report.recv() {
        Ok(report) => Reply::now(Status::Ok, report),
        Err(_) => Reply::error(Status::ServiceUnavailable, "the core is ending"),
    }
}
