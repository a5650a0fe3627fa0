//! Tracks the endpoints under a key prefix of an etcd v3 registry: takes the bodies of range and watch responses, as
//! etcd's JSON gateway sends them, and returns endpoint updates. No I/O and no clock: time is an argument. See
//! docs/registry.md.
use crate::discovery::event::parse_instance;
use crate::model::Endpoint;
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{Object, Value};
use std::collections::{BTreeMap, HashSet};
use thiserror::Error;
use wrenseam_policy::json::{list, nested_object, object, parse, text};
use wrenseam_policy::{Micros, WorkerState};

/// The effect of a response body.
#[derive(Debug, PartialEq)]
pub enum EtcdUpdate {
    /// These endpoints have changed.
    Endpoints(Vec<Endpoint>),
    /// Nothing has changed: the body is a progress notification, or repeats events received before.
    Unchanged,
    /// The watch cannot continue: the whole prefix must be read again with a range request.
    ResyncRequired(ResyncReason),
}

/// Why the whole prefix must be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResyncReason {
    /// The registry no longer has the events after the last known revision.
    #[error("the last known revision was compacted")]
    Compacted,
    /// The registry cancelled the watch.
    #[error("the watch was cancelled")]
    Cancelled,
    /// The response comes from another cluster than those before.
    #[error("another cluster responds")]
    OtherCluster,
    /// The registry's revision is lower than the last known one, as after a restore.
    #[error("the registry's revision is lower than the last known one")]
    RevisionWentBack,
}

/// Why a body is invalid as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EtcdError {
    /// It is not JSON.
    #[error("not JSON")]
    NotJson,
    /// It is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
}

/// The last known state of one key.
struct KeyState {
    create_revision: i64,
    endpoint: Endpoint,
}

/// A key and the endpoint that its value holds.
struct KeyEndpoint {
    key: String,
    endpoint: Endpoint,
}

/// Tracks one key prefix: holds its last known revision, its cluster and the last valid endpoint of each key.
pub struct EtcdFollower {
    prefix: String,
    revision: i64,
    cluster: Option<String>,
    keys: BTreeMap<String, KeyState>,
    invalid_values: u64,
}

impl EtcdFollower {
    /// A follower of the keys under `prefix` that has received nothing yet.
    pub fn new(prefix: &str) -> Self {
        EtcdFollower {
            prefix: prefix.to_owned(),
            revision: 0,
            cluster: None,
            keys: BTreeMap::new(),
            invalid_values: 0,
        }
    }

    /// The last known revision: a watch must start at the next one. 0: none known yet.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Number of invalid values received so far; the last valid endpoint of their key stays.
    pub fn invalid_values(&self) -> u64 {
        self.invalid_values
    }

    /// Applies the response body of `/v3/kv/range` over the prefix: the complete list at its revision.
    ///
    /// # Errors
    ///
    /// An [`EtcdError`] if the body is not a JSON object.
    pub fn apply_range(&mut self, body: &str, now: Micros) -> Result<EtcdUpdate, EtcdError> {
        let body = parse_body(body)?;
        let revision = match self.check_header(&body) {
            Ok(revision) => revision,
            Err(_) => self.adopt_header(&body),
        };
        let keys_before: Vec<String> = self.keys.keys().cloned().collect();
        let mut endpoints = Vec::new();
        let mut keys_listed = HashSet::new();
        for key_value in list(&body, "kvs").iter().filter_map(object) {
            if let Some(updated) = self.update_key(key_value, now) {
                keys_listed.insert(updated.key);
                endpoints.push(updated.endpoint);
            }
        }
        for key in keys_before {
            if !keys_listed.contains(&key) {
                endpoints.extend(self.remove_key(&key));
            }
        }
        self.revision = revision;
        Ok(EtcdUpdate::Endpoints(endpoints))
    }

    /// Applies one message of the response of `/v3/watch`.
    ///
    /// # Errors
    ///
    /// An [`EtcdError`] if the body is not a JSON object.
    pub fn apply_watch(&mut self, body: &str, now: Micros) -> Result<EtcdUpdate, EtcdError> {
        let body = parse_body(body)?;
        let empty = Object::new();
        let result = nested_object(&body, "result").unwrap_or(&empty);
        if int(result, "compact_revision") > 0 {
            return Ok(EtcdUpdate::ResyncRequired(ResyncReason::Compacted));
        }
        if matches!(result.get("canceled"), Some(Value::Bool(true))) {
            return Ok(EtcdUpdate::ResyncRequired(ResyncReason::Cancelled));
        }
        if let Err(reason) = self.check_header(&body) {
            return Ok(EtcdUpdate::ResyncRequired(reason));
        }
        let endpoints = self.apply_events(result, now);
        if endpoints.is_empty() {
            return Ok(EtcdUpdate::Unchanged);
        }
        Ok(EtcdUpdate::Endpoints(endpoints))
    }

    fn apply_events(&mut self, result: &Object, now: Micros) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        let mut newest = self.revision;
        for event in list(result, "events").iter().filter_map(object) {
            let Some(key_value) = nested_object(event, "kv") else {
                continue;
            };
            let revision = int(key_value, "mod_revision");
            if revision <= self.revision {
                continue; // received before
            }
            newest = newest.max(revision);
            if text(event, "type") == Some("DELETE") {
                let key = base64_text(key_value, "key").unwrap_or_default();
                endpoints.extend(self.remove_key(&key));
            } else if let Some(updated) = self.update_key(key_value, now) {
                endpoints.push(updated.endpoint);
            }
        }
        self.revision = newest;
        endpoints
    }

    /// The revision that a body's header states, or the last known one if there is no header. An error if the body does
    /// not continue the known state.
    fn check_header(&mut self, body: &Object) -> Result<i64, ResyncReason> {
        let header = nested_object(body, "header").or_else(|| {
            nested_object(body, "result").and_then(|result| nested_object(result, "header"))
        });
        let Some(header) = header else {
            return Ok(self.revision);
        };
        let cluster = text(header, "cluster_id").map(str::to_owned);
        if cluster.is_some() && self.cluster.is_some() && cluster != self.cluster {
            return Err(ResyncReason::OtherCluster);
        }
        if cluster.is_some() {
            self.cluster = cluster;
        }
        let revision = int(header, "revision");
        if revision < self.revision {
            return Err(ResyncReason::RevisionWentBack);
        }
        Ok(revision)
    }

    /// Adopts the header of a range that does not continue the known state, as after a restore of the registry.
    fn adopt_header(&mut self, body: &Object) -> i64 {
        let header = nested_object(body, "header");
        self.cluster = header
            .and_then(|header| text(header, "cluster_id"))
            .map(str::to_owned);
        header.map_or(0, |header| int(header, "revision"))
    }

    /// Stores the endpoint of a key's value and returns it; if the value is invalid, returns the last valid endpoint.
    fn update_key(&mut self, key_value: &Object, now: Micros) -> Option<KeyEndpoint> {
        let key = base64_text(key_value, "key")?;
        let id = key.strip_prefix(&self.prefix)?.trim_start_matches('/');
        let create_revision = int(key_value, "create_revision");
        let value = base64_text(key_value, "value").and_then(|value| parse(&value).ok());
        let mut fields = value.as_ref().and_then(object).cloned().unwrap_or_default();
        fields.insert("instanceId".to_owned(), Value::String(id.to_owned()));
        let Ok(mut endpoint) = parse_instance(&fields) else {
            self.invalid_values += 1;
            let endpoint = self.keys.get(&key)?.endpoint.clone();
            return Some(KeyEndpoint { key, endpoint });
        };
        // A key that was deleted and created again belongs to a new process: its start time is now, unless the value
        // states one.
        let created_again = self
            .keys
            .get(&key)
            .is_some_and(|known| known.create_revision != create_revision);
        if created_again && endpoint.started_at == 0 {
            endpoint.started_at = now;
        }
        let state = KeyState {
            create_revision,
            endpoint: endpoint.clone(),
        };
        self.keys.insert(key.clone(), state);
        Some(KeyEndpoint { key, endpoint })
    }

    /// Removes a key that was deleted, or that is missing from a new range, and returns its endpoint as draining.
    fn remove_key(&mut self, key: &str) -> Option<Endpoint> {
        let known = self.keys.remove(key)?;
        Some(Endpoint {
            state: WorkerState::Draining,
            ..known.endpoint
        })
    }
}

fn parse_body(body: &str) -> Result<Object, EtcdError> {
    match parse(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(EtcdError::NotAnObject),
        Err(_) => Err(EtcdError::NotJson),
    }
}

/// A 64-bit integer, which the JSON gateway writes as a string or, sometimes, as a number. 0 if it is absent or
/// invalid.
fn int(fields: &Object, key: &str) -> i64 {
    match fields.get(key) {
        Some(Value::String(digits)) => digits.parse().unwrap_or(0),
        Some(Value::Number(number)) => number.to_string().parse().unwrap_or(0),
        _ => 0,
    }
}

fn base64_text(fields: &Object, key: &str) -> Option<String> {
    let bytes = STANDARD.decode(text(fields, key)?).ok()?;
    String::from_utf8(bytes).ok()
}
