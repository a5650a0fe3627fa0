//! Admission control by the fleet's limits: load shedding when a request arrives, and the retry budget for each attempt
//! after the first. `crate::fleet` has the algorithms; this module holds their state and the totals for `telemetry`.
use crate::config::FleetConfig;
use crate::fleet::traffic::TrafficKind;
use crate::fleet::{FleetSize, FleetStatus, Lifecycle, RetryBudget, Shedder, Summary};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::fmt::Write;
use wrenseam_policy::{Micros, Settings};

/// How long the largest fleet size is still assumed after peers have become unreachable, in microseconds.
const FLEET_SIZE_HOLD: Micros = 60_000_000;

/// XORed with the seed, so that the shedder's random numbers differ from those that the policy draws from the same
/// seed.
const SHEDDING_SEED_MASK: u64 = 0x5eed_f1ee;

/// Admission control of one core: which requests are shed, and which further attempts may start.
pub struct FleetAdmission {
    retry_budget: RetryBudget,
    fleet_size: FleetSize,
    shedder: Shedder,
    rng: SmallRng,
    /// The Retry-After of a request that is shed, in microseconds.
    shed_retry_after: Micros,
    /// The number of open requests that counts as full load: a pressure of 1000 thousandths.
    capacity: u32,
    status: FleetStatus,
    totals: Totals,
}

/// Counts since the start of this process.
#[derive(Default)]
struct Totals {
    shed: u64,
    extra_attempts: u64,
    extra_attempts_denied: u64,
}

impl FleetAdmission {
    /// Admission control as the fleet's file configures it. Names in the shed order that are not classes of the
    /// settings are ignored.
    pub fn new(fleet: &FleetConfig, settings: &Settings, seed: u64) -> FleetAdmission {
        let window = fleet.window_ms * 1000;
        let shed_order: Vec<usize> = fleet
            .shed_order
            .iter()
            .filter_map(|name| settings.classes.iter().position(|c| &c.name == name))
            .collect();
        FleetAdmission {
            retry_budget: RetryBudget::new(fleet.retry_ratio, fleet.retry_floor_per_s, window),
            fleet_size: FleetSize::new(fleet.expected, FLEET_SIZE_HOLD),
            shedder: Shedder::new(&shed_order, settings.classes.len(), window),
            rng: SmallRng::seed_from_u64(seed ^ SHEDDING_SEED_MASK),
            shed_retry_after: fleet.shed_wait_ms * 1000,
            capacity: fleet.capacity.max(1),
            status: FleetStatus::default(),
            totals: Totals::default(),
        }
    }

    /// Applies the fleet's status from gossip: its size limits the retry budget, and its pressure the shedding.
    pub fn update(&mut self, now: Micros, status: FleetStatus) {
        self.status = status;
        self.fleet_size.remove_departed(status.departed);
        self.fleet_size.update(now, status.ready());
        self.shedder.set_pressure(now, status.pressure);
    }

    /// This front end's load summary for its peers, with this many requests open.
    pub fn summary(&self, now: Micros, open_requests: usize) -> Summary {
        let usage = self.retry_budget.usage(now);
        let in_flight = open_requests.min(u32::MAX as usize) as u32;
        let pressure = u64::from(in_flight) * 1000 / u64::from(self.capacity);
        Summary {
            in_flight,
            pressure: saturate(pressure),
            first_attempts: usage.first_attempts,
            extra_attempts: usage.extra_attempts,
            denied: usage.denied,
            shed: saturate(self.totals.shed),
            ..Summary::default()
        }
    }

    /// Decides whether an arriving request of this class is shed. Returns the Retry-After of the rejection if it is.
    pub fn shed(&mut self, now: Micros, class: usize) -> Option<Micros> {
        let chance = self.rng.random::<f64>();
        if !self.shedder.should_shed(now, class, chance) {
            return None;
        }
        self.totals.shed += 1;
        Some(self.shed_retry_after)
    }

    /// Whether an attempt may start; counts it either way. First attempts always may. An `extra` attempt (a retry or a
    /// hedged request) needs room in the fleet's retry budget.
    pub fn admit_attempt(&mut self, now: Micros, extra: bool) -> bool {
        if !extra {
            self.retry_budget.record_first_attempt(now);
            return true;
        }
        let admitted = self
            .retry_budget
            .admit_extra_attempt(now, self.fleet_size.estimate());
        if admitted {
            self.totals.extra_attempts += 1;
        } else {
            self.totals.extra_attempts_denied += 1;
        }
        admitted
    }

    /// Appends the fleet's metrics to the text of `telemetry`, one per line.
    pub fn write_telemetry(&self, text: &mut String) {
        self.write_limits(text);
        self.write_view(text);
        self.write_traffic(text);
        self.write_dropped(text);
    }

    fn write_limits(&self, text: &mut String) {
        let shed_permille = (self.shedder.shed_fraction() * 1000.0) as u64;
        let _ = writeln!(text, "app.fleet.peers:{}|g", self.status.alive);
        let _ = writeln!(text, "app.fleet.size:{}|g", self.fleet_size.estimate());
        let _ = writeln!(text, "app.fleet.pressure:{}|g", self.status.pressure);
        let _ = writeln!(text, "app.fleet.refusing_permille:{shed_permille}|g");
        let extra = self.totals.extra_attempts;
        let _ = writeln!(text, "app.fleet.extra_attempts:{extra}|c");
        let denied = self.totals.extra_attempts_denied;
        let _ = writeln!(text, "app.fleet.extra_denied:{denied}|c");
        let _ = writeln!(text, "app.fleet.shed:{}|c", self.totals.shed);
    }

    fn write_view(&self, text: &mut String) {
        let status = &self.status;
        let _ = writeln!(text, "app.fleet.edges:{}|g", status.edges.total);
        let _ = writeln!(text, "app.fleet.edges_heard:{}|g", status.edges.heard);
        let _ = writeln!(text, "app.fleet.mixed:{}|g", u8::from(status.mixed));
        for lifecycle in Lifecycle::ALL {
            let name = lifecycle.name();
            let count = status.by_lifecycle[lifecycle as usize];
            let _ = writeln!(text, "app.fleet.peers_{name}:{count}|g");
        }
        let unchanged_ms = status.view_unchanged_for / 1000;
        let _ = writeln!(text, "app.fleet.view_digest:{}|g", status.view_digest);
        let _ = writeln!(text, "app.fleet.view_stood_ms:{unchanged_ms}|g");
        let _ = writeln!(
            text,
            "app.fleet.doubt_factor:{}|g",
            status.health_multiplier
        );
    }

    fn write_traffic(&self, text: &mut String) {
        for kind in TrafficKind::ALL {
            let name = kind.name();
            let sent = self.status.bytes_sent[kind as usize];
            let over_budget = self.status.bytes_over_budget[kind as usize];
            let _ = writeln!(text, "app.fleet.bytes_{name}:{sent}|c");
            let _ = writeln!(text, "app.fleet.held_back_{name}:{over_budget}|c");
        }
    }

    fn write_dropped(&self, text: &mut String) {
        let records = &self.status.records;
        let datagrams = &self.status.dropped;
        let averages = &self.status.average_dropped;
        let garbled = datagrams.garbled + averages.garbled + records.garbled;
        let _ = writeln!(text, "app.fleet.repairs:{}|c", records.repairs);
        let _ = writeln!(text, "app.fleet.records_taken:{}|c", records.merged);
        let dropped = [
            ("oversized", datagrams.oversized),
            ("foreign", datagrams.foreign),
            ("garbled", garbled),
            ("stale", averages.stale),
            ("stranger", averages.unexpected + records.rejected_sender),
            ("impostor", records.refuted),
        ];
        for (cause, count) in dropped {
            let _ = writeln!(text, "app.fleet.dropped_{cause}:{count}|c");
        }
    }
}

fn saturate(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
