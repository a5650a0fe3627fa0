//! Responses to HTTP requests, in the order of the requests.
use crate::front::connection::{ConnectionClient, ConnectionError, ResponseChannel};
use crate::http::{response, Status};
use crate::model::{Answer, Client, Payload};
use crate::worker::kserve::wrap_answer;
use may::sync::Mutex;
use miniserde::json::{self, Object, Value};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wrenseam_policy::json::{object, parse};
use wrenseam_policy::Micros;

/// An error object of the protocol.
pub fn error_body(text: &str) -> Vec<u8> {
    let mut fields = Object::new();
    fields.insert("error".to_owned(), Value::String(text.to_owned()));
    json::to_string(&fields).into_bytes()
}

/// The response that an answer of the core becomes.
fn answer_response(answer: Answer, close: bool) -> Vec<u8> {
    match answer {
        Answer::Served(payload) => {
            let body = served_body(payload);
            response(Status::Ok.as_str(), "", &body, close)
        }
        Answer::Rejected { retry_after } => rejected_response(retry_after, close),
        Answer::Failed => {
            let status = Status::InternalServerError.as_str();
            response(status, "", &error_body("failed"), close)
        }
    }
}

/// The body for the client: a worker of the platform's protocol may send JSON, which passes unchanged; other bytes
/// go as one tensor.
fn served_body(payload: Payload) -> Vec<u8> {
    match payload {
        Payload::Json(body) => body,
        Payload::Bytes(body) if is_json_object(&body) => body,
        Payload::Bytes(body) => wrap_answer(&body),
    }
}

fn is_json_object(body: &[u8]) -> bool {
    let value = std::str::from_utf8(body)
        .ok()
        .and_then(|text| parse(text).ok());
    value.as_ref().and_then(object).is_some()
}

/// `Retry-After` knows whole seconds only; the exact advice stands beside it.
fn rejected_response(retry_after: Micros, close: bool) -> Vec<u8> {
    let headers = format!(
        "Retry-After: {}\r\nSrv-Wait-Ms: {}\r\n",
        retry_after.div_ceil(1_000_000).max(1),
        retry_after.div_ceil(1000)
    );
    let body = error_body("refused, trying again is harmless");
    response(Status::ServiceUnavailable.as_str(), &headers, &body, close)
}

/// The place of a response in the order of the connection's requests.
struct PendingResponse {
    tag: u64,
    /// Whether the connection closes behind it.
    close: bool,
    /// Its bytes, once they are there.
    bytes: Option<Vec<u8>>,
    /// To be set once the client has left: an attempt that has not begun by then is not sent.
    client_gone: Arc<AtomicBool>,
}

/// The client of an HTTP connection, as the core sees it.
pub(super) struct HttpClient {
    pub(super) channel: ResponseChannel,
    pending: Mutex<VecDeque<PendingResponse>>,
}

impl HttpClient {
    pub(super) fn new(channel: ResponseChannel) -> Self {
        HttpClient {
            channel,
            pending: Mutex::default(),
        }
    }

    /// Keeps a place for the response to a request, if so few are open.
    pub(super) fn open(&self, tag: u64, close: bool, limit: usize) -> Result<(), ConnectionError> {
        let pending = self.pending.lock();
        let mut pending = pending.map_err(|_| ConnectionError::Poisoned)?;
        if pending.len() >= limit {
            return Err(ConnectionError::TooManyRequests);
        }
        pending.push_back(PendingResponse {
            tag,
            close,
            bytes: None,
            client_gone: Arc::default(),
        });
        Ok(())
    }

    /// Names the flag that is set if the client leaves before this response.
    pub(super) fn watch(&self, tag: u64, client_gone: Arc<AtomicBool>) {
        let Ok(mut pending) = self.pending.lock() else {
            return;
        };
        if let Some(response) = pending.iter_mut().find(|response| response.tag == tag) {
            response.client_gone = client_gone;
        }
    }

    /// Puts a response in its place and sends what is ready from the front on.
    pub(super) fn respond(&self, tag: u64, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let Ok(mut pending) = self.pending.lock() else {
            return;
        };
        let response = pending
            .iter_mut()
            .find(|response| response.tag == tag && response.bytes.is_none());
        if let Some(response) = response {
            response.bytes = Some(bytes(response.close));
        }
        while let Some(bytes) = pending.front_mut().and_then(|first| first.bytes.take()) {
            self.channel.out.send(bytes);
            let close = pending.pop_front().is_some_and(|first| first.close);
            self.channel.close_if(close);
        }
    }
}

impl Client for HttpClient {
    fn answer(&self, tag: u64, answer: Answer) {
        let was_valid = !matches!(answer, Answer::Failed);
        self.channel.slot.answer_request(was_valid, || {
            self.respond(tag, |close| answer_response(answer, close));
        });
    }

    fn connection(&self) -> u64 {
        self.channel.slot.number
    }
}

impl ConnectionClient for HttpClient {
    fn channel(&self) -> &ResponseChannel {
        &self.channel
    }

    fn mark_disconnected(&self) {
        if let Ok(pending) = self.pending.lock() {
            for response in pending.iter() {
                response.client_gone.store(true, Ordering::Release);
            }
        }
    }
}
