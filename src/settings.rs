//! The one reader of the settings' JSON, used by the adapter and by the program.
use crate::interface::*;
use crate::json::{as_number, as_text, count, flag, list, number, object, part, span, text};
use miniserde::json::{Object, Value};

impl Settings {
    /// Reads the object that an instance is given: the simulator's `conf`, the platform's `settings`.
    /// Unknown keys are skipped; what is absent counts as not stated.
    pub fn from_json(conf: &Object) -> Settings {
        let empty = Object::new();
        let part = |key: &str| part(conf, key).unwrap_or(&empty);
        let (limits, rules, family) = (part("limits"), part("rules"), part("family-info"));
        let items = |key: &str| list(conf, key).iter().filter_map(object);
        let class = |c: &Object| ClassSettings {
            name: text(c, "name").unwrap_or_default().to_owned(),
            effect: match text(c, "effect") {
                Some("retryable") => Effect::Safe,
                Some("dedup") => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match text(c, "key-scope") {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                _ => Group::Cell,
            },
            window: span(c, "memory-span"),
            aim: span(c, "goal-time"),
            worth: number(c, "worth").unwrap_or(0.0),
        };
        let tenant = |t: &Object| TenantSettings {
            name: text(t, "name").unwrap_or_default().to_owned(),
            quota_per_s: number(t, "quota-per-s").unwrap_or(0.0),
        };
        let advice = if flag(limits, "retry-after") { span(limits, "max-retry-after") } else { 0 };
        Settings {
            gateways: count(conf, "balancers"),
            index: number(conf, "index").filter(|i| (0.0..4e9).contains(i)).map(|i| i as u32),
            classes: items("classes").map(class).collect(),
            longest_wait: items("classes").map(|c| span(c, "give-up")).max().unwrap_or(0).min(3_600_000_000),
            tenants: items("tenants").map(tenant).collect(),
            zones: names(list(conf, "failure-domains")),
            kinds: names(list(conf, "flavors")),
            over_share_worth: number(conf, "over-share-worth").unwrap_or(0.0),
            kind_memory_mb: list(family, "machine-mb").iter().map(|m| as_number(m).unwrap_or(0.0)).collect(),
            keep: span(family, "keep"),
            load_on_absence: text(family, "when-absent") == Some("load"),
            orders: flag(family, "orders"),
            order_timeout: span(family, "load-wait"),
            load_window: span(family, "load-span"),
            load_free: number(family, "free-loads").unwrap_or(0.0),
            load_share: number(family, "loads-per-request").unwrap_or(0.0),
            max_attempts: count(limits, "max-attempts"),
            may_cancel: flag(limits, "may-cancel"),
            second_copies: flag(limits, "second-copies"),
            max_retry_after: advice,
            connect_timeout: span(limits, "connect-timeout"),
            connection_idle: span(limits, "conn-idle"),
            streams_per_connection: count(limits, "streams-per-conn"),
            cold_from: number(rules, "cold-from").unwrap_or(0.0),
            warm_within: span(rules, "warm-within"),
            fall_multiple: number(rules, "fall-multiple").unwrap_or(0.0),
            fall_window: span(rules, "fall"),
            ask_for_list: text(conf, "registry-mode") == Some("ask"),
        }
    }

    /// Position of a class by its name; the list's length where it is not known.
    pub fn class(&self, name: &str) -> usize {
        self.classes.iter().position(|c| c.name == name).unwrap_or(self.classes.len())
    }

    /// Position of a tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t.name == name)
    }
}

fn names(values: &[Value]) -> Vec<String> {
    let name = |v: &Value| object(v).map_or(as_text(v), |o| text(o, "name")).unwrap_or_default().to_owned();
    values.iter().map(name).collect()
}
