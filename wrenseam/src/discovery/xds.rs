//! Endpoints of KServe v2 workers in Envoy's xDS JSON form.
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{Object, Value};
use wrenseam_policy::json::{list, object, part, span, text, whole};
use wrenseam_policy::WorkerState;

/// Members of an xDS discovery response (or a single resource) of `ClusterLoadAssignment`s. What this
/// project needs beyond xDS stands in each endpoint's `metadata.filter_metadata["wrenseam"]`.
pub fn endpoints(response: &Object) -> Result<Vec<Endpoint>, String> {
    let single = [Value::Object(response.clone())];
    let resources = if response.contains_key("resources") {
        list(response, "resources")
    } else {
        &single
    };
    let mut members = Vec::new();
    let empty = Object::new();
    for assignment in resources.iter().filter_map(object) {
        for locality in list(assignment, "endpoints").iter().filter_map(object) {
            let zone = part(locality, "locality")
                .and_then(|l| text(l, "zone"))
                .unwrap_or_default();
            for lb in list(locality, "lb_endpoints").iter().filter_map(object) {
                let socket = part(lb, "endpoint")
                    .and_then(|e| part(e, "address"))
                    .and_then(|a| part(a, "socket_address"))
                    .ok_or("an endpoint without endpoint.address.socket_address")?;
                let host = text(socket, "address").ok_or("a socket_address without address")?;
                let port =
                    whole(socket, "port_value").ok_or("a socket_address without port_value")?;
                let address = format!("{host}:{port}");
                let own = part(lb, "metadata").and_then(|m| part(m, "filter_metadata"));
                let own = own.and_then(|m| part(m, "wrenseam")).unwrap_or(&empty);
                members.push(Endpoint {
                    id: text(own, "id").unwrap_or(&address).to_owned(),
                    address: address
                        .parse()
                        .map_err(|_| format!("not an address: {address}"))?,
                    // As Envoy reads it: what is not told counts as healthy.
                    state: match text(lb, "health_status") {
                        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
                        Some("DRAINING") => WorkerState::Draining,
                        _ => WorkerState::Gone,
                    },
                    started_at: span(own, "started_at_ms"),
                    zone: zone.to_owned(),
                    kind: text(own, "kind").unwrap_or_default().to_owned(),
                    cell: whole(own, "cell"),
                    protocol: TransportProtocol::Kserve,
                });
            }
        }
    }
    Ok(members)
}
