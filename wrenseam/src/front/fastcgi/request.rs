//! The neutral request behind the parameters of a FastCGI request.
use crate::front::{function, token_fits, Figures};
use crate::limits::Limits;
use crate::model::{Payload, Request};
use std::sync::Arc;
use std::time::Instant;

/// The neutral request behind the parameters.
pub(super) fn neutral<'a>(
    path: &str,
    word: &impl Fn(&str) -> &'a str,
    body: Vec<u8>,
    limits: &Limits,
) -> Result<Request, &'static str> {
    let class = path
        .strip_prefix("/v1/")
        .ok_or("the path is not /v1/CLASS")?;
    let id = word("HTTP_REQ_ID");
    let token = word("HTTP_REQ_TOKEN");
    if !token.is_empty() && !token_fits(token) {
        return Err("the key cannot travel");
    }
    let number = |text: &str| {
        text.trim()
            .parse::<f64>()
            .map_err(|_| "a figure is no number")
    };
    let mut told = Figures {
        wait_ms: number(word("HTTP_REQ_WAIT_MS"))?,
        ..Figures::default()
    };
    for (name, value) in word("HTTP_X_MORE")
        .split(';')
        .filter_map(|pair| pair.split_once(':'))
    {
        match name.trim() {
            "memory_mb" => told.memory_mb = number(value)?,
            "lanes" => told.lanes = number(value)?,
            "load_ms" => told.load_ms = number(value)?,
            _ => {}
        }
    }
    told.check(limits)?;
    Ok(Request {
        wire_id: function(id).ok_or("Req-Id is not 16 hex digits")?,
        class: class.to_owned(),
        tenant: word("HTTP_REQ_OWNER").to_owned(),
        function: function(word("HTTP_REQ_KEY")).ok_or("Req-Key is not 16 hex digits")?,
        timeout: (told.wait_ms * 1000.0) as u64,
        received_at: Instant::now(),
        idempotency_key: (!token.is_empty()).then(|| token.to_owned()),
        is_retry: word("HTTP_REQ_RETRY") == "1",
        memory_mb: told.memory_mb,
        concurrency: told.lanes as u32,
        load_time: (told.load_ms * 1000.0) as u64,
        payload: Payload::Bytes(body),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}
