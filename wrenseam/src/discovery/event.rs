//! The JSON form of the discovery service's events and of the instances in them.
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{Object, Value};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;
use wrenseam_policy::json::{duration, flag, nested_object, object, text, unsigned};
use wrenseam_policy::WorkerState;

/// The valid part of an event.
#[derive(Debug, Default)]
pub struct EndpointEvent {
    /// Whether it is the complete list, which replaces everything received before.
    pub complete: bool,
    /// The endpoints of its valid instances.
    pub endpoints: Vec<Endpoint>,
    /// Why the rest of it is invalid.
    pub faults: Vec<EventError>,
}

/// Why an event, or a part of it, is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// The event's data is not a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The event has no pool.
    #[error("no 'pool'")]
    NoPool,
    /// The pool has no list of instances.
    #[error("no list of 'instances'")]
    NoInstances,
    /// An instance is invalid.
    #[error(transparent)]
    Instance(#[from] InstanceError),
}

/// Why an instance is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InstanceError {
    /// It is not a JSON object.
    #[error("an instance is not an object")]
    NotAnObject,
    /// A required field is missing or not a string.
    #[error("an instance without '{key}'")]
    MissingField {
        /// The field's key.
        key: &'static str,
    },
    /// Its address is not an IP address and a port.
    #[error("instance {id}: invalid address {address}")]
    InvalidAddress {
        /// The instance's id.
        id: String,
        /// The address as received.
        address: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// Its state is unknown.
    #[error("instance {id}: unknown state {state}")]
    UnknownState {
        /// The instance's id.
        id: String,
        /// The state as received.
        state: String,
    },
}

/// Parses an event. An invalid instance is added to the event's faults; the others stay usable.
///
/// # Errors
///
/// [`EventError::NoPool`] if the event has no pool, so that nothing of it can be used.
pub fn parse_event(event: &Object) -> Result<EndpointEvent, EventError> {
    let pool = nested_object(event, "pool").ok_or(EventError::NoPool)?;
    let mut parsed = EndpointEvent {
        complete: flag(pool, "reset"),
        ..EndpointEvent::default()
    };
    let Some(Value::Array(instances)) = pool.get("instances") else {
        parsed.faults.push(EventError::NoInstances);
        return Ok(parsed);
    };
    for instance in instances {
        match parse_instance_value(instance) {
            Ok(endpoint) => parsed.endpoints.push(endpoint),
            Err(error) => parsed.faults.push(error.into()),
        }
    }
    Ok(parsed)
}

fn parse_instance_value(instance: &Value) -> Result<Endpoint, InstanceError> {
    let fields = object(instance).ok_or(InstanceError::NotAnObject)?;
    parse_instance(fields)
}

/// Parses one instance.
///
/// # Errors
///
/// An [`InstanceError`] if a required field is missing or invalid.
pub fn parse_instance(fields: &Object) -> Result<Endpoint, InstanceError> {
    let id = required_text(fields, "instanceId")?.to_owned();
    let address = parse_address(&id, required_text(fields, "hostPort")?)?;
    let state = parse_state(&id, required_text(fields, "lifecycle")?)?;
    Ok(Endpoint {
        address,
        state,
        started_at: duration(fields, "startedAtMs"),
        zone: text(fields, "zone").unwrap_or_default().to_owned(),
        kind: text(fields, "machineType").unwrap_or_default().to_owned(),
        cell: unsigned(fields, "cell"),
        protocol: TransportProtocol::Frames,
        id,
    })
}

fn required_text<'a>(fields: &'a Object, key: &'static str) -> Result<&'a str, InstanceError> {
    text(fields, key).ok_or(InstanceError::MissingField { key })
}

fn parse_address(id: &str, address: &str) -> Result<SocketAddr, InstanceError> {
    address
        .parse()
        .map_err(|source| InstanceError::InvalidAddress {
            id: id.to_owned(),
            address: address.to_owned(),
            source,
        })
}

fn parse_state(id: &str, state: &str) -> Result<WorkerState, InstanceError> {
    match state {
        "ready" => Ok(WorkerState::Ready),
        "draining" => Ok(WorkerState::Draining),
        "gone" => Ok(WorkerState::Gone),
        other => Err(InstanceError::UnknownState {
            id: id.to_owned(),
            state: other.to_owned(),
        }),
    }
}
