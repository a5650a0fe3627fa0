//! Runs bramblepath on the simulator's wire: reads batches on standard input, writes replies on standard
//! output. It translates and decides nothing.
#![forbid(unsafe_code)]

use bramblepath::*;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

type Res<T> = Result<T, String>;
type Fields = Map<String, Value>;

/// One hosted gateway: its module and the names that its settings gave.
struct Instance {
    controller: Controller,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblepath-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Res<()> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut frame: Option<(Micros, u64)> = None;
    let (mut actions, mut reply) = (Vec::new(), String::new());
    let mut output = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        let (name, fields) = message(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        match (name.as_str(), frame) {
            ("FRAME", None) => {
                let read = || Ok((micros(&fields, "moment")?, whole(&fields, "n")?));
                frame = Some(read().map_err(|e: String| format!("line {}: FRAME: {e}", number + 1))?);
            }
            ("COMMIT", Some((_, n))) => {
                write_line(&mut reply, "READY", json!({ "n": n }));
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|e| format!("standard output: {e}"))?;
                reply.clear();
                frame = None;
            }
            (_, Some((now, _))) => {
                let wrong = |e: String| format!("line {}: {name}: {e}", number + 1);
                let gateway = whole(&fields, "gateway").map_err(wrong)?;
                event(&mut instances, gateway, now, &name, &fields, &mut actions).map_err(wrong)?;
                for action in actions.drain(..) {
                    let (name, body) = translate(gateway, action);
                    write_line(&mut reply, name, body);
                }
            }
            (_, None) => return Err(format!("line {}: {name} outside a batch", number + 1)),
        }
    }
    match frame {
        Some((_, n)) => Err(format!("input ended inside batch {n}")),
        None => Ok(()),
    }
}

fn write_line(reply: &mut String, name: &str, body: Value) {
    reply.push_str(&json!({ name: body }).to_string());
    reply.push('\n');
}

fn message(line: &str) -> Res<(String, Fields)> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let Value::Object(outer) = value else {
        return Err("not an object".into());
    };
    if outer.len() != 1 {
        return Err("not an object with a single key".into());
    }
    match outer.into_iter().next() {
        Some((name, Value::Object(fields))) => Ok((name, fields)),
        _ => Err("the message holds no object".into()),
    }
}

fn number(fields: &Fields, key: &str) -> Option<f64> {
    fields.get(key).and_then(Value::as_f64)
}

fn whole(fields: &Fields, key: &str) -> Res<u64> {
    fields.get(key).and_then(Value::as_u64).ok_or_else(|| format!("'{key}' is not a whole number"))
}

fn text<'a>(fields: &'a Fields, key: &str) -> Res<&'a str> {
    fields.get(key).and_then(Value::as_str).ok_or_else(|| format!("'{key}' is not a text"))
}

fn flag(fields: &Fields, key: &str) -> bool {
    fields.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// Milliseconds to microseconds; what is negative or no number counts as 0 (`as` saturates the huge).
fn span(fields: &Fields, key: &str) -> Micros {
    (number(fields, key).unwrap_or(0.0) * 1000.0).round() as Micros
}

fn micros(fields: &Fields, key: &str) -> Res<Micros> {
    number(fields, key).map(|_| span(fields, key)).ok_or_else(|| format!("'{key}' is not a number"))
}

fn function(fields: &Fields) -> Res<FunctionId> {
    FunctionId::from_str_radix(text(fields, "image")?, 16).map_err(|e| format!("'image': {e}"))
}

fn outcome(fields: &Fields) -> Res<Outcome> {
    Ok(match text(fields, "status")? {
        "S" => Outcome::Ok,
        "E" => Outcome::Error,
        "F" => Outcome::Full,
        "T" => Outcome::Timeout,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::Moot,
        "M" => Outcome::Miss,
        other => return Err(format!("unknown status '{other}'")),
    })
}

/// Position of a name in a list; the list's length where it is not found.
fn position(names: &[String], name: Option<&Value>) -> usize {
    let name = name.and_then(Value::as_str).unwrap_or_default();
    names.iter().position(|n| n == name).unwrap_or(names.len())
}

fn event(
    instances: &mut BTreeMap<u64, Instance>, gateway: u64, now: Micros, name: &str, fields: &Fields,
    actions: &mut Vec<Action>,
) -> Res<()> {
    match name {
        "SPAWN" => {
            let conf = fields.get("conf").and_then(Value::as_object).ok_or("'conf' is not an object")?;
            instances.insert(gateway, spawn(conf, whole(fields, "salt")?));
            return Ok(());
        }
        "KILLED" => {
            instances.remove(&gateway);
            return Ok(());
        }
        _ => {}
    }
    let Some(instance) = instances.get_mut(&gateway) else {
        return Ok(());
    };
    let event = match name {
        "DISCOVERY" => {
            let mode = text(fields, "mode")?;
            if mode == "refused" {
                return Ok(());
            }
            let none = Vec::new();
            let elements = match fields.get("elements") {
                None | Some(Value::Null) => &none,
                Some(value) => value.as_array().ok_or("'elements' is not an array")?,
            };
            let entries = elements.iter().map(|e| entry(instance, e)).collect::<Res<Vec<_>>>()?;
            Event::Members { full: mode != "changes", entries }
        }
        "JOB_IN" => Event::Request {
            id: whole(fields, "id")?,
            class: position(&instance.classes, fields.get("qos")),
            tenant: match position(&instance.tenants, fields.get("team")) {
                at if at < instance.tenants.len() => Some(at),
                _ => None,
            },
            function: function(fields)?,
            left: micros(fields, "left")?,
            memory_mb: number(fields, "ram-mb").unwrap_or(0.0),
            lanes: span(fields, "per-copy").div_euclid(1000).min(1 << 16) as u32,
            load_time: span(fields, "bringup-ms"),
            retry: flag(fields, "resent"),
        },
        "FINISHED" => {
            let outcome = outcome(fields)?;
            let note = fields.get("note").and_then(Value::as_u64).unwrap_or(0);
            let crowd = (note >> 3) as u32;
            Event::Outcome {
                id: whole(fields, "id")?,
                attempt: whole(fields, "hop")? as usize,
                outcome,
                elapsed: span(fields, "elapsed"),
                closed: flag(fields, "no-more"),
                warm: match note & 7 {
                    1 => Some(true),
                    2 | 3 => Some(false),
                    _ => None,
                },
                crowd: (note > 7 && matches!(outcome, Outcome::Ok | Outcome::Full)).then_some(crowd),
                inflight: fields.get("feedback").and_then(|f| f.get("busy_reqs")).and_then(Value::as_f64),
            }
        }
        "WITHDRAWN" => Event::Withdrawn { id: whole(fields, "id")? },
        "ALARM" => Event::Timer { token: whole(fields, "ctx")? },
        "WARMED" => Event::Loaded {
            worker: text(fields, "host")?.to_owned(),
            function: function(fields)?,
            count: fields.get("copies").and_then(Value::as_u64).unwrap_or(0).min(1 << 16) as u32,
            outcome: outcome(fields)?,
            elapsed: span(fields, "elapsed"),
        },
        "PONG" | "MAIL" | "ACK_FIRST" => return Ok(()), // the module probes, mails and streams nothing
        _ => return Err("unknown event".into()),
    };
    instance.controller.handle(now, event, actions);
    Ok(())
}

fn entry(instance: &Instance, value: &Value) -> Res<Entry> {
    let fields = value.as_object().ok_or("a list entry is not an object")?;
    Ok(Entry {
        worker: text(fields, "host")?.to_owned(),
        state: match fields.get("mode").and_then(Value::as_str) {
            Some("on") => WorkerState::Ready,
            Some("fading") => WorkerState::Draining,
            Some("off") => WorkerState::Gone,
            _ => return Err("'mode' of a list entry is unknown".into()),
        },
        started_at: span(fields, "started-at"),
        zone: position(&instance.zones, fields.get("az")),
        kind: position(&instance.kinds, fields.get("kind")),
        cell: fields.get("cluster").and_then(Value::as_u64).unwrap_or(0),
    })
}

fn list<'a>(fields: &'a Fields, key: &str) -> &'a [Value] {
    fields.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn names(values: &[Value]) -> Vec<String> {
    let name = |v: &Value| v.get("name").unwrap_or(v).as_str().unwrap_or_default().to_owned();
    values.iter().map(name).collect()
}

fn spawn(conf: &Fields, salt: u64) -> Instance {
    let empty = Map::new();
    let part = |key: &str| conf.get(key).and_then(Value::as_object).unwrap_or(&empty);
    let (limits, rules, family) = (part("limits"), part("rules"), part("family-info"));
    let items = |key: &str| list(conf, key).iter().filter_map(Value::as_object);
    let class = |c: &Fields| ClassSettings {
        effect: match c.get("effect").and_then(Value::as_str) {
            Some("retryable") => Effect::Safe,
            Some("dedup") => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        group: match c.get("key-scope").and_then(Value::as_str) {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Cell,
        },
        window: span(c, "memory-span"),
        aim: span(c, "goal-time"),
        worth: number(c, "worth").unwrap_or(0.0),
    };
    let advice = if flag(limits, "retry-after") { span(limits, "max-retry-after") } else { 0 };
    let count = |fields: &Fields, key: &str| span(fields, key).div_euclid(1000).min(1 << 16) as u32;
    let settings = Settings {
        gateways: count(conf, "balancers"),
        classes: items("classes").map(class).collect(),
        tenants: items("tenants")
            .map(|t| TenantSettings { quota_per_s: number(t, "quota-per-s").unwrap_or(0.0) })
            .collect(),
        over_share_worth: number(conf, "over-share-worth").unwrap_or(0.0),
        kind_memory_mb: list(family, "machine-mb").iter().map(|m| m.as_f64().unwrap_or(0.0)).collect(),
        keep: span(family, "keep"),
        load_on_absence: family.get("when-absent").and_then(Value::as_str) == Some("load"),
        orders: flag(family, "orders"),
        order_timeout: span(family, "load-wait"),
        load_window: span(family, "load-span"),
        load_free: number(family, "free-loads").unwrap_or(0.0),
        load_share: number(family, "loads-per-request").unwrap_or(0.0),
        max_attempts: count(limits, "max-attempts"),
        may_cancel: flag(limits, "may-cancel"),
        second_copies: flag(limits, "second-copies"),
        max_retry_after: advice,
        cold_from: number(rules, "cold-from").unwrap_or(0.0),
        warm_within: span(rules, "warm-within"),
        fall_multiple: number(rules, "fall-multiple").unwrap_or(0.0),
        fall_window: span(rules, "fall"),
        ask_for_list: conf.get("registry-mode").and_then(Value::as_str) == Some("ask"),
    };
    Instance {
        controller: Controller::new(settings, salt),
        classes: names(list(conf, "classes")),
        tenants: names(list(conf, "tenants")),
        zones: names(list(conf, "failure-domains")),
        kinds: names(list(conf, "flavors")),
    }
}

fn translate(gateway: u64, action: Action) -> (&'static str, Value) {
    let ms = |t: Micros| t as f64 / 1000.0;
    let hex = |f: FunctionId| format!("{f:016x}");
    match action {
        Action::Send { id, worker, timeout } => {
            ("DELIVER", json!({ "gateway": gateway, "id": id, "host": worker, "allow-for": ms(timeout) }))
        }
        Action::Cancel { id, attempt } => {
            ("CALL_OFF", json!({ "gateway": gateway, "id": id, "hop": attempt }))
        }
        Action::Refuse { id, retry_after } => {
            ("SHED", json!({ "gateway": gateway, "id": id, "cool-down": ms(retry_after) }))
        }
        Action::Fail { id } => ("ABORT", json!({ "gateway": gateway, "id": id })),
        Action::Timer { delay, token } => {
            ("TIMER", json!({ "gateway": gateway, "offset": ms(delay), "ctx": token }))
        }
        Action::Load { worker, function, count } => (
            "START_COPY",
            json!({ "gateway": gateway, "host": worker, "image": hex(function), "copies": count }),
        ),
        Action::Drop { worker, function } => {
            ("RELEASE_IDLE", json!({ "gateway": gateway, "host": worker, "image": hex(function) }))
        }
        Action::Watch => ("WATCH", json!({ "gateway": gateway, "on": true })),
        Action::Log { text } => ("JOURNAL_LINE", json!({ "gateway": gateway, "msg": text })),
    }
}
