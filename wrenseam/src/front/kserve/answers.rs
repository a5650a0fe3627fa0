//! Responses to HTTP requests, which are sent in the order of the requests.
use crate::front::connection::{ConnectionClient, ConnectionError, ResponseChannel};
use crate::http::{response, Status};
use crate::memory_budget::MemoryReservation;
use crate::model::{Answer, Client, Payload, Request, RequestTrace};
use crate::net::Response;
use crate::worker::kserve::wrap_response;
use may::sync::Mutex;
use miniserde::json::{self, Object, Value};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use wrenseam_policy::json::{object, parse};
use wrenseam_policy::Micros;

/// The body of an error response: a JSON object with the field `error`.
pub fn error_body(text: &str) -> Vec<u8> {
    let mut fields = Object::new();
    fields.insert("error".to_owned(), Value::String(text.to_owned()));
    json::to_string(&fields).into_bytes()
}

/// The response for an answer of the core.
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

/// The body of the response to a request that was served. A JSON object passes unchanged, also from a worker that
/// speaks the platform's binary frames; other bytes are wrapped as one tensor.
fn served_body(payload: Payload) -> Vec<u8> {
    match payload {
        Payload::Json(body) => body,
        Payload::Bytes(body) if is_json_object(&body) => body,
        Payload::Bytes(body) => wrap_response(&body),
    }
}

fn is_json_object(body: &[u8]) -> bool {
    let value = std::str::from_utf8(body)
        .ok()
        .and_then(|text| parse(text).ok());
    value.as_ref().and_then(object).is_some()
}

/// The response to a rejected request. `Retry-After` can express only whole seconds, so `Srv-Wait-Ms` states the advice
/// in ms.
fn rejected_response(retry_after: Micros, close: bool) -> Vec<u8> {
    let headers = format!(
        "Retry-After: {}\r\nSrv-Wait-Ms: {}\r\n",
        retry_after.div_ceil(1_000_000).max(1),
        retry_after.div_ceil(1000)
    );
    let body = error_body("refused, trying again is harmless");
    response(Status::ServiceUnavailable.as_str(), &headers, &body, close)
}

/// A response that has not been sent yet.
struct PendingResponse {
    /// The tag of the request.
    tag: u64,
    /// Whether the connection closes after the response.
    close: bool,
    /// The response; `None` until it is known.
    response: Option<KnownResponse>,
    /// What is kept of the request; `None` if the core does not answer it.
    request: Option<OpenRequest>,
}

/// A response that waits for those before it.
enum KnownResponse {
    /// The response to a request that the core answered.
    Answer(Response, RequestTrace),
    /// A response that the front made itself.
    Direct(Vec<u8>),
}

/// A request that was passed to the core.
struct OpenRequest {
    /// Set when the client disconnects: an attempt that has not started by then is not sent.
    client_gone: Arc<AtomicBool>,
    /// The memory that it keeps for a short response.
    response_memory: MemoryReservation,
    /// What its response is traced by.
    trace: RequestTrace,
}

/// The client of an HTTP connection, which receives the core's answers.
pub(super) struct HttpClient {
    pub(super) channel: ResponseChannel,
    /// The responses that have not been sent yet, in the order of the requests.
    pending: Mutex<VecDeque<PendingResponse>>,
}

impl HttpClient {
    pub(super) fn new(channel: ResponseChannel) -> Self {
        HttpClient {
            channel,
            pending: Mutex::default(),
        }
    }

    /// Adds a pending response for a request. Fails if `limit` responses are pending already.
    pub(super) fn add_pending(
        &self,
        tag: u64,
        close: bool,
        limit: usize,
    ) -> Result<(), ConnectionError> {
        let pending = self.pending.lock();
        let mut pending = pending.map_err(|_| ConnectionError::Poisoned)?;
        if pending.len() >= limit {
            return Err(ConnectionError::TooManyRequests(limit));
        }
        pending.push_back(PendingResponse {
            tag,
            close,
            response: None,
            request: None,
        });
        Ok(())
    }

    /// Stores what the response to a request needs that is passed to the core.
    pub(super) fn attach_request(
        &self,
        tag: u64,
        request: &Request,
        response_memory: MemoryReservation,
    ) {
        let Ok(mut pending) = self.pending.lock() else {
            return;
        };
        if let Some(response) = pending.iter_mut().find(|response| response.tag == tag) {
            response.request = Some(OpenRequest {
                client_gone: request.client_gone.clone(),
                response_memory,
                trace: request.trace(),
            });
        }
    }

    /// Stores a response that the front makes itself, then sends what is due. `bytes` gets whether the connection closes
    /// after the response.
    pub(super) fn respond(&self, tag: u64, bytes: impl FnOnce(bool) -> Vec<u8>) {
        self.store_and_send(tag, |pending| {
            Some(KnownResponse::Direct(bytes(pending.close)))
        });
    }

    /// The response for an answer of the core, as far as there is memory for it; `None` if the request was not passed to
    /// the core.
    fn fit_answer(&self, pending: &mut PendingResponse, answer: Answer) -> Option<KnownResponse> {
        let request = pending.request.take()?;
        let close = pending.close;
        let response = self.channel.out.fit_answer(
            answer_response(answer, close),
            request.response_memory,
            || answer_response(Answer::Failed, close),
        );
        Some(KnownResponse::Answer(response, request.trace))
    }

    /// Stores the response to a request, then sends the pending responses up to the first one that is not known yet.
    fn store_and_send(
        &self,
        tag: u64,
        known_response: impl FnOnce(&mut PendingResponse) -> Option<KnownResponse>,
    ) {
        let Ok(mut pending) = self.pending.lock() else {
            return;
        };
        let response = pending
            .iter_mut()
            .find(|response| response.tag == tag && response.response.is_none());
        if let Some(response) = response {
            response.response = known_response(response);
        }
        while let Some(response) = pending.front_mut().and_then(|first| first.response.take()) {
            let Some(first) = pending.pop_front() else {
                return;
            };
            match response {
                KnownResponse::Answer(response, trace) => {
                    self.channel.out.send_answer(response, trace);
                }
                KnownResponse::Direct(bytes) => self.channel.out.send(bytes),
            }
            self.channel.close_if(first.close);
        }
    }
}

impl Client for HttpClient {
    fn answer(&self, tag: u64, answer: Answer) {
        let was_valid = !matches!(answer, Answer::Failed);
        self.channel.slot.answer_request(was_valid, || {
            self.store_and_send(tag, |pending| self.fit_answer(pending, answer));
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
            for request in pending
                .iter()
                .filter_map(|response| response.request.as_ref())
            {
                request.client_gone.store(true, Ordering::Release);
            }
        }
    }
}
