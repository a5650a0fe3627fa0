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
            idempotency: match text(c, "effect") {
                Some("retryable") => Idempotency::Idempotent,
                Some("dedup") => Idempotency::Keyed,
                _ => Idempotency::NotIdempotent,
            },
            key_scope: match text(c, "key-scope") {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            key_memory: span(c, "memory-span"),
            latency_objective: span(c, "goal-time"),
            priority_weight: number(c, "worth").unwrap_or(0.0),
        };
        let tenant = |t: &Object| TenantSettings {
            name: text(t, "name").unwrap_or_default().to_owned(),
            quota_per_s: number(t, "quota-per-s").unwrap_or(0.0),
        };
        let advice = if flag(limits, "retry-after") {
            span(limits, "max-retry-after")
        } else {
            0
        };
        Settings {
            front_ends: count(conf, "balancers"),
            front_end_index: number(conf, "index")
                .filter(|i| (0.0..4e9).contains(i))
                .map(|i| i as u32),
            classes: items("classes").map(class).collect(),
            longest_wait: items("classes")
                .map(|c| span(c, "give-up"))
                .max()
                .unwrap_or(0)
                .min(3_600_000_000),
            tenants: items("tenants").map(tenant).collect(),
            zones: names(list(conf, "failure-domains")),
            kinds: names(list(conf, "flavors")),
            over_quota_weight: number(conf, "over-share-worth").unwrap_or(0.0),
            kind_memory_mb: list(family, "machine-mb")
                .iter()
                .map(|m| as_number(m).unwrap_or(0.0))
                .collect(),
            keep_alive: span(family, "keep"),
            load_on_demand: text(family, "when-absent") == Some("load"),
            load_orders: flag(family, "orders"),
            order_timeout: span(family, "load-wait"),
            load_budget_window: span(family, "load-span"),
            load_budget_base: number(family, "free-loads").unwrap_or(0.0),
            load_budget_per_request: number(family, "loads-per-request").unwrap_or(0.0),
            max_attempts: count(limits, "max-attempts"),
            cancellation: flag(limits, "may-cancel"),
            hedging: flag(limits, "second-copies"),
            max_retry_after: advice,
            connect_timeout: span(limits, "connect-timeout"),
            connection_idle_timeout: span(limits, "conn-idle"),
            streams_per_connection: count(limits, "streams-per-conn"),
            slow_start_from: number(rules, "cold-from").unwrap_or(0.0),
            slow_start_duration: span(rules, "warm-within"),
            overload_multiple: number(rules, "fall-multiple").unwrap_or(0.0),
            overload_window: span(rules, "fall"),
            watch_endpoints: text(conf, "registry-mode") == Some("ask"),
        }
    }

    /// What in the settings cannot be used as it stands, a line each: it counts as not stated, and an effect that is not
    /// known as one that must never run twice. A start and `wrenseam check` tell the same.
    pub fn faults(conf: &Object) -> Vec<String> {
        let mut faults = Vec::new();
        let mut part = |of: &str, fields: &Object, known: &[(&str, Kind)]| {
            for (key, kind) in known {
                if let Some(why) = fields.get(*key).and_then(|value| kind.fault(value)) {
                    faults.push(format!("'{of}{key}' {why}"));
                }
            }
        };
        part("", conf, &TOP);
        for (of, known) in [
            ("limits", &LIMITS[..]),
            ("rules", &RULES),
            ("family-info", &FAMILY),
        ] {
            match conf.get(of) {
                Some(Value::Object(fields)) => part(&format!("{of}."), fields, known),
                Some(_) => part("", conf, &[(of, Kind::Part)]),
                None => {}
            }
        }
        for (of, known) in [("classes", &CLASS[..]), ("tenants", &TENANT)] {
            for (n, item) in list(conf, of).iter().enumerate() {
                match item {
                    Value::Object(fields) => part(&format!("{of}[{n}]."), fields, known),
                    _ => part(
                        of,
                        &Object::from_iter([(String::new(), item.clone())]),
                        &[("", Kind::Part)],
                    ),
                }
            }
        }
        for class in list(conf, "classes").iter().filter_map(object) {
            let effect =
                text(class, "effect").filter(|e| !["retryable", "dedup", "fragile"].contains(e));
            faults.extend(effect.map(|e| format!("effect '{e}' is not known: never to run twice")));
        }
        faults
    }

    /// Position of a class by its name; the list's length where it is not known.
    pub fn class(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|c| c.name == name)
            .unwrap_or(self.classes.len())
    }

    /// Position of a tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t.name == name)
    }
}

fn names(values: &[Value]) -> Vec<String> {
    let name = |v: &Value| {
        object(v)
            .map_or(as_text(v), |o| text(o, "name"))
            .unwrap_or_default()
            .to_owned()
    };
    values.iter().map(name).collect()
}

/// What a setting has to be.
#[derive(Clone, Copy)]
enum Kind {
    /// A number, 0 or more.
    Figure,
    Text,
    Mark,
    List,
    Part,
}

impl Kind {
    fn fault(self, value: &Value) -> Option<&'static str> {
        match (self, value) {
            (Kind::Figure, Value::Number(_))
                if as_number(value).is_some_and(|n| n.is_finite() && n >= 0.0) =>
            {
                None
            }
            (Kind::Figure, Value::Number(_)) => Some("is below 0 or no figure"),
            (Kind::Figure, _) => Some("is no number"),
            (Kind::Text, Value::String(_)) | (Kind::Mark, Value::Bool(_)) => None,
            (Kind::List, Value::Array(_)) | (Kind::Part, Value::Object(_)) => None,
            (Kind::Text, _) => Some("is no text"),
            (Kind::Mark, _) => Some("is neither true nor false"),
            (Kind::List, _) => Some("is no list"),
            (Kind::Part, _) => Some("is no object"),
        }
    }
}

const TOP: [(&str, Kind); 8] = [
    ("balancers", Kind::Figure),
    ("index", Kind::Figure),
    ("over-share-worth", Kind::Figure),
    ("registry-mode", Kind::Text),
    ("classes", Kind::List),
    ("tenants", Kind::List),
    ("failure-domains", Kind::List),
    ("flavors", Kind::List),
];
const LIMITS: [(&str, Kind); 8] = [
    ("max-attempts", Kind::Figure),
    ("max-retry-after", Kind::Figure),
    ("connect-timeout", Kind::Figure),
    ("conn-idle", Kind::Figure),
    ("streams-per-conn", Kind::Figure),
    ("may-cancel", Kind::Mark),
    ("second-copies", Kind::Mark),
    ("retry-after", Kind::Mark),
];
const RULES: [(&str, Kind); 4] = [
    ("cold-from", Kind::Figure),
    ("warm-within", Kind::Figure),
    ("fall-multiple", Kind::Figure),
    ("fall", Kind::Figure),
];
const FAMILY: [(&str, Kind); 8] = [
    ("machine-mb", Kind::List),
    ("keep", Kind::Figure),
    ("when-absent", Kind::Text),
    ("orders", Kind::Mark),
    ("load-wait", Kind::Figure),
    ("load-span", Kind::Figure),
    ("free-loads", Kind::Figure),
    ("loads-per-request", Kind::Figure),
];
const CLASS: [(&str, Kind); 7] = [
    ("name", Kind::Text),
    ("effect", Kind::Text),
    ("key-scope", Kind::Text),
    ("memory-span", Kind::Figure),
    ("goal-time", Kind::Figure),
    ("give-up", Kind::Figure),
    ("worth", Kind::Figure),
];
const TENANT: [(&str, Kind); 2] = [("name", Kind::Text), ("quota-per-s", Kind::Figure)];
