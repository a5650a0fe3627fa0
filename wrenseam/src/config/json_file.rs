//! A configuration file that holds one JSON object.
use super::ConfigError;
use miniserde::json::{Object, Value};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use wrenseam_policy::json::{as_text, list, nested_object, number, parse, text};

/// The file's path, which errors name, and its fields.
pub(super) struct JsonFile {
    path: String,
    fields: Object,
}

impl JsonFile {
    pub(super) fn read(path: &str) -> Result<JsonFile, ConfigError> {
        let content =
            std::fs::read_to_string(path).map_err(|source| ConfigError::UnreadableFile {
                file: path.to_owned(),
                source,
            })?;
        let file = path.to_owned();
        match parse(&content) {
            Ok(Value::Object(fields)) => Ok(JsonFile { path: file, fields }),
            Ok(_) => Err(ConfigError::NotAnObject { file }),
            Err(_) => Err(ConfigError::NotJson { file }),
        }
    }

    /// A copy of the path for an error.
    pub(super) fn path(&self) -> String {
        self.path.clone()
    }

    pub(super) fn into_fields(self) -> Object {
        self.fields
    }

    pub(super) fn value(&self, key: &str) -> Option<&Value> {
        self.fields.get(key)
    }

    pub(super) fn object(&self, key: &str) -> Option<&Object> {
        nested_object(&self.fields, key)
    }

    pub(super) fn text(&self, key: &str) -> Option<&str> {
        text(&self.fields, key)
    }

    /// The strings of a list, which may be absent. `expected` tells operators what the list must hold.
    pub(super) fn texts(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<Vec<&str>, ConfigError> {
        let mut strings = Vec::new();
        for value in list(&self.fields, key) {
            let string = as_text(value).ok_or_else(|| ConfigError::WrongElement {
                file: self.path(),
                key,
                expected,
            })?;
            strings.push(string);
        }
        Ok(strings)
    }

    /// An address, which may be absent; a value that is not a string counts as absent.
    pub(super) fn address(&self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(value) = self.text(key) else {
            return Ok(None);
        };
        let address = value
            .parse()
            .map_err(|source| ConfigError::InvalidAddress {
                file: self.path(),
                key,
                value: value.to_owned(),
                source,
            })?;
        Ok(Some(address))
    }

    pub(super) fn required_address(&self, key: &'static str) -> Result<SocketAddr, ConfigError> {
        self.address(key)?.ok_or_else(|| ConfigError::MissingKey {
            file: self.path(),
            key,
        })
    }

    /// A number, which must be within a range; an absent value, or one that is not a number, counts as `default`.
    pub(super) fn number_within(
        &self,
        key: &'static str,
        default: f64,
        allowed: RangeInclusive<f64>,
    ) -> Result<f64, ConfigError> {
        let value = number(&self.fields, key).unwrap_or(default);
        if value.is_finite() && allowed.contains(&value) {
            return Ok(value);
        }
        Err(ConfigError::OutOfRange {
            file: self.path(),
            key,
            value,
            min: *allowed.start(),
            max: *allowed.end(),
        })
    }

    /// A boolean; an absent one counts as `default`.
    pub(super) fn boolean(&self, key: &'static str, default: bool) -> Result<bool, ConfigError> {
        match self.value(key) {
            None => Ok(default),
            Some(Value::Bool(value)) => Ok(*value),
            Some(_) => Err(ConfigError::NotABoolean {
                file: self.path(),
                key,
            }),
        }
    }
}
