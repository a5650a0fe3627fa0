//! Lenient access to JSON fields of the simulator's protocol, the platform's files and KServe v2.
//! A field that is missing or of another type reads as "not stated", since newer senders may add or omit fields.
use crate::types::Micros;
use miniserde::json::{self, Number, Object, Value};
use std::fmt;

/// The text is not valid JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotJson;

impl fmt::Display for NotJson {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not JSON")
    }
}

impl std::error::Error for NotJson {}

/// Parses a text as one JSON value.
///
/// # Errors
///
/// [`NotJson`] if the text is not valid JSON.
pub fn parse(text: &str) -> Result<Value, NotJson> {
    json::from_str(text).map_err(|_| NotJson)
}

/// The fields of the value, if it is an object.
pub fn object(value: &Value) -> Option<&Object> {
    match value {
        Value::Object(fields) => Some(fields),
        _ => None,
    }
}

/// The object under a key.
pub fn nested_object<'a>(fields: &'a Object, key: &str) -> Option<&'a Object> {
    fields.get(key).and_then(object)
}

/// The array under a key; empty if there is none.
pub fn list<'a>(fields: &'a Object, key: &str) -> &'a [Value] {
    match fields.get(key) {
        Some(Value::Array(items)) => items,
        _ => &[],
    }
}

/// The value as a string, if it is one.
pub fn as_text(value: &Value) -> Option<&str> {
    match value {
        Value::String(text) => Some(text),
        _ => None,
    }
}

/// The string under a key.
pub fn text<'a>(fields: &'a Object, key: &str) -> Option<&'a str> {
    fields.get(key).and_then(as_text)
}

/// The value as a number, if it is one.
pub fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(n)) => Some(*n as f64),
        Value::Number(Number::I64(n)) => Some(*n as f64),
        Value::Number(Number::F64(n)) => Some(*n),
        _ => None,
    }
}

/// The number under a key.
pub fn number(fields: &Object, key: &str) -> Option<f64> {
    fields.get(key).and_then(as_number)
}

/// The unsigned integer under a key.
pub fn unsigned(fields: &Object, key: &str) -> Option<u64> {
    match fields.get(key) {
        Some(Value::Number(Number::U64(n))) => Some(*n),
        _ => None,
    }
}

/// The boolean under a key; false if there is none.
pub fn flag(fields: &Object, key: &str) -> bool {
    matches!(fields.get(key), Some(Value::Bool(true)))
}

/// A duration that is given in milliseconds under a key; 0 if it is negative or not a number (`as` saturates).
pub fn duration(fields: &Object, key: &str) -> Micros {
    (number(fields, key).unwrap_or(0.0) * 1000.0).round() as Micros
}

/// A count under a key, clamped to 0 to 65,536; 0 if there is no number.
pub fn count(fields: &Object, key: &str) -> u32 {
    number(fields, key).unwrap_or(0.0).clamp(0.0, 65_536.0) as u32
}

/// Position of a name in a list; the list's length if it is not found.
pub fn position(names: &[String], name: Option<&str>) -> usize {
    let name = name.unwrap_or_default();
    names.iter().position(|n| n == name).unwrap_or(names.len())
}
