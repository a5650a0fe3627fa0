//! Runs the policy on the simulator's wire: reads batches on standard input, writes replies on standard
//! output. It translates and decides nothing.
#![forbid(unsafe_code)]

use miniserde::json::{self, Number, Object, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wrenseam_policy::json::{
    flag, number, object, part, position, span, text as word, whole as figure,
};
use wrenseam_policy::*;

type Res<T> = Result<T, String>;
type Fields = Object;

/// One hosted gateway: its module and the settings, whose names the wire speaks in.
struct Instance {
    controller: Controller,
    settings: Settings,
    zones: ZoneNames,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
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
                frame =
                    Some(read().map_err(|e: String| format!("line {}: FRAME: {e}", number + 1))?);
            }
            ("COMMIT", Some((_, n))) => {
                write_line(&mut reply, "READY", vec![("n", count(n))]);
                let sent = output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush());
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

fn write_line(reply: &mut String, name: &str, body: Vec<(&str, Value)>) {
    let body: Object = body
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
    let mut outer = Object::new();
    outer.insert(name.to_owned(), Value::Object(body));
    reply.push_str(&json::to_string(&outer));
    reply.push('\n');
}

fn message(line: &str) -> Res<(String, Fields)> {
    let Value::Object(outer) = wrenseam_policy::json::parse(line)? else {
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

fn whole(fields: &Fields, key: &str) -> Res<u64> {
    figure(fields, key).ok_or_else(|| format!("'{key}' is not a whole number"))
}

fn text<'a>(fields: &'a Fields, key: &str) -> Res<&'a str> {
    word(fields, key).ok_or_else(|| format!("'{key}' is not a text"))
}

fn micros(fields: &Fields, key: &str) -> Res<Micros> {
    number(fields, key)
        .map(|_| span(fields, key))
        .ok_or_else(|| format!("'{key}' is not a number"))
}

fn function(fields: &Fields) -> Res<FunctionId> {
    FunctionId::from_str_radix(text(fields, "image")?, 16).map_err(|e| format!("'image': {e}"))
}

fn outcome(fields: &Fields) -> Res<Outcome> {
    Ok(match text(fields, "status")? {
        "S" => Outcome::Ok,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::Timeout,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        "M" => Outcome::NotLoaded,
        other => return Err(format!("unknown status '{other}'")),
    })
}

fn event(
    instances: &mut BTreeMap<u64, Instance>,
    gateway: u64,
    now: Micros,
    name: &str,
    fields: &Fields,
    actions: &mut Vec<Action>,
) -> Res<()> {
    match name {
        "SPAWN" => {
            let settings =
                Settings::from_json(part(fields, "conf").ok_or("'conf' is not an object")?);
            let controller = Controller::new(settings.clone(), whole(fields, "salt")?);
            instances.insert(
                gateway,
                Instance {
                    controller,
                    zones: ZoneNames::new(&settings.zones),
                    settings,
                },
            );
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
            let none = json::Array::new();
            let elements = match fields.get("elements") {
                None | Some(Value::Null) => &none,
                Some(Value::Array(elements)) => elements,
                Some(_) => return Err("'elements' is not an array".into()),
            };
            let entries = elements
                .iter()
                .map(|e| entry(instance, e))
                .collect::<Res<Vec<_>>>()?;
            Event::EndpointUpdate {
                complete: mode != "changes",
                endpoints: entries,
            }
        }
        "JOB_IN" => Event::Request {
            id: whole(fields, "id")?,
            class: instance
                .settings
                .class(word(fields, "qos").unwrap_or_default()),
            tenant: word(fields, "team").and_then(|name| instance.settings.tenant(name)),
            function: function(fields)?,
            time_left: micros(fields, "left")?,
            memory_mb: number(fields, "ram-mb").unwrap_or(0.0),
            concurrency: span(fields, "per-copy").div_euclid(1000).min(1 << 16) as u32,
            load_time: span(fields, "bringup-ms"),
            retry: flag(fields, "resent"),
        },
        "FINISHED" => {
            let outcome = outcome(fields)?;
            let note = figure(fields, "note").unwrap_or(0);
            let crowd = (note >> 3) as u32;
            Event::AttemptEnded {
                id: whole(fields, "id")?,
                attempt: whole(fields, "hop")? as usize,
                outcome,
                elapsed: span(fields, "elapsed"),
                request_closed: flag(fields, "no-more"),
                replica_loaded: match note & 7 {
                    1 => Some(true),
                    2 | 3 => Some(false),
                    _ => None,
                },
                queue_depth: (note > 7 && matches!(outcome, Outcome::Ok | Outcome::Rejected))
                    .then_some(crowd),
                in_flight: part(fields, "feedback").and_then(|f| number(f, "busy_reqs")),
            }
        }
        "WITHDRAWN" => Event::RequestCancelled {
            id: whole(fields, "id")?,
        },
        "ALARM" => Event::Timer {
            token: whole(fields, "ctx")?,
        },
        "WARMED" => Event::LoadOrderEnded {
            worker: text(fields, "host")?.to_owned(),
            function: function(fields)?,
            replicas: figure(fields, "copies").unwrap_or(0).min(1 << 16) as u32,
            outcome: outcome(fields)?,
            elapsed: span(fields, "elapsed"),
        },
        "PONG" | "MAIL" | "ACK_FIRST" => return Ok(()), // the module probes, mails and streams nothing
        _ => return Err("unknown event".into()),
    };
    instance.controller.handle(now, event, actions);
    Ok(())
}

fn entry(instance: &mut Instance, value: &Value) -> Res<Endpoint> {
    let fields = object(value).ok_or("a list entry is not an object")?;
    Ok(Endpoint {
        worker: text(fields, "host")?.to_owned(),
        state: match word(fields, "mode") {
            Some("on") => WorkerState::Ready,
            Some("fading") => WorkerState::Draining,
            Some("off") => WorkerState::Gone,
            _ => return Err("'mode' of a list entry is unknown".into()),
        },
        started_at: span(fields, "started-at"),
        zone: instance
            .zones
            .position(word(fields, "az").unwrap_or_default()),
        kind: position(&instance.settings.kinds, word(fields, "kind")),
        cell: figure(fields, "cluster"),
    })
}

fn count(n: u64) -> Value {
    Value::Number(Number::U64(n))
}

fn translate(gateway: u64, action: Action) -> (&'static str, Vec<(&'static str, Value)>) {
    let ms = |t: Micros| Value::Number(Number::F64(t as f64 / 1000.0));
    let image = |f: FunctionId| ("image", Value::String(format!("{f:016x}")));
    let (host, msg) = (
        |worker| ("host", Value::String(worker)),
        |text| ("msg", Value::String(text)),
    );
    let id = |id| ("id", count(id));
    let (name, mut fields) = match action {
        Action::Send {
            id: of,
            worker,
            timeout,
            ..
        } => (
            "DELIVER",
            vec![id(of), host(worker), ("allow-for", ms(timeout))],
        ),
        Action::Cancel { id: of, attempt } => {
            ("CALL_OFF", vec![id(of), ("hop", count(attempt as u64))])
        }
        Action::Reject {
            id: of,
            retry_after,
        } => ("SHED", vec![id(of), ("cool-down", ms(retry_after))]),
        Action::Fail { id: of } => ("ABORT", vec![id(of)]),
        Action::Timer { delay, token } => {
            ("TIMER", vec![("offset", ms(delay)), ("ctx", count(token))])
        }
        Action::Load {
            worker,
            function,
            replicas: copies,
        } => (
            "START_COPY",
            vec![
                host(worker),
                image(function),
                ("copies", count(copies.into())),
            ],
        ),
        Action::Unload { worker, function } => {
            ("RELEASE_IDLE", vec![host(worker), image(function)])
        }
        Action::WatchEndpoints => ("WATCH", vec![("on", Value::Bool(true))]),
        Action::Log { text } => ("JOURNAL_LINE", vec![msg(text)]),
    };
    fields.push(("gateway", count(gateway)));
    (name, fields)
}
