//! Decodes the simulator's messages to the policy's events: translates the names of messages and fields, and the units
//! of values.
use crate::error::FieldError;
use miniserde::json::{Object, Value};
use wrenseam_policy::json::{self, duration, flag, nested_object, number, object, position};
use wrenseam_policy::{
    AttemptResult, Endpoint, Event, FunctionId, Micros, NewRequest, Outcome, Settings, WorkerState,
    ZoneNames,
};

/// Upper bound of counts in messages; larger ones are clamped to it.
const MAX_COUNT: u64 = 1 << 16;
/// Position of the queue depth in a note, in bits. The bits below it tell whether a replica was loaded.
const QUEUE_DEPTH_SHIFT: u32 = 3;
/// Low bits of a note: a replica was loaded when the attempt arrived.
const NOTE_LOADED: u64 = 1;
/// Low bits of a note: no replica was loaded, and the attempt started a load.
const NOTE_LOAD_STARTED: u64 = 2;
/// Low bits of a note: no replica was loaded, and the attempt waited for a load that had been started before.
const NOTE_LOAD_PENDING: u64 = 3;

/// The names of classes, tenants, machine kinds and zones in a front end's messages, which the policy refers to by
/// position.
pub(crate) struct Names {
    /// The settings, which name the classes, tenants and machine kinds.
    pub(crate) settings: Settings,
    /// The zones of the settings and of the endpoint lists so far.
    pub(crate) zones: ZoneNames,
}

/// The unsigned integer under a key; an error if there is none.
pub(crate) fn required_unsigned(fields: &Object, key: &'static str) -> Result<u64, FieldError> {
    json::unsigned(fields, key).ok_or(FieldError::NotUnsignedInteger(key))
}

/// The duration or time that is given in milliseconds under a key; an error if there is no number.
pub(crate) fn required_duration(fields: &Object, key: &'static str) -> Result<Micros, FieldError> {
    match number(fields, key) {
        Some(_) => Ok(duration(fields, key)),
        None => Err(FieldError::NotNumber(key)),
    }
}

/// The string under a key; an error if there is none.
fn required_text<'a>(fields: &'a Object, key: &'static str) -> Result<&'a str, FieldError> {
    json::text(fields, key).ok_or(FieldError::NotText(key))
}

fn function(fields: &Object) -> Result<FunctionId, FieldError> {
    Ok(FunctionId::from_str_radix(
        required_text(fields, "image")?,
        16,
    )?)
}

fn outcome(fields: &Object) -> Result<Outcome, FieldError> {
    Ok(match required_text(fields, "status")? {
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

/// Decodes a message to an event; `None` if it is of no use to the policy.
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
            id: required_unsigned(fields, "id")?,
        })),
        "ALARM" => Ok(Some(Event::Timer {
            token: required_unsigned(fields, "ctx")?,
        })),
        "WARMED" => load_order_ended(fields).map(Some),
        // The policy uses no health checks, messages between peers or streams.
        "PONG" | "MAIL" | "ACK_FIRST" => Ok(None),
        _ => Err(FieldError::UnknownEvent),
    }
}

fn endpoint_update(fields: &Object, names: &mut Names) -> Result<Option<Event>, FieldError> {
    let mode = required_text(fields, "mode")?;
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
        worker: required_text(fields, "host")?.to_owned(),
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
    // The number may be fractional: it is rounded to thousandths, then down to an integer.
    let concurrency = duration(fields, "per-copy").div_euclid(1000).min(MAX_COUNT);
    Ok(NewRequest {
        id: required_unsigned(fields, "id")?,
        class: settings.class(json::text(fields, "qos").unwrap_or_default()),
        tenant: json::text(fields, "team").and_then(|name| settings.tenant(name)),
        function: function(fields)?,
        time_left: required_duration(fields, "left")?,
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
        id: required_unsigned(fields, "id")?,
        attempt: required_unsigned(fields, "hop")? as usize,
        outcome,
        elapsed: duration(fields, "elapsed"),
        request_closed: flag(fields, "no-more"),
        replica_loaded: match note & ((1 << QUEUE_DEPTH_SHIFT) - 1) {
            NOTE_LOADED => Some(true),
            NOTE_LOAD_STARTED | NOTE_LOAD_PENDING => Some(false),
            _ => None,
        },
        queue_depth: has_queue_depth.then_some(queue_depth as u32),
        in_flight: nested_object(fields, "feedback").and_then(|report| number(report, "busy_reqs")),
    })
}

fn load_order_ended(fields: &Object) -> Result<Event, FieldError> {
    let replicas = json::unsigned(fields, "copies").unwrap_or(0).min(MAX_COUNT);
    Ok(Event::LoadOrderEnded {
        worker: required_text(fields, "host")?.to_owned(),
        function: function(fields)?,
        replicas: replicas as u32,
        outcome: outcome(fields)?,
        elapsed: duration(fields, "elapsed"),
    })
}
