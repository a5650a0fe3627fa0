//! The simulator's messages as the policy's events. The wire's names are mapped here, once.
use crate::error::FieldError;
use miniserde::json::{Object, Value};
use wrenseam_policy::json::{self, duration, flag, nested_object, number, object, position};
use wrenseam_policy::{
    AttemptResult, Endpoint, Event, FunctionId, Micros, NewRequest, Outcome, Settings, WorkerState,
    ZoneNames,
};

/// Counts on the wire are cut off here.
const MOST_COUNT: u64 = 1 << 16;
/// Bits of a note below the queue depth.
const QUEUE_DEPTH_SHIFT: u32 = 3;
/// The notes that tell whether a replica was loaded.
const LOADED_NOTE: u64 = 1;
const LOAD_BEGUN_NOTE: u64 = 2;
const LOAD_AWAITED_NOTE: u64 = 3;

/// The names that a front end's wire speaks in.
pub(crate) struct Names {
    pub(crate) settings: Settings,
    pub(crate) zones: ZoneNames,
}

/// The unsigned integer under a key.
pub(crate) fn whole(fields: &Object, key: &'static str) -> Result<u64, FieldError> {
    json::unsigned(fields, key).ok_or(FieldError::NotWholeNumber(key))
}

/// The milliseconds under a key, in microseconds.
pub(crate) fn micros(fields: &Object, key: &'static str) -> Result<Micros, FieldError> {
    match number(fields, key) {
        Some(_) => Ok(duration(fields, key)),
        None => Err(FieldError::NotNumber(key)),
    }
}

fn text<'a>(fields: &'a Object, key: &'static str) -> Result<&'a str, FieldError> {
    json::text(fields, key).ok_or(FieldError::NotText(key))
}

fn function(fields: &Object) -> Result<FunctionId, FieldError> {
    Ok(FunctionId::from_str_radix(text(fields, "image")?, 16)?)
}

fn outcome(fields: &Object) -> Result<Outcome, FieldError> {
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
        other => return Err(FieldError::UnknownStatus(other.to_owned())),
    })
}

/// An event for the policy; `None` for what it is not notified of.
pub(crate) fn event(
    name: &str,
    fields: &Object,
    names: &mut Names,
) -> Result<Option<Event>, FieldError> {
    match name {
        "DISCOVERY" => endpoint_update(fields, names),
        "JOB_IN" => Ok(Some(Event::Request(request(fields, &names.settings)?))),
        "FINISHED" => Ok(Some(Event::AttemptEnded(attempt_result(fields)?))),
        "WITHDRAWN" => Ok(Some(Event::RequestCancelled {
            id: whole(fields, "id")?,
        })),
        "ALARM" => Ok(Some(Event::Timer {
            token: whole(fields, "ctx")?,
        })),
        "WARMED" => load_order_ended(fields).map(Some),
        // The policy sends no health checks, peer messages or streams.
        "PONG" | "MAIL" | "ACK_FIRST" => Ok(None),
        _ => Err(FieldError::UnknownEvent),
    }
}

fn endpoint_update(fields: &Object, names: &mut Names) -> Result<Option<Event>, FieldError> {
    let mode = text(fields, "mode")?;
    if mode == "refused" {
        return Ok(None);
    }
    let endpoints = match fields.get("elements") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(elements)) => elements
            .iter()
            .map(|element| endpoint(element, names))
            .collect::<Result<_, _>>()?,
        Some(_) => return Err(FieldError::NotArray("elements")),
    };
    Ok(Some(Event::EndpointUpdate {
        complete: mode != "changes",
        endpoints,
    }))
}

fn endpoint(value: &Value, names: &mut Names) -> Result<Endpoint, FieldError> {
    let fields = object(value).ok_or(FieldError::EntryNotObject)?;
    Ok(Endpoint {
        worker: text(fields, "host")?.to_owned(),
        state: match json::text(fields, "mode") {
            Some("on") => WorkerState::Ready,
            Some("fading") => WorkerState::Draining,
            Some("off") => WorkerState::Gone,
            _ => return Err(FieldError::UnknownMode),
        },
        started_at: duration(fields, "started-at"),
        zone: names
            .zones
            .position(json::text(fields, "az").unwrap_or_default()),
        kind: position(&names.settings.kinds, json::text(fields, "kind")),
        cell: json::unsigned(fields, "cluster"),
    })
}

fn request(fields: &Object, settings: &Settings) -> Result<NewRequest, FieldError> {
    let concurrency = duration(fields, "per-copy")
        .div_euclid(1000)
        .min(MOST_COUNT);
    Ok(NewRequest {
        id: whole(fields, "id")?,
        class: settings.class(json::text(fields, "qos").unwrap_or_default()),
        tenant: json::text(fields, "team").and_then(|name| settings.tenant(name)),
        function: function(fields)?,
        time_left: micros(fields, "left")?,
        memory_mb: number(fields, "ram-mb").unwrap_or(0.0),
        concurrency: concurrency as u32,
        load_time: duration(fields, "bringup-ms"),
        retry: flag(fields, "resent"),
    })
}

fn attempt_result(fields: &Object) -> Result<AttemptResult, FieldError> {
    let outcome = outcome(fields)?;
    let note = json::unsigned(fields, "note").unwrap_or(0);
    let queue_depth = note >> QUEUE_DEPTH_SHIFT;
    let has_queue_depth = queue_depth > 0 && matches!(outcome, Outcome::Ok | Outcome::Rejected);
    Ok(AttemptResult {
        id: whole(fields, "id")?,
        attempt: whole(fields, "hop")? as usize,
        outcome,
        elapsed: duration(fields, "elapsed"),
        request_closed: flag(fields, "no-more"),
        replica_loaded: match note & ((1 << QUEUE_DEPTH_SHIFT) - 1) {
            LOADED_NOTE => Some(true),
            LOAD_BEGUN_NOTE | LOAD_AWAITED_NOTE => Some(false),
            _ => None,
        },
        queue_depth: has_queue_depth.then_some(queue_depth as u32),
        in_flight: nested_object(fields, "feedback").and_then(|report| number(report, "busy_reqs")),
    })
}

fn load_order_ended(fields: &Object) -> Result<Event, FieldError> {
    let replicas = json::unsigned(fields, "copies")
        .unwrap_or(0)
        .min(MOST_COUNT);
    Ok(Event::LoadOrderEnded {
        worker: text(fields, "host")?.to_owned(),
        function: function(fields)?,
        replicas: replicas as u32,
        outcome: outcome(fields)?,
        elapsed: duration(fields, "elapsed"),
    })
}
