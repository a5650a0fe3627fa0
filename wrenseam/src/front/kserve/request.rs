//! The neutral request behind a v2 body.
use crate::front::{function, token_fits, Figures};
use crate::limits::Limits;
use crate::model::{Payload, Request};
use miniserde::json::Object;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::json::{flag, number, object, parse, part, text};

/// The id that workers see: 16 hex digits as they are, any other text or none as a number drawn from it.
pub(super) fn wire_id(id: Option<&str>) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    id.and_then(function)
        .unwrap_or_else(|| RandomState::new().hash_one(id))
}

/// The neutral request behind a v2 body, which itself stays as it is.
pub(super) fn neutral(name: &str, body: Vec<u8>, limits: &Limits) -> Result<Request, &'static str> {
    let whole = std::str::from_utf8(&body).ok().and_then(|t| parse(t).ok());
    let fields = whole
        .as_ref()
        .and_then(object)
        .ok_or("the body is no JSON object")?;
    let empty = Object::new();
    let told = part(fields, "parameters").unwrap_or(&empty);
    let token = text(told, "token");
    if token.is_some_and(|t| !token_fits(t)) {
        return Err("the key cannot travel");
    }
    let figure = |name: &str, other: f64| match told.get(name) {
        Some(_) => number(told, name).ok_or("a figure is no number"),
        None => Ok(other),
    };
    let figures = Figures {
        wait_ms: figure("wait_ms", limits.default_wait as f64 / 1000.0)?,
        memory_mb: figure("memory_mb", 0.0)?,
        lanes: figure("lanes", 0.0)?,
        load_ms: figure("load_ms", 0.0)?,
    };
    figures.check(limits)?;
    Ok(Request {
        wire_id: wire_id(text(fields, "id")),
        class: text(told, "class")
            .ok_or("no 'class' among the parameters")?
            .to_owned(),
        tenant: text(told, "tenant").unwrap_or_default().to_owned(),
        function: function(name).ok_or("unknown model")?,
        timeout: (figures.wait_ms * 1000.0) as u64,
        received_at: Instant::now(),
        idempotency_key: token.map(str::to_owned),
        is_retry: flag(told, "retry"),
        memory_mb: figures.memory_mb,
        concurrency: figures.lanes as u32,
        load_time: (figures.load_ms * 1000.0) as u64,
        payload: Payload::Json(body),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}
