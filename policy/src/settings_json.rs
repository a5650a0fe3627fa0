//! Parses the settings' JSON, for the simulator adapter and for the front end.
//!
//! The platform defines the keys; this module is the only place that maps them to fields.
use crate::json::{
    as_number, as_text, count, duration, flag, list, nested_object, number, object, text,
};
use crate::settings::{ClassSettings, Idempotency, KeyScope, Settings, TenantSettings};
use crate::types::{Micros, SECOND};
use miniserde::json::{Object, Value};
use std::fmt;

/// Upper bound of `longest_wait`, so that an extreme value cannot overflow the clock.
const MAX_LONGEST_WAIT: Micros = 3_600 * SECOND;
/// Valid indexes of a front end; any other value counts as not stated.
const FRONT_END_INDEXES: std::ops::Range<f64> = 0.0..4e9;
/// The known values of a class's `effect`; a class with any other value is not idempotent.
const EFFECTS: [&str; 3] = ["retryable", "dedup", "fragile"];

impl Settings {
    /// Parses the settings' object: the simulator's `conf` or the platform's `settings`. Unknown keys are ignored; a
    /// missing value counts as not stated.
    pub fn from_json(conf: &Object) -> Settings {
        let empty = Object::new();
        let section = |key: &str| nested_object(conf, key).unwrap_or(&empty);
        let limits = section("limits");
        let rules = section("rules");
        let family = section("family-info");
        let objects = |key: &str| list(conf, key).iter().filter_map(object);
        let longest_wait = objects("classes")
            .map(|class| duration(class, "give-up"))
            .max()
            .unwrap_or(0);
        Settings {
            front_ends: count(conf, "balancers"),
            front_end_index: front_end_index(conf),
            classes: objects("classes").map(class).collect(),
            longest_wait: longest_wait.min(MAX_LONGEST_WAIT),
            tenants: objects("tenants").map(tenant).collect(),
            zones: names(list(conf, "failure-domains")),
            kinds: names(list(conf, "flavors")),
            over_quota_weight: number(conf, "over-share-worth").unwrap_or(0.0),
            kind_memory_mb: numbers(list(family, "machine-mb")),
            keep_alive: duration(family, "keep"),
            load_on_demand: text(family, "when-absent") == Some("load"),
            load_orders: flag(family, "orders"),
            order_timeout: duration(family, "load-wait"),
            load_budget_window: duration(family, "load-span"),
            load_budget_base: number(family, "free-loads").unwrap_or(0.0),
            load_budget_per_request: number(family, "loads-per-request").unwrap_or(0.0),
            max_attempts: count(limits, "max-attempts"),
            cancellation: flag(limits, "may-cancel"),
            hedging: flag(limits, "second-copies"),
            max_retry_after: max_retry_after(limits),
            connect_timeout: duration(limits, "connect-timeout"),
            connection_idle_timeout: duration(limits, "conn-idle"),
            streams_per_connection: count(limits, "streams-per-conn"),
            slow_start_initial_share: number(rules, "cold-from").unwrap_or(0.0),
            slow_start_duration: duration(rules, "warm-within"),
            overload_multiple: number(rules, "fall-multiple").unwrap_or(0.0),
            overload_window: duration(rules, "fall"),
            drain_grace: duration(rules, "drain-grace"),
            health_checks: flag(limits, "probes"),
            watch_endpoints: text(conf, "registry-mode") == Some("ask"),
        }
    }

    /// The values in the settings that cannot be used as written. [`Settings::from_json`] takes such a value as not
    /// stated, and a class with an unknown effect as not idempotent.
    pub fn faults(conf: &Object) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        check_fields("", conf, &TOP_LEVEL, &mut faults);
        for (key, known) in [
            ("limits", &LIMITS[..]),
            ("rules", &RULES),
            ("family-info", &FAMILY),
        ] {
            match conf.get(key) {
                Some(Value::Object(fields)) => {
                    check_fields(&format!("{key}."), fields, known, &mut faults);
                }
                Some(value) => check_value(key.to_owned(), value, Expected::Object, &mut faults),
                None => {}
            }
        }
        for (key, known) in [("classes", &CLASS[..]), ("tenants", &TENANT)] {
            for (position, item) in list(conf, key).iter().enumerate() {
                match item {
                    Value::Object(fields) => {
                        check_fields(&format!("{key}[{position}]."), fields, known, &mut faults);
                    }
                    _ => check_value(key.to_owned(), item, Expected::Object, &mut faults),
                }
            }
        }
        for class in list(conf, "classes").iter().filter_map(object) {
            let unknown = text(class, "effect").filter(|effect| !EFFECTS.contains(effect));
            faults.extend(unknown.map(|effect| SettingsFault::UnknownEffect(effect.to_owned())));
        }
        faults
    }
}

fn class(fields: &Object) -> ClassSettings {
    ClassSettings {
        name: text(fields, "name").unwrap_or_default().to_owned(),
        idempotency: match text(fields, "effect") {
            Some("retryable") => Idempotency::Idempotent,
            Some("dedup") => Idempotency::Keyed,
            _ => Idempotency::NotIdempotent,
        },
        key_scope: match text(fields, "key-scope") {
            Some("all") => KeyScope::All,
            Some("zone") => KeyScope::Zone,
            _ => KeyScope::Cell,
        },
        key_memory: duration(fields, "memory-span"),
        latency_objective: duration(fields, "goal-time"),
        priority_weight: number(fields, "worth").unwrap_or(0.0),
    }
}

fn tenant(fields: &Object) -> TenantSettings {
    TenantSettings {
        name: text(fields, "name").unwrap_or_default().to_owned(),
        quota_per_s: number(fields, "quota-per-s").unwrap_or(0.0),
    }
}

fn front_end_index(conf: &Object) -> Option<u32> {
    let index = number(conf, "index").filter(|index| FRONT_END_INDEXES.contains(index))?;
    Some(index as u32)
}

fn max_retry_after(limits: &Object) -> Micros {
    if flag(limits, "retry-after") {
        duration(limits, "max-retry-after")
    } else {
        0
    }
}

/// Names, given as strings or as objects with a `name`.
fn names(values: &[Value]) -> Vec<String> {
    let name = |value| match object(value) {
        Some(fields) => text(fields, "name"),
        None => as_text(value),
    };
    let owned = |value| name(value).unwrap_or_default().to_owned();
    values.iter().map(owned).collect()
}

fn numbers(values: &[Value]) -> Vec<f64> {
    values
        .iter()
        .map(|value| as_number(value).unwrap_or(0.0))
        .collect()
}

/// A setting that cannot be used as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsFault {
    /// A value does not have the type or range that its key requires.
    Value {
        /// The path of the key.
        key: String,
        /// What is wrong with the value.
        problem: ValueProblem,
    },
    /// A class has an unknown `effect`.
    UnknownEffect(String),
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsFault::Value { key, problem } => write!(formatter, "'{key}' {problem}"),
            SettingsFault::UnknownEffect(effect) => {
                write!(
                    formatter,
                    "effect '{effect}' is unknown: the class is treated as not idempotent"
                )
            }
        }
    }
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueProblem {
    /// A number is negative or not finite.
    OutOfRange,
    /// It is not a number.
    NotNumber,
    /// It is not a string.
    NotText,
    /// It is neither true nor false.
    NotBoolean,
    /// It is not a list.
    NotList,
    /// It is not an object.
    NotObject,
}

impl fmt::Display for ValueProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ValueProblem::OutOfRange => "is negative or not finite",
            ValueProblem::NotNumber => "is not a number",
            ValueProblem::NotText => "is not a string",
            ValueProblem::NotBoolean => "is neither true nor false",
            ValueProblem::NotList => "is not a list",
            ValueProblem::NotObject => "is not an object",
        })
    }
}

/// The type that a setting must have.
#[derive(Clone, Copy)]
enum Expected {
    /// A finite number, 0 or more.
    Number,
    Text,
    Boolean,
    List,
    Object,
}

impl Expected {
    fn problem(self, value: &Value) -> Option<ValueProblem> {
        match (self, value) {
            (Expected::Number, Value::Number(_)) => {
                let usable = |number: f64| number.is_finite() && number >= 0.0;
                (!as_number(value).is_some_and(usable)).then_some(ValueProblem::OutOfRange)
            }
            (Expected::Text, Value::String(_))
            | (Expected::Boolean, Value::Bool(_))
            | (Expected::List, Value::Array(_))
            | (Expected::Object, Value::Object(_)) => None,
            (Expected::Number, _) => Some(ValueProblem::NotNumber),
            (Expected::Text, _) => Some(ValueProblem::NotText),
            (Expected::Boolean, _) => Some(ValueProblem::NotBoolean),
            (Expected::List, _) => Some(ValueProblem::NotList),
            (Expected::Object, _) => Some(ValueProblem::NotObject),
        }
    }
}

/// A key and the type that its value must have.
type KnownKey = (&'static str, Expected);

fn check_fields(
    prefix: &str,
    fields: &Object,
    known: &[KnownKey],
    faults: &mut Vec<SettingsFault>,
) {
    for (key, expected) in known {
        if let Some(value) = fields.get(*key) {
            check_value(format!("{prefix}{key}"), value, *expected, faults);
        }
    }
}

fn check_value(key: String, value: &Value, expected: Expected, faults: &mut Vec<SettingsFault>) {
    if let Some(problem) = expected.problem(value) {
        faults.push(SettingsFault::Value { key, problem });
    }
}

const TOP_LEVEL: [KnownKey; 8] = [
    ("balancers", Expected::Number),
    ("index", Expected::Number),
    ("over-share-worth", Expected::Number),
    ("registry-mode", Expected::Text),
    ("classes", Expected::List),
    ("tenants", Expected::List),
    ("failure-domains", Expected::List),
    ("flavors", Expected::List),
];
const LIMITS: [KnownKey; 9] = [
    ("max-attempts", Expected::Number),
    ("max-retry-after", Expected::Number),
    ("connect-timeout", Expected::Number),
    ("conn-idle", Expected::Number),
    ("streams-per-conn", Expected::Number),
    ("may-cancel", Expected::Boolean),
    ("second-copies", Expected::Boolean),
    ("retry-after", Expected::Boolean),
    ("probes", Expected::Boolean),
];
const RULES: [KnownKey; 5] = [
    ("cold-from", Expected::Number),
    ("warm-within", Expected::Number),
    ("fall-multiple", Expected::Number),
    ("fall", Expected::Number),
    ("drain-grace", Expected::Number),
];
const FAMILY: [KnownKey; 8] = [
    ("machine-mb", Expected::List),
    ("keep", Expected::Number),
    ("when-absent", Expected::Text),
    ("orders", Expected::Boolean),
    ("load-wait", Expected::Number),
    ("load-span", Expected::Number),
    ("free-loads", Expected::Number),
    ("loads-per-request", Expected::Number),
];
const CLASS: [KnownKey; 7] = [
    ("name", Expected::Text),
    ("effect", Expected::Text),
    ("key-scope", Expected::Text),
    ("memory-span", Expected::Number),
    ("goal-time", Expected::Number),
    ("give-up", Expected::Number),
    ("worth", Expected::Number),
];
const TENANT: [KnownKey; 2] = [("name", Expected::Text), ("quota-per-s", Expected::Number)];
