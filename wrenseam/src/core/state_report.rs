//! The JSON of `/v1/state`. Its keys are part of the administration API and must not change.
use super::counters::TenantCounts;
use super::Core;
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{self, Array, Number, Object, Value};
use wrenseam_policy::{TenantSettings, WorkerState};

impl Core {
    /// The JSON text: tenants with their quotas and counts, endpoints, and the number of open requests.
    pub(super) fn state_report(&self) -> String {
        let settings = self.settings.tenants.iter().map(Some);
        let tenants: Array = self
            .tenant_counters
            .iter()
            .zip(settings.chain(std::iter::once(None)))
            .map(|(counts, tenant)| tenant_report(tenant, counts))
            .collect();
        let endpoints: Array = self.workers.endpoints().map(endpoint_report).collect();
        json::to_string(&object([
            ("tenants", Value::Array(tenants)),
            ("endpoints", Value::Array(endpoints)),
            ("open_requests", count(self.requests.len() as u64)),
        ]))
    }
}

/// The record of one tenant; `tenant` is `None` for the counts of all tenants that the settings do not name.
fn tenant_report(tenant: Option<&TenantSettings>, counts: &TenantCounts) -> Value {
    let name = tenant.map_or("(unknown)", |tenant| &tenant.name);
    let quota_per_s = tenant.map_or(0.0, |tenant| tenant.quota_per_s);
    object([
        ("name", text(name)),
        ("quota_per_s", Value::Number(Number::F64(quota_per_s))),
        ("asked", count(counts.received)),
        ("served", count(counts.completed)),
        ("refused", count(counts.rejected)),
        ("failed", count(counts.failed)),
        ("withdrawn", count(counts.cancelled)),
    ])
}

fn endpoint_report(endpoint: &Endpoint) -> Value {
    let state = match endpoint.state {
        WorkerState::Ready => "ready",
        WorkerState::Draining => "draining",
        WorkerState::Gone => "gone",
    };
    let protocol = match endpoint.protocol {
        TransportProtocol::Frames => "frames",
        TransportProtocol::Kserve => "kserve",
    };
    object([
        ("name", text(&endpoint.id)),
        ("address", text(&endpoint.address.to_string())),
        ("state", text(state)),
        ("zone", text(&endpoint.zone)),
        ("speech", text(protocol)),
    ])
}

fn object<const N: usize>(fields: [(&str, Value); N]) -> Value {
    let fields = fields
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value));
    Value::Object(fields.collect::<Object>())
}

fn count(count: u64) -> Value {
    Value::Number(Number::U64(count))
}

fn text(text: &str) -> Value {
    Value::String(text.to_owned())
}
