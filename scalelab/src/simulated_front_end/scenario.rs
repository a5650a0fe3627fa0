//! What is varied, one at a time.
use super::{name, AWAY, MS, SEC};
use wrenseam_policy::{
    ClassSettings, Endpoint, Idempotency, KeyScope, Micros, Settings, TenantSettings, WorkerState,
};

/// What is varied, one at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub front_ends: u32,
    pub workers: usize,
    pub functions: usize,
    /// Calls a second at this front end; all others together have the same each.
    pub requests_per_s: f64,
    pub zones: usize,
    /// List changes a second: a worker goes, and the next time a new one comes.
    pub endpoint_changes_per_s: f64,
    /// FunctionPopularity of the n-th function is (n + offset) to the power of -exponent.
    pub popularity_exponent: f64,
    pub popularity_offset: f64,
    pub keep_alive: Micros,
    /// How long a copy takes to load.
    pub load_time: Micros,
    /// Workers load what they lack for a call, else they answer with a miss and only orders load.
    pub load_on_demand: bool,
    /// Calls a second that the tenants' shares allow together, over all front ends.
    pub quota_per_s: f64,
    /// Whether the other front ends' calls keep copies standing; else each function stands where we had it loaded alone.
    pub other_replicas_loaded: bool,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            front_ends: 660,
            workers: 10_000,
            functions: 16_000,
            requests_per_s: 152.0,
            zones: 7,
            endpoint_changes_per_s: 0.0,
            popularity_exponent: 3.0,
            popularity_offset: 150.0,
            keep_alive: 10 * SEC,
            load_time: 400 * MS,
            load_on_demand: true,
            quota_per_s: 120_000.0,
            other_replicas_loaded: true,
            seed: 1,
        }
    }
}

impl Scenario {
    pub fn settings(&self) -> Settings {
        let class = |effect, aim| ClassSettings {
            idempotency: effect,
            key_scope: KeyScope::Zone,
            key_memory: 5 * SEC,
            latency_objective: aim,
            priority_weight: 1.0,
            ..ClassSettings::default()
        };
        let tenant = |_| TenantSettings {
            quota_per_s: self.quota_per_s / 5.0,
            ..TenantSettings::default()
        };
        Settings {
            front_ends: self.front_ends,
            front_end_index: Some(0),
            classes: vec![
                class(Idempotency::Idempotent, 400 * MS),
                class(Idempotency::Keyed, 400 * MS),
            ],
            longest_wait: 5 * SEC,
            tenants: (0..5).map(tenant).collect(),
            zones: (0..self.zones).map(|z| format!("z{z}")).collect(),
            kinds: vec!["std".into()],
            over_quota_weight: 0.1,
            kind_memory_mb: vec![8192.0],
            keep_alive: self.keep_alive,
            load_on_demand: self.load_on_demand,
            load_orders: true,
            order_timeout: 10 * SEC,
            load_budget_window: 5 * SEC,
            load_budget_base: 4.0,
            load_budget_per_request: 0.15,
            max_attempts: 6,
            cancellation: true,
            hedging: true,
            max_retry_after: SEC,
            connect_timeout: AWAY,
            connection_idle_timeout: 15 * SEC,
            streams_per_connection: 100,
            slow_start_from: 0.3,
            slow_start_duration: 12 * SEC,
            overload_multiple: 2.0,
            overload_window: SEC,
            watch_endpoints: false,
        }
    }

    pub fn entry(&self, n: usize, state: WorkerState, started_at: Micros) -> Endpoint {
        Endpoint {
            worker: name(n),
            state,
            started_at,
            zone: Some(n % self.zones.max(1)),
            kind: 0,
            cell: Some((n / 6) as u64),
        }
    }
}
