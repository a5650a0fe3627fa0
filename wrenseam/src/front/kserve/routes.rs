//! What each path of the v2 protocol and of the administration API answers.
use super::answers::error;
use super::connection::Reader;
use super::request::neutral;
use crate::front::function;
use crate::http::Head;
use crate::model::{Request, RequestEnd};
use crate::queue::Message;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// What becomes of a request at once.
pub(super) enum Reply {
    /// The core answers later.
    Later,
    /// The connection ended before the request was read: it is not sent on, and cannot be answered.
    Never,
    /// Status, and body.
    Now(&'static str, Vec<u8>),
}

pub(super) fn refuse(status: &'static str, why: &str) -> Reply {
    Reply::Now(status, error(why))
}

impl Reader<'_> {
    fn ready(&self) -> bool {
        self.doors.shared.taking()
    }

    pub(super) fn kserve(&self, tag: u64, head: &Head, body: Vec<u8>) -> Reply {
        let path = head.target.split('?').next().unwrap_or_default();
        let mut parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        // A version may be named; there is one.
        if parts.len() > 4 && parts[3] == "versions" {
            parts.drain(3..5);
        }
        let method = head.method.as_str();
        let state = |name: &str, good: bool| {
            let status = if good {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            Reply::Now(status, format!("{{\"{name}\":{good}}}").into_bytes())
        };
        match (method, &parts[..]) {
            ("GET", ["v2", "health", "live"]) => state("live", true),
            ("GET", ["v2", "health", "ready"]) => state("ready", self.ready()),
            ("GET", ["v2"]) => {
                let text = concat!(
                    r#"{"name":"wrenseam","version":""#,
                    env!("CARGO_PKG_VERSION"),
                    r#"","extensions":[]}"#
                );
                Reply::Now("200 OK", text.as_bytes().to_vec())
            }
            (_, ["v2", "models", name, ..]) if function(name).is_none() => {
                refuse("404 Not Found", "unknown model: a name is 16 hex digits")
            }
            ("GET", ["v2", "models", name, "ready"]) => {
                let good = self.ready();
                let status = if good {
                    "200 OK"
                } else {
                    "503 Service Unavailable"
                };
                Reply::Now(
                    status,
                    format!("{{\"name\":\"{name}\",\"ready\":{good}}}").into_bytes(),
                )
            }
            ("GET", ["v2", "models", name]) => {
                let tensor = r#"[{"name":"body","datatype":"BYTES","shape":[1]}]"#;
                let text = format!(
                    "{{\"name\":\"{name}\",\"versions\":[\"1\"],\"platform\":\"wrenseam\",\"inputs\":{tensor},\"outputs\":{tensor}}}"
                );
                Reply::Now("200 OK", text.into_bytes())
            }
            ("POST", ["v2", "models", name, "infer"]) => self.infer(tag, name, body),
            (_, ["v2", "models", _, "infer" | "ready"]) | (_, ["v2", "health", _]) => {
                refuse("405 Method Not Allowed", "method")
            }
            _ => refuse("404 Not Found", "no such resource"),
        }
    }

    fn infer(&self, tag: u64, name: &str, body: Vec<u8>) -> Reply {
        let read_at = Instant::now();
        let Some(held) = self.doors.budget.take(body.len()) else {
            note!("kserve: request refused: the bytes held over all requests are at their bound");
            return refuse("503 Service Unavailable", "too many bytes are held");
        };
        match neutral(name, body, &self.doors.limits) {
            Ok(request) if self.doors.shared.stopping.load(Ordering::Acquire) => {
                // As on the other front: the process ends soon, another takes what comes now.
                self.doors
                    .core
                    .ended_at_front(request.class, RequestEnd::Rejected);
                refuse("503 Service Unavailable", "the front end is ending")
            }
            Ok(request) => {
                let request = Request {
                    received_at: read_at,
                    reserved_bytes: Some(held),
                    client_probe: Some(self.side.out.client_probe()),
                    ..request
                };
                let slots = self.side.slots.lock();
                if let Some(slot) = slots
                    .ok()
                    .as_mut()
                    .and_then(|s| s.iter_mut().find(|s| s.tag == tag))
                {
                    slot.gone = request.client_gone.clone();
                }
                if !self.side.occupant.opened() {
                    return Reply::Never;
                }
                self.doors.core.request(request, self.side.clone(), tag);
                Reply::Later
            }
            Err(why) => {
                note!("kserve: request failed: {why}");
                refuse("400 Bad Request", why)
            }
        }
    }

    pub(super) fn admin(&self, _tag: u64, head: &Head, _body: Vec<u8>) -> Reply {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", "/healthz") if self.ready() => {
                Reply::Now("200 OK", b"{\"ready\":true}".to_vec())
            }
            ("GET", "/healthz") => {
                Reply::Now("503 Service Unavailable", b"{\"ready\":false}".to_vec())
            }
            ("GET", "/v1/state") => {
                let (ask, answer) = may::sync::mpsc::channel();
                let _ = self.doors.core.send(Message::Inspect { reply: ask });
                match answer.recv() {
                    Ok(state) => Reply::Now("200 OK", state.into_bytes()),
                    Err(_) => refuse("503 Service Unavailable", "the core is ending"),
                }
            }
            ("GET", _) => refuse("404 Not Found", "there are /healthz and /v1/state"),
            _ => refuse("405 Method Not Allowed", "this API is read-only"),
        }
    }
}
