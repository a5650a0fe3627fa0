//! Builds a request from the parameters of a FastCGI request. The platform's gateways define the parameters' names.
use crate::front::{is_valid_idempotency_key, parse_hex_id, NumericParameters, ParameterError};
use crate::limits::Limits;
use crate::model::{Payload, Request};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::records::decode_pairs;

/// The parameters of a FastCGI request, by name.
pub(super) struct Parameters(HashMap<String, String>);

impl Parameters {
    pub(super) fn decode(stream: &[u8]) -> Self {
        Parameters(decode_pairs(stream).into_iter().collect())
    }

    /// The value of a parameter; empty if it is missing.
    fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// The path: `SCRIPT_NAME` or, if that is missing or empty, `REQUEST_URI`.
    pub(super) fn path(&self) -> &str {
        match self.get("SCRIPT_NAME") {
            "" => self.get("REQUEST_URI"),
            path => path,
        }
    }

    /// Builds the request with these parameters and this body, received now.
    pub(super) fn to_request(
        &self,
        body: Vec<u8>,
        limits: &Limits,
    ) -> Result<Request, ParameterError> {
        let class = self
            .path()
            .strip_prefix("/v1/")
            .ok_or(ParameterError::InvalidPath)?;
        let key = self.get("HTTP_REQ_TOKEN");
        if !key.is_empty() && !is_valid_idempotency_key(key) {
            return Err(ParameterError::InvalidIdempotencyKey);
        }
        let numeric = self.numeric()?;
        numeric.check(limits)?;
        Ok(Request {
            wire_id: parse_hex_id(self.get("HTTP_REQ_ID"))
                .ok_or(ParameterError::InvalidRequestId)?,
            class: class.to_owned(),
            tenant: self.get("HTTP_REQ_OWNER").to_owned(),
            function: parse_hex_id(self.get("HTTP_REQ_KEY"))
                .ok_or(ParameterError::InvalidFunction)?,
            timeout: (numeric.timeout_ms * 1000.0) as u64,
            received_at: Instant::now(),
            idempotency_key: (!key.is_empty()).then(|| key.to_owned()),
            is_retry: self.get("HTTP_REQ_RETRY") == "1",
            memory_mb: numeric.memory_mb,
            concurrency: numeric.concurrency as u32,
            load_time: (numeric.load_time_ms * 1000.0) as u64,
            payload: Payload::Bytes(body),
            reserved_bytes: None,
            client_gone: Arc::default(),
            client_probe: None,
            timeline: Arc::default(),
        })
    }

    /// Parses the timeout, and the numbers in `HTTP_X_MORE`, which has the form `name:value;name:value`.
    fn numeric(&self) -> Result<NumericParameters, ParameterError> {
        let mut numeric = NumericParameters {
            timeout_ms: parse_number(self.get("HTTP_REQ_WAIT_MS"))?,
            ..NumericParameters::default()
        };
        let more = self.get("HTTP_X_MORE");
        for (name, value) in more.split(';').filter_map(|pair| pair.split_once(':')) {
            match name.trim() {
                "memory_mb" => numeric.memory_mb = parse_number(value)?,
                "lanes" => numeric.concurrency = parse_number(value)?,
                "load_ms" => numeric.load_time_ms = parse_number(value)?,
                _ => {}
            }
        }
        Ok(numeric)
    }
}

fn parse_number(text: &str) -> Result<f64, ParameterError> {
    text.trim().parse().map_err(|_| ParameterError::NotANumber)
}
