//! Endpoints of KServe v2 workers in Envoy's xDS JSON form: `ClusterLoadAssignment` resources.
//!
//! What this project needs beyond xDS is in each endpoint's `metadata.filter_metadata["wrenseam"]`.
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{Object, Value};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;
use wrenseam_policy::json::{duration, list, nested_object, object, text, unsigned};
use wrenseam_policy::WorkerState;

/// Key of this project's own fields in an endpoint's filter metadata.
const METADATA_KEY: &str = "wrenseam";

/// Why a list of endpoints is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum XdsError {
    /// An endpoint has no socket address.
    #[error("an endpoint without endpoint.address.socket_address")]
    NoSocketAddress,
    /// A socket address has no host.
    #[error("a socket_address without address")]
    NoHost,
    /// A socket address has no port number.
    #[error("a socket_address without port_value")]
    NoPort,
    /// A socket address is not an IP address and a port.
    #[error("not an address: {address}")]
    InvalidAddress {
        /// The host and port as received, joined by a colon.
        address: String,
        /// The parse error.
        source: AddrParseError,
    },
}

/// Parses the endpoints of a discovery response, or of a single `ClusterLoadAssignment`.
///
/// # Errors
///
/// An [`XdsError`] for the first endpoint whose address is missing or invalid.
pub fn parse_endpoints(response: &Object) -> Result<Vec<Endpoint>, XdsError> {
    let mut endpoints = Vec::new();
    if !response.contains_key("resources") {
        parse_assignment(response, &mut endpoints)?;
        return Ok(endpoints);
    }
    for assignment in objects(response, "resources") {
        parse_assignment(assignment, &mut endpoints)?;
    }
    Ok(endpoints)
}

fn parse_assignment(assignment: &Object, endpoints: &mut Vec<Endpoint>) -> Result<(), XdsError> {
    for locality in objects(assignment, "endpoints") {
        let zone = nested_object(locality, "locality")
            .and_then(|fields| text(fields, "zone"))
            .unwrap_or_default();
        for endpoint in objects(locality, "lb_endpoints") {
            endpoints.push(parse_endpoint(endpoint, zone)?);
        }
    }
    Ok(())
}

fn parse_endpoint(fields: &Object, zone: &str) -> Result<Endpoint, XdsError> {
    let socket = nested_object(fields, "endpoint")
        .and_then(|endpoint| nested_object(endpoint, "address"))
        .and_then(|address| nested_object(address, "socket_address"))
        .ok_or(XdsError::NoSocketAddress)?;
    let host = text(socket, "address").ok_or(XdsError::NoHost)?;
    let port = unsigned(socket, "port_value").ok_or(XdsError::NoPort)?;
    let host_port = format!("{host}:{port}");
    let empty = Object::new();
    let metadata = nested_object(fields, "metadata")
        .and_then(|metadata| nested_object(metadata, "filter_metadata"))
        .and_then(|filters| nested_object(filters, METADATA_KEY))
        .unwrap_or(&empty);
    Ok(Endpoint {
        id: text(metadata, "id").unwrap_or(&host_port).to_owned(),
        address: parse_address(&host_port)?,
        state: parse_health(text(fields, "health_status")),
        started_at: duration(metadata, "started_at_ms"),
        zone: zone.to_owned(),
        kind: text(metadata, "kind").unwrap_or_default().to_owned(),
        cell: unsigned(metadata, "cell"),
        protocol: TransportProtocol::Kserve,
    })
}

fn parse_address(host_port: &str) -> Result<SocketAddr, XdsError> {
    host_port
        .parse()
        .map_err(|source| XdsError::InvalidAddress {
            address: host_port.to_owned(),
            source,
        })
}

/// Maps a health status as Envoy does: an endpoint without one counts as healthy.
fn parse_health(status: Option<&str>) -> WorkerState {
    match status {
        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
        Some("DRAINING") => WorkerState::Draining,
        Some(_) => WorkerState::Gone,
    }
}

fn objects<'a>(fields: &'a Object, key: &str) -> impl Iterator<Item = &'a Object> {
    let items: &'a [Value] = list(fields, key);
    items.iter().filter_map(object)
}
