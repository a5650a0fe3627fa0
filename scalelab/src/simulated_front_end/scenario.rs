//! The parameters of a simulation: the size of the fleet, the traffic and the settings that experiments vary.
use super::{worker_name, CONNECT_TIMEOUT, MS, SEC, TENANTS};
use wrenseam_policy::{
    ClassSettings, Endpoint, Idempotency, KeyScope, Micros, Settings, TenantSettings, WorkerState,
};

/// Workers in each cell (consecutive indices).
const WORKERS_PER_CELL: usize = 6;

/// The parameters of a simulation, of which an experiment varies one at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Front ends that share the workers.
    pub front_ends: u32,
    /// Workers in the endpoint list.
    pub workers: usize,
    /// Functions that clients call.
    pub functions: usize,
    /// Requests per second at this front end; each of the others gets as many.
    pub requests_per_s: f64,
    /// Zones that the workers are spread over.
    pub zones: usize,
    /// Endpoint list changes per second: a worker leaves, and at the next change a new one joins.
    pub endpoint_changes_per_s: f64,
    /// Exponent of the functions' popularity: the weight of the n-th function, from 1, is
    /// (n + `popularity_offset`)^-`popularity_exponent`. 0 gives all functions the same weight.
    pub popularity_exponent: f64,
    /// Added to the rank of each function; larger values flatten the distribution at the most popular functions.
    pub popularity_offset: f64,
    /// Time that an idle replica stays loaded.
    pub keep_alive: Micros,
    /// Time that a replica takes to load.
    pub load_time: Micros,
    /// Whether a worker loads a missing function for a request; if not, it answers that the function is not loaded, and
    /// only load orders load it.
    pub load_on_demand: bool,
    /// Requests per second that the quotas of all tenants together allow, over all front ends.
    pub quota_per_s: f64,
    /// Whether requests of the other front ends keep replicas loaded; if not, only this front end's requests do.
    pub other_replicas_loaded: bool,
    /// Seed of all random numbers.
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
    /// The settings of the policy of front end 0.
    pub fn settings(&self) -> Settings {
        let class = |idempotency, latency_objective| ClassSettings {
            idempotency,
            key_scope: KeyScope::Zone,
            key_memory: 5 * SEC,
            latency_objective,
            priority_weight: 1.0,
            ..ClassSettings::default()
        };
        let tenant = |_| TenantSettings {
            quota_per_s: self.quota_per_s / TENANTS as f64,
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
            tenants: (0..TENANTS).map(tenant).collect(),
            zones: (0..self.zones).map(|zone| format!("z{zone}")).collect(),
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
            connect_timeout: CONNECT_TIMEOUT,
            connection_idle_timeout: 15 * SEC,
            streams_per_connection: 100,
            slow_start_initial_share: 0.3,
            slow_start_duration: 12 * SEC,
            overload_multiple: 2.0,
            overload_window: SEC,
            drain_grace: 0,
            health_checks: false,
            watch_endpoints: false,
        }
    }

    /// The endpoint list entry of the worker of this index.
    pub fn endpoint(&self, index: usize, state: WorkerState, started_at: Micros) -> Endpoint {
        Endpoint {
            worker: worker_name(index),
            state,
            started_at,
            zone: Some(index % self.zones.max(1)),
            kind: 0,
            cell: Some((index / WORKERS_PER_CELL) as u64),
        }
    }
}
