//! Load shedding by class across the fleet: under overload every front end sheds the same classes first, in the order
//! of the settings, by as much as the fleet's pressure asks, so that the shed fraction converges across front ends.
//! No I/O; time is handed in, in microseconds, and chance comes from a seeded generator.
use wrenseam_policy::Micros;

/// The pressure of a fleet at its capacity, in thousandths.
const PRESSURE_AT_CAPACITY: f64 = 1000.0;
/// How far the shed part moves towards its target with each pressure: halfway, so that a burst in one summary moves it
/// some, not all.
const SMOOTHING: f64 = 0.5;

/// Decides which arriving requests are shed.
///
/// `order` ranks the classes, those shed first at the front. At fleet pressure `p` (in-flight over
/// capacity; 1.0 at capacity) the part to shed is `1 - 1/p` above `1`, 0 below; it is taken from the
/// front of the order by each class's share of the recent arrivals, the class at the edge in part.
#[derive(Clone, Debug)]
pub struct Shedder {
    /// For each class of the settings, its rank in the order; classes not named come last, never shed.
    ranks: Vec<Option<usize>>,
    /// Arrivals of each rank, decayed, and last those of classes that are never shed.
    arrivals: Vec<f64>,
    decay_for: Micros,
    /// When arrivals were last decayed.
    decayed_at: Micros,
    /// The part of arrivals to shed, by the pressures so far.
    shed_fraction: f64,
}

impl Shedder {
    /// `order[i]` is the index of a class in the settings, `classes` their count; `decay_for` is the time
    /// over which arrivals count (microseconds).
    pub fn new(order: &[usize], classes: usize, decay_for: Micros) -> Self {
        let mut ranks = vec![None; classes];
        for (rank, &class) in order.iter().enumerate() {
            if let Some(unranked) = ranks.get_mut(class).filter(|known| known.is_none()) {
                *unranked = Some(rank);
            }
        }
        // One count a rank, and one for the classes that are never shed: they count in the total.
        let ranked = ranks.iter().flatten().count();
        Shedder {
            ranks,
            arrivals: vec![0.0; ranked + 1],
            decay_for: decay_for.max(1),
            decayed_at: 0,
            shed_fraction: 0.0,
        }
    }

    /// The fleet's pressure at `now`, in thousandths of capacity.
    pub fn set_pressure(&mut self, now: Micros, thousandths: u32) {
        let pressure = f64::from(thousandths) / PRESSURE_AT_CAPACITY;
        let target = if pressure > 1.0 {
            1.0 - 1.0 / pressure
        } else {
            0.0
        };
        self.shed_fraction += SMOOTHING * (target - self.shed_fraction);
        self.decay(now);
    }

    /// The part of arrivals that is shed now.
    pub fn shed_fraction(&self) -> f64 {
        self.shed_fraction
    }

    fn decay(&mut self, now: Micros) {
        let past = now.saturating_sub(self.decayed_at) as f64 / self.decay_for as f64;
        if past > 0.0 {
            let remaining = (-past).exp();
            for arrivals in &mut self.arrivals {
                *arrivals *= remaining;
            }
            self.decayed_at = now;
        }
    }

    /// Whether a request of class `class` that arrives at `now` is shed; `chance` is uniform in [0, 1).
    pub fn should_shed(&mut self, now: Micros, class: usize, chance: f64) -> bool {
        self.decay(now);
        let never_shed = self.arrivals.len() - 1;
        let rank = self.ranks.get(class).copied().flatten();
        self.arrivals[rank.unwrap_or(never_shed)] += 1.0;
        let Some(rank) = rank else {
            return false;
        };
        if self.shed_fraction <= 0.0 {
            return false;
        }
        let total: f64 = self.arrivals.iter().sum();
        let before: f64 = self.arrivals[..rank].iter().sum::<f64>() / total;
        let own = self.arrivals[rank] / total;
        let remaining = self.shed_fraction - before;
        remaining >= own || remaining > 0.0 && chance < remaining / own
    }
}
