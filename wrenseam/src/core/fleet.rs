//! The fleet's bounds as the core applies them: shedding at arrival, the retry budget at each extra attempt.
//! The decisions are `crate::fleet`'s; this keeps their state in the core and counts for the summary.
use crate::config::Fleet;
use crate::fleet::traffic::TrafficKind;
use crate::fleet::{FleetSize, FleetStatus, Lifecycle, RetryBudget, Shedder, Summary};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::fmt::Write;
use wrenseam_policy::{Micros, Settings};

/// How long a larger fleet is remembered once peers are no longer heard (µs).
const SIZE_HOLD: Micros = 60_000_000;

/// The fleet's bounds in one core.
pub struct Gate {
    budget: RetryBudget,
    size: FleetSize,
    shed: Shedder,
    rng: SmallRng,
    wait: Micros,
    capacity: u32,
    news: FleetStatus,
    shed_total: u64,
    denied_total: u64,
    extras_total: u64,
}

impl Gate {
    /// Bounds from the fleet's file, classes named as the settings name them (unknown names are left out).
    pub fn new(fleet: &Fleet, settings: &Settings, seed: u64) -> Gate {
        let window = fleet.window_ms * 1000;
        let order: Vec<usize> = fleet
            .shed_order
            .iter()
            .filter_map(|n| settings.classes.iter().position(|c| &c.name == n))
            .collect();
        Gate {
            budget: RetryBudget::new(fleet.retry_ratio, fleet.retry_floor_per_s, window),
            size: FleetSize::new(fleet.expected, SIZE_HOLD),
            shed: Shedder::new(&order, settings.classes.len(), window),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed_f1ee),
            wait: fleet.shed_wait_ms * 1000,
            capacity: fleet.capacity.max(1),
            news: FleetStatus::default(),
            shed_total: 0,
            denied_total: 0,
            extras_total: 0,
        }
    }

    /// News of the fleet from gossip.
    pub fn news(&mut self, now: Micros, news: FleetStatus) {
        self.news = news;
        self.size.departed(news.departed);
        self.size.seen(now, news.ready());
        self.shed.pressure(now, news.pressure);
    }

    /// This front end's summary with `in_flight` requests open.
    pub fn summary(&self, now: Micros, in_flight: usize) -> Summary {
        let spent = self.budget.usage(now);
        let in_flight = in_flight.min(u32::MAX as usize) as u32;
        Summary {
            in_flight,
            pressure: (u64::from(in_flight) * 1000 / u64::from(self.capacity))
                .min(u64::from(u32::MAX)) as u32,
            firsts: spent.firsts,
            extras: spent.extras,
            denied: spent.denied,
            shed: self.shed_total.min(u64::from(u32::MAX)) as u32,
            ..Summary::default()
        }
    }

    /// The wait to tell, if a request of this class is to be refused at once.
    pub fn sheds(&mut self, now: Micros, class: usize) -> Option<Micros> {
        let chance = self.rng.random::<f64>();
        let refused = self.shed.refuses(now, class, chance);
        self.shed_total += u64::from(refused);
        refused.then_some(self.wait)
    }

    /// An attempt is about to go: `extra` when the request had one already. Whether it may.
    pub fn attempt(&mut self, now: Micros, extra: bool) -> bool {
        if !extra {
            self.budget.first(now);
            return true;
        }
        let may = self.budget.extra(now, self.size.estimate());
        self.extras_total += u64::from(may);
        self.denied_total += u64::from(!may);
        may
    }

    /// Lines for `telemetry`.
    pub fn text(&self, out: &mut String) {
        let (n, d, v) = (&self.news, &self.news.dropped, &self.news.average_dropped);
        let _ = writeln!(out, "app.fleet.peers:{}|g", n.alive);
        let _ = writeln!(out, "app.fleet.size:{}|g", self.size.estimate());
        let _ = writeln!(out, "app.fleet.pressure:{}|g", n.pressure);
        let _ = writeln!(
            out,
            "app.fleet.refusing_permille:{}|g",
            (self.shed.refusing() * 1000.0) as u64
        );
        let _ = writeln!(out, "app.fleet.extra_attempts:{}|c", self.extras_total);
        let _ = writeln!(out, "app.fleet.extra_denied:{}|c", self.denied_total);
        let _ = writeln!(out, "app.fleet.shed:{}|c", self.shed_total);
        let _ = writeln!(out, "app.fleet.edges:{}|g", n.edges.total);
        let _ = writeln!(out, "app.fleet.edges_heard:{}|g", n.edges.heard);
        let _ = writeln!(out, "app.fleet.mixed:{}|g", u8::from(n.mixed));
        for lifecycle in Lifecycle::ALL {
            let (name, count) = (lifecycle.name(), n.by_lifecycle[lifecycle as usize]);
            let _ = writeln!(out, "app.fleet.peers_{name}:{count}|g");
        }
        let _ = writeln!(out, "app.fleet.view_digest:{}|g", n.digest);
        let _ = writeln!(out, "app.fleet.view_stood_ms:{}|g", n.digest_stood / 1000);
        let _ = writeln!(out, "app.fleet.doubt_factor:{}|g", n.health_multiplier);
        for kind in TrafficKind::ALL {
            let (name, sent, held) = (
                kind.name(),
                n.bytes_sent[kind as usize],
                n.bytes_held_back[kind as usize],
            );
            let _ = writeln!(out, "app.fleet.bytes_{name}:{sent}|c");
            let _ = writeln!(out, "app.fleet.held_back_{name}:{held}|c");
        }
        let _ = writeln!(out, "app.fleet.repairs:{}|c", n.records.repairs);
        let _ = writeln!(out, "app.fleet.records_taken:{}|c", n.records.taken);
        let dropped = [
            ("oversized", d.oversized),
            ("foreign", d.foreign),
            ("garbled", d.garbled + v.garbled + n.records.garbled),
            ("stale", v.stale),
            ("stranger", v.stranger + n.records.stranger),
            ("impostor", n.records.impostor),
        ];
        for (cause, count) in dropped {
            let _ = writeln!(out, "app.fleet.dropped_{cause}:{count}|c");
        }
    }
}
