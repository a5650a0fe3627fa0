//! Builds a request from the body of a KServe v2 inference request. Clients send these parameter names, so they stay.
use crate::front::{is_valid_idempotency_key, parse_hex_id, NumericParameters, ParameterError};
use crate::limits::Limits;
use crate::model::{Payload, Request};
use miniserde::json::Object;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::json::{flag, nested_object, number, object, parse, text};

/// The id that workers see: the client's id if that is 16 hexadecimal digits, otherwise a random number.
fn wire_id(id: Option<&str>) -> u64 {
    id.and_then(parse_hex_id)
        .unwrap_or_else(|| RandomState::new().hash_one(id))
}

/// Builds the request to the model `name`, received now. The body is kept unchanged.
pub(super) fn to_request(
    name: &str,
    body: Vec<u8>,
    limits: &Limits,
) -> Result<Request, ParameterError> {
    let value = std::str::from_utf8(&body)
        .ok()
        .and_then(|text| parse(text).ok());
    let fields = value
        .as_ref()
        .and_then(object)
        .ok_or(ParameterError::NotAnObject)?;
    let no_parameters = Object::new();
    let parameters = nested_object(fields, "parameters").unwrap_or(&no_parameters);
    let key = text(parameters, "token");
    if key.is_some_and(|key| !is_valid_idempotency_key(key)) {
        return Err(ParameterError::InvalidIdempotencyKey);
    }
    let numeric = numeric(parameters, limits)?;
    numeric.check(limits)?;
    Ok(Request {
        wire_id: wire_id(text(fields, "id")),
        class: text(parameters, "class")
            .ok_or(ParameterError::MissingClass)?
            .to_owned(),
        tenant: text(parameters, "tenant").unwrap_or_default().to_owned(),
        function: parse_hex_id(name).ok_or(ParameterError::UnknownModel)?,
        timeout: (numeric.timeout_ms * 1000.0) as u64,
        received_at: Instant::now(),
        idempotency_key: key.map(str::to_owned),
        is_retry: flag(parameters, "retry"),
        memory_mb: numeric.memory_mb,
        concurrency: numeric.concurrency as u32,
        load_time: (numeric.load_time_ms * 1000.0) as u64,
        payload: Payload::Json(body),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
        timeline: Arc::default(),
    })
}

/// Reads the numeric parameters, with defaults for those that are not stated.
fn numeric(parameters: &Object, limits: &Limits) -> Result<NumericParameters, ParameterError> {
    let get = |name: &str, default: f64| match parameters.get(name) {
        Some(_) => number(parameters, name).ok_or(ParameterError::NotANumber),
        None => Ok(default),
    };
    Ok(NumericParameters {
        timeout_ms: get("wait_ms", limits.default_request_timeout as f64 / 1000.0)?,
        memory_mb: get("memory_mb", 0.0)?,
        concurrency: get("lanes", 0.0)?,
        load_time_ms: get("load_ms", 0.0)?,
    })
}
