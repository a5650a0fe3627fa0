//! What the administration API shows of the core.
use super::Core;
use miniserde::json::{self, Number, Object, Value};

impl Core {
    /// Tenants with their quotas and counts, members and open requests, as JSON.
    pub(super) fn inspect(&self) -> String {
        let object = |fields: Vec<(&str, Value)>| {
            Value::Object(
                fields
                    .into_iter()
                    .map(|(k, v)| (k.to_owned(), v))
                    .collect::<Object>(),
            )
        };
        let count = |n: u64| Value::Number(Number::U64(n));
        let tenants = self.counts.iter().enumerate().map(|(t, c)| {
            let told = self.settings.tenants.get(t);
            object(vec![
                (
                    "name",
                    Value::String(told.map_or("(unknown)", |t| &t.name).to_owned()),
                ),
                (
                    "quota_per_s",
                    Value::Number(Number::F64(told.map_or(0.0, |t| t.quota_per_s))),
                ),
                ("asked", count(c.asked)),
                ("served", count(c.served)),
                ("refused", count(c.refused)),
                ("failed", count(c.failed)),
                ("withdrawn", count(c.withdrawn)),
            ])
        });
        let endpoints = self.peers.values().map(|p| {
            object(vec![
                ("name", Value::String(p.endpoint.id.clone())),
                ("address", Value::String(p.endpoint.address.to_string())),
                (
                    "state",
                    Value::String(format!("{:?}", p.endpoint.state).to_lowercase()),
                ),
                ("zone", Value::String(p.endpoint.zone.clone())),
                (
                    "speech",
                    Value::String(format!("{:?}", p.endpoint.protocol).to_lowercase()),
                ),
            ])
        });
        let fields = vec![
            ("tenants", Value::Array(tenants.collect())),
            ("endpoints", Value::Array(endpoints.collect())),
            ("open_requests", count(self.requests.len() as u64)),
        ];
        json::to_string(&object(fields))
    }
}
