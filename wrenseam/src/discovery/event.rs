//! The JSON form of the discovery service's events and of the instances in them.
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{Object, Value};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;
use wrenseam_policy::json::{duration, flag, nested_object, object, text, unsigned};
use wrenseam_policy::WorkerState;

/// What can be read of an event.
#[derive(Debug, Default)]
pub struct EndpointEvent {
    /// Whether it is the complete list, which replaces all before.
    pub complete: bool,
    /// The endpoints of its valid instances.
    pub endpoints: Vec<Endpoint>,
    /// What is wrong with the rest of it.
    pub faults: Vec<EventError>,
}

/// Why an event, or a part of it, cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// The event's data is something else than a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The event has no pool.
    #[error("no 'pool'")]
    NoPool,
    /// The pool has no list of instances.
    #[error("no list of 'instances'")]
    NoInstances,
    /// An instance cannot be read.
    #[error(transparent)]
    Instance(#[from] InstanceError),
}

/// Why an instance cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InstanceError {
    /// It is something else than a JSON object.
    #[error("an instance is not an object")]
    NotAnObject,
    /// A field that it must have is missing, or is no text.
    #[error("an instance without '{key}'")]
    MissingField {
        /// The field's key.
        key: &'static str,
    },
    /// Its address is not an IP address and a port.
    #[error("{id}: address {address}")]
    InvalidAddress {
        /// The instance's id.
        id: String,
        /// The address as it was given.
        address: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// Its state is none of the known ones.
    #[error("{id}: state {state}")]
    UnknownState {
        /// The instance's id.
        id: String,
        /// The state as it was given.
        state: String,
    },
}

/// Reads an event. An instance that cannot be read leaves the others usable and is one of the event's faults.
///
/// # Errors
///
/// [`EventError::NoPool`] if there is nothing in it that could be read.
pub fn parse_event(event: &Object) -> Result<EndpointEvent, EventError> {
    let pool = nested_object(event, "pool").ok_or(EventError::NoPool)?;
    let mut read = EndpointEvent {
        complete: flag(pool, "reset"),
        ..EndpointEvent::default()
    };
    let Some(Value::Array(instances)) = pool.get("instances") else {
        read.faults.push(EventError::NoInstances);
        return Ok(read);
    };
    for instance in instances {
        match parse_item(instance) {
            Ok(endpoint) => read.endpoints.push(endpoint),
            Err(error) => read.faults.push(error.into()),
        }
    }
    Ok(read)
}

fn parse_item(instance: &Value) -> Result<Endpoint, InstanceError> {
    let fields = object(instance).ok_or(InstanceError::NotAnObject)?;
    parse_instance(fields)
}

/// Reads one instance.
///
/// # Errors
///
/// An [`InstanceError`] if a required field is missing or cannot be read.
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
