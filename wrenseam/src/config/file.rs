//! Files of JSON, and addresses in them.
use miniserde::json::{Object, Value};
use std::net::SocketAddr;
use wrenseam_policy::json::{as_text, parse};

pub(super) type Read<T> = Result<T, String>;

pub(super) fn file(path: &str) -> Read<Object> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    match parse(&text) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(format!("{path}: not a JSON object")),
        Err(e) => Err(format!("{path}: {e}")),
    }
}

pub(super) fn address(fields: &Object, key: &str) -> Read<Option<SocketAddr>> {
    let parse = |t: &str| {
        t.parse()
            .map_err(|_| format!("'{key}' is not HOST:PORT: {t}"))
    };
    fields.get(key).and_then(as_text).map(parse).transpose()
}
