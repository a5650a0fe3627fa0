//! The worker list from an etcd v3 registry, read by its JSON gateway: range and watch bodies in, member news
//! out. No I/O and no clock: time is handed in. See docs/registry.md.
use crate::discovery::event::parse_instance;
use crate::model::Endpoint;
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::{Object, Value};
use std::collections::BTreeMap;
use wrenseam_policy::json::{list, object, parse, part, text};
use wrenseam_policy::{Micros, WorkerState};

/// What a body from the registry asks of its follower.
#[derive(Debug, PartialEq)]
pub enum News {
    /// Changes of members; `full` lists replace all that was told before.
    Members {
        /// Whether this is the whole list.
        full: bool,
        /// The members.
        members: Vec<Endpoint>,
    },
    /// Nothing to act on (progress notices, events already held).
    Nothing,
    /// What is held cannot be followed on: read the whole prefix again.
    Reread(&'static str),
}

/// Why a body cannot be read at all.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable(pub String);

/// What the follower holds of one key.
struct Held {
    created: i64,
    member: Endpoint,
}

/// Follows one prefix: the revision and cluster held, and what each key last said.
pub struct Follow {
    prefix: String,
    revision: i64,
    cluster: Option<String>,
    keys: BTreeMap<String, Held>,
    /// Values that could not be read; the last good member stays.
    pub unreadable: u64,
}

/// A 64-bit number as the gateway writes it: a string, sometimes a bare number; 0 where absent.
fn int(fields: &Object, key: &str) -> i64 {
    match fields.get(key) {
        Some(Value::String(s)) => s.parse().unwrap_or(0),
        Some(Value::Number(n)) => n.to_string().parse().unwrap_or(0),
        _ => 0,
    }
}

fn decoded(fields: &Object, key: &str) -> Option<String> {
    let bytes = STANDARD.decode(text(fields, key)?).ok()?;
    String::from_utf8(bytes).ok()
}

impl Follow {
    /// A follower of the keys under `prefix`, holding nothing yet.
    pub fn new(prefix: &str) -> Self {
        let (prefix, keys) = (prefix.to_owned(), BTreeMap::new());
        Follow {
            prefix,
            revision: 0,
            cluster: None,
            keys,
            unreadable: 0,
        }
    }

    /// The revision held: a watch goes on from the next one.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// A header's revision and cluster; a reread if the registry went back or is another one.
    fn header(&mut self, body: &Object) -> Result<i64, &'static str> {
        let header =
            part(body, "header").or_else(|| part(body, "result").and_then(|r| part(r, "header")));
        let Some(header) = header else {
            return Ok(self.revision);
        };
        let cluster = text(header, "cluster_id").map(str::to_owned);
        if cluster.is_some() && self.cluster.is_some() && cluster != self.cluster {
            return Err("another cluster answers");
        }
        self.cluster = cluster.or(self.cluster.take());
        let revision = int(header, "revision");
        if revision < self.revision {
            return Err("the registry's revision went back");
        }
        Ok(revision)
    }

    /// One key's value, as a member; the last good one where it cannot be read.
    fn member(&mut self, kv: &Object, now: Micros) -> Option<(String, Endpoint)> {
        let key = decoded(kv, "key")?;
        let id = key
            .strip_prefix(&self.prefix)?
            .trim_start_matches('/')
            .to_owned();
        let created = int(kv, "create_revision");
        let value = decoded(kv, "value").and_then(|v| parse(&v).ok());
        let mut fields = value.as_ref().and_then(object).cloned().unwrap_or_default();
        fields.insert("instanceId".to_owned(), Value::String(id.clone()));
        let Ok(mut member) = parse_instance(&fields) else {
            self.unreadable += 1;
            return self.keys.get(&key).map(|h| (key.clone(), h.member.clone()));
        };
        // The same id made anew is another process: cold, whatever its value says.
        if self.keys.get(&key).is_some_and(|h| h.created != created) && member.started_at == 0 {
            member.started_at = now;
        }
        self.keys.insert(
            key.clone(),
            Held {
                created,
                member: member.clone(),
            },
        );
        Some((key, member))
    }

    /// The body of `/v3/kv/range` over the prefix: the whole list at its revision.
    pub fn range(&mut self, body: &str, now: Micros) -> Result<News, Unreadable> {
        let body = body_object(body)?;
        let revision = match self.header(&body) {
            Ok(revision) => revision,
            Err(_) => {
                // A reread after a restore: what the registry says now is the truth, whatever was held.
                self.cluster = part(&body, "header")
                    .and_then(|h| text(h, "cluster_id"))
                    .map(str::to_owned);
                part(&body, "header").map_or(0, |h| int(h, "revision"))
            }
        };
        let before: Vec<String> = self.keys.keys().cloned().collect();
        let mut members = Vec::new();
        let mut seen = Vec::new();
        for kv in list(&body, "kvs").iter().filter_map(object) {
            if let Some((key, member)) = self.member(kv, now) {
                seen.push(key);
                members.push(member);
            }
        }
        // A key that vanished between two reads is a drain notice, not silence.
        for key in before.iter().filter(|k| !seen.contains(k)) {
            if let Some(held) = self.keys.remove(key) {
                members.push(Endpoint {
                    state: WorkerState::Draining,
                    ..held.member
                });
            }
        }
        self.revision = revision;
        Ok(News::Members {
            full: false,
            members,
        })
    }

    /// One message of `/v3/watch`.
    pub fn watch(&mut self, body: &str, now: Micros) -> Result<News, Unreadable> {
        let body = body_object(body)?;
        let result = part(&body, "result").cloned().unwrap_or_default();
        if int(&result, "compact_revision") > 0 {
            return Ok(News::Reread("the held revision was compacted"));
        }
        if result
            .get("canceled")
            .is_some_and(|c| matches!(c, Value::Bool(true)))
        {
            return Ok(News::Reread("the watch was cancelled"));
        }
        if let Err(why) = self.header(&body) {
            return Ok(News::Reread(why));
        }
        let mut members = Vec::new();
        let mut newest = self.revision;
        for event in list(&result, "events").iter().filter_map(object) {
            let Some(kv) = part(event, "kv") else {
                continue;
            };
            let revision = int(kv, "mod_revision");
            if revision <= self.revision {
                continue; // replayed or held already
            }
            newest = newest.max(revision);
            if text(event, "type") == Some("DELETE") {
                let key = decoded(kv, "key").unwrap_or_default();
                if let Some(held) = self.keys.remove(&key) {
                    members.push(Endpoint {
                        state: WorkerState::Draining,
                        ..held.member
                    });
                }
            } else if let Some((_, member)) = self.member(kv, now) {
                members.push(member);
            }
        }
        self.revision = newest;
        Ok(if members.is_empty() {
            News::Nothing
        } else {
            News::Members {
                full: false,
                members,
            }
        })
    }
}

fn body_object(body: &str) -> Result<Object, Unreadable> {
    match parse(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(Unreadable("not a JSON object".to_owned())),
        Err(e) => Err(Unreadable(e)),
    }
}
