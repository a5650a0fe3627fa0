//! Endpoints under a key prefix of an etcd v3 registry, read by its JSON gateway: range and watch bodies in, endpoint
//! updates out. No I/O and no clock: time is handed in. See docs/registry.md.
use crate::discovery::event::parse_instance;
use crate::model::Endpoint;
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{Object, Value};
use std::collections::{BTreeMap, HashSet};
use thiserror::Error;
use wrenseam_policy::json::{list, nested_object, object, parse, text};
use wrenseam_policy::{Micros, WorkerState};

/// What a body changes, or requires.
#[derive(Debug, PartialEq)]
pub enum EtcdUpdate {
    /// Endpoints changed.
    Endpoints(Vec<Endpoint>),
    /// Nothing changed: a progress notice, or events received before.
    Unchanged,
    /// The watch cannot go on: the whole prefix is to be read again.
    ResyncRequired(ResyncReason),
}

/// Why the whole prefix is to be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResyncReason {
    /// The registry no longer has the events after the last known revision.
    #[error("the last known revision was compacted")]
    Compacted,
    /// The registry cancelled the watch.
    #[error("the watch was cancelled")]
    Cancelled,
    /// The answer is another cluster's.
    #[error("another cluster answers")]
    OtherCluster,
    /// The registry's revision is lower than the last known one, as after a restore.
    #[error("the registry's revision went back")]
    RevisionWentBack,
}

/// Why a body cannot be read at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EtcdError {
    /// It is not JSON.
    #[error("not JSON")]
    NotJson,
    /// It is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
}

/// What is known of one key.
struct KeyState {
    create_revision: i64,
    endpoint: Endpoint,
}

/// A key and the endpoint that its value holds.
struct KeyEndpoint {
    key: String,
    endpoint: Endpoint,
}

/// Follows one prefix: its last known revision, its cluster and each key's last endpoint.
pub struct EtcdFollower {
    prefix: String,
    revision: i64,
    cluster: Option<String>,
    keys: BTreeMap<String, KeyState>,
    unreadable_values: u64,
}

impl EtcdFollower {
    /// A follower of the keys under `prefix`, holding nothing yet.
    pub fn new(prefix: &str) -> Self {
        EtcdFollower {
            prefix: prefix.to_owned(),
            revision: 0,
            cluster: None,
            keys: BTreeMap::new(),
            unreadable_values: 0,
        }
    }

    /// The last known revision: a watch goes on from the next one.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// How many values could not be read; the last valid endpoint of their key stays.
    pub fn unreadable_values(&self) -> u64 {
        self.unreadable_values
    }

    /// Applies the body of `/v3/kv/range` over the prefix: the complete list at its revision.
    ///
    /// # Errors
    ///
    /// An [`EtcdError`] if the body cannot be read.
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
            if let Some(read) = self.read_key_value(key_value, now) {
                keys_listed.insert(read.key);
                endpoints.push(read.endpoint);
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

    /// Applies one message of `/v3/watch`.
    ///
    /// # Errors
    ///
    /// An [`EtcdError`] if the body cannot be read.
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
            } else if let Some(read) = self.read_key_value(key_value, now) {
                endpoints.push(read.endpoint);
            }
        }
        self.revision = newest;
        endpoints
    }

    /// The revision that a body's header states, if the body continues what is known.
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

    /// A range after a restore: what the registry states now counts, whatever was known before.
    fn adopt_header(&mut self, body: &Object) -> i64 {
        let header = nested_object(body, "header");
        self.cluster = header
            .and_then(|header| text(header, "cluster_id"))
            .map(str::to_owned);
        header.map_or(0, |header| int(header, "revision"))
    }

    /// The endpoint of a key's value; the last valid one where the value cannot be read.
    fn read_key_value(&mut self, key_value: &Object, now: Micros) -> Option<KeyEndpoint> {
        let key = base64_text(key_value, "key")?;
        let id = key.strip_prefix(&self.prefix)?.trim_start_matches('/');
        let create_revision = int(key_value, "create_revision");
        let value = base64_text(key_value, "value").and_then(|value| parse(&value).ok());
        let mut fields = value.as_ref().and_then(object).cloned().unwrap_or_default();
        fields.insert("instanceId".to_owned(), Value::String(id.to_owned()));
        let Ok(mut endpoint) = parse_instance(&fields) else {
            self.unreadable_values += 1;
            let endpoint = self.keys.get(&key)?.endpoint.clone();
            return Some(KeyEndpoint { key, endpoint });
        };
        // A key that was deleted and created again is another process: it starts now, unless its value says when.
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

    /// Forgets a key that is deleted, or that vanished between two ranges. Its endpoint drains.
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

/// A 64-bit number as the gateway writes it: a string, sometimes a bare number; 0 where absent.
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
