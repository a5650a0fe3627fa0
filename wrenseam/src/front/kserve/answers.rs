//! Answers to v2 requests, in the order of the requests.
use crate::http::response;
use crate::model::{Answer, Client, Payload};
use crate::net::{Occupant, Outbox};
use crate::worker::kserve::wrap_answer;
use may::sync::Mutex;
use miniserde::json::{self, Object, Value};
use std::collections::VecDeque;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use wrenseam_policy::json::{object, parse};

/// An error object of the protocol.
pub fn error(text: &str) -> Vec<u8> {
    let mut fields = Object::new();
    fields.insert("error".to_owned(), Value::String(text.to_owned()));
    json::to_string(&fields).into_bytes()
}

pub(super) fn answer_bytes(answer: Answer, close: bool) -> Vec<u8> {
    match answer {
        Answer::Served(Payload::Json(body)) => response("200 OK", "", &body, close),
        Answer::Served(Payload::Bytes(body)) => {
            // A worker of the platform's protocol: JSON passes unchanged, other bytes as one tensor.
            let whole = std::str::from_utf8(&body).ok().and_then(|t| parse(t).ok());
            let body = if whole.as_ref().and_then(object).is_some() {
                body
            } else {
                wrap_answer(&body)
            };
            response("200 OK", "", &body, close)
        }
        Answer::Rejected { retry_after } => {
            // Retry-After knows whole seconds only; the exact advice stands beside it.
            let told = format!(
                "Retry-After: {}\r\nSrv-Wait-Ms: {}\r\n",
                retry_after.div_ceil(1_000_000).max(1),
                retry_after.div_ceil(1000)
            );
            response(
                "503 Service Unavailable",
                &told,
                &error("refused, trying again is harmless"),
                close,
            )
        }
        Answer::Failed => response("500 Internal Server Error", "", &error("failed"), close),
    }
}

/// An answer's place in the order of the connection's requests.
pub(super) struct Slot {
    pub(super) tag: u64,
    pub(super) close: bool,
    pub(super) ready: Option<Vec<u8>>,
    /// To be set once the client has left: what waits to be sent on then is not.
    pub(super) gone: Arc<AtomicBool>,
}

pub(super) struct Side {
    pub(super) occupant: Arc<Occupant>,
    pub(super) out: Outbox,
    pub(super) slots: Mutex<VecDeque<Slot>>,
}

impl Side {
    /// Puts an answer in its place and writes what is ready from the front on.
    pub(super) fn fill(&self, tag: u64, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let Ok(mut slots) = self.slots.lock() else {
            return;
        };
        if let Some(slot) = slots.iter_mut().find(|s| s.tag == tag && s.ready.is_none()) {
            slot.ready = Some(bytes(slot.close));
        }
        while slots.front().is_some_and(|s| s.ready.is_some()) {
            let Some(Slot {
                ready: Some(bytes),
                close,
                ..
            }) = slots.pop_front()
            else {
                return;
            };
            self.out.send(bytes);
            if close {
                self.out.close();
            }
        }
    }
}

impl Client for Side {
    fn answer(&self, tag: u64, answer: Answer) {
        self.occupant
            .answered(!matches!(answer, Answer::Failed), || {
                self.fill(tag, |close| answer_bytes(answer, close));
            });
    }

    fn connection(&self) -> u64 {
        self.occupant.number
    }
}
