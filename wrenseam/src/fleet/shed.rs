//! Load shedding by class. Under overload, every front end sheds the same classes first, in the configured order, and
//! computes the fraction to shed from the fleet's mean pressure, so that the front ends converge on the same fraction.
//! No I/O; the caller passes the time, in microseconds, and random numbers.
use wrenseam_policy::Micros;

/// The pressure, in thousandths, of a fleet that is at its capacity.
const PRESSURE_AT_CAPACITY: f64 = 1000.0;
/// The weight of a new sample in the exponentially smoothed shed fraction. At one half, a burst in a single load report
/// moves the fraction only halfway to its target.
const SMOOTHING: f64 = 0.5;

/// Decides which arriving requests to shed.
///
/// The shed order ranks the classes; rank 0 is shed first. At a fleet pressure `p` (requests in flight divided by
/// capacity), the fraction of arrivals to shed is `1 - 1/p` if `p` is above 1, else 0. Classes are shed completely in
/// their order as long as their share of recent arrivals fits into that fraction. The next class is shed at random to
/// make up the rest.
#[derive(Clone, Debug)]
pub struct Shedder {
    /// The rank in the shed order of each class in the settings; `None` for classes that are never shed.
    ranks: Vec<Option<usize>>,
    /// Exponentially decayed arrivals per rank. The last element counts the classes that are never shed.
    arrivals: Vec<f64>,
    /// The time in which arrivals decay by a factor of e.
    decay_time: Micros,
    /// When arrivals were last decayed.
    decayed_at: Micros,
    /// The smoothed fraction of arrivals to shed.
    shed_fraction: f64,
}

impl Shedder {
    /// `order` lists the classes to shed, as indices into the settings, which have `classes` classes; those shed first
    /// come first. Arrivals decay by a factor of e in `decay_time` microseconds.
    pub fn new(order: &[usize], classes: usize, decay_time: Micros) -> Self {
        let mut ranks = vec![None; classes];
        for (rank, &class) in order.iter().enumerate() {
            if let Some(unranked) = ranks.get_mut(class).filter(|rank| rank.is_none()) {
                *unranked = Some(rank);
            }
        }
        // One more count than ranks: classes that are never shed count in the total arrivals.
        let ranked = ranks.iter().flatten().count();
        Shedder {
            ranks,
            arrivals: vec![0.0; ranked + 1],
            decay_time: decay_time.max(1),
            decayed_at: 0,
            shed_fraction: 0.0,
        }
    }

    /// Updates the shed fraction from the fleet's pressure at `now`, in thousandths of capacity.
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

    /// The fraction of arrivals that is currently shed, from 0 to 1.
    pub fn shed_fraction(&self) -> f64 {
        self.shed_fraction
    }

    fn decay(&mut self, now: Micros) {
        let decay_times = now.saturating_sub(self.decayed_at) as f64 / self.decay_time as f64;
        if decay_times > 0.0 {
            let remaining = (-decay_times).exp();
            for arrivals in &mut self.arrivals {
                *arrivals *= remaining;
            }
            self.decayed_at = now;
        }
    }

    /// Whether to shed a request of this class that arrives at `now`. Counts the arrival. `chance` is a random number,
    /// uniform in [0, 1).
    pub fn should_shed(&mut self, now: Micros, class: usize, chance: f64) -> bool {
        self.decay(now);
        let never_shed_index = self.arrivals.len() - 1;
        let rank = self.ranks.get(class).copied().flatten();
        self.arrivals[rank.unwrap_or(never_shed_index)] += 1.0;
        let Some(rank) = rank else {
            return false;
        };
        if self.shed_fraction <= 0.0 {
            return false;
        }
        let total: f64 = self.arrivals.iter().sum();
        let earlier_share: f64 = self.arrivals[..rank].iter().sum::<f64>() / total;
        let own_share = self.arrivals[rank] / total;
        let remaining = self.shed_fraction - earlier_share;
        remaining >= own_share || remaining > 0.0 && chance < remaining / own_share
    }
}
