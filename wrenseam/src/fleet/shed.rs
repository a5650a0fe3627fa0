//! Shedding by class in common: under overload every front end refuses the same classes first, in the order
//! of the settings, by as much as the fleet's pressure asks, so that the refused fraction converges across
//! front ends. No I/O; time is handed in, in microseconds, and chance comes from a seeded generator.
use wrenseam_policy::Micros;

/// Decides which arriving requests are refused at once.
///
/// `order` ranks the classes, those refused first at the front. At fleet pressure `p` (in-flight over
/// capacity; 1.0 at capacity) the share to refuse is `1 - 1/p` above `1`, 0 below; it is taken from the
/// front of the order by each class's share of the recent arrivals, the class at the edge in part.
#[derive(Clone, Debug)]
pub struct Shedder {
    /// For each class of the settings, its rank in the order; classes not named come last, never shed.
    rank: Vec<Option<usize>>,
    /// Arrivals of each rank, decayed.
    arrivals: Vec<f64>,
    decay_for: Micros,
    last: Micros,
    /// The share of arrivals to refuse, from the last pressure told.
    refuse: f64,
}

impl Shedder {
    /// `order[i]` is the index of a class in the settings, `classes` their count; `decay_for` is the time
    /// over which arrivals count (microseconds).
    pub fn new(order: &[usize], classes: usize, decay_for: Micros) -> Self {
        let mut rank = vec![None; classes];
        for (r, &c) in order.iter().enumerate() {
            if let Some(slot) = rank.get_mut(c).filter(|s| s.is_none()) {
                *slot = Some(r);
            }
        }
        // One slot a rank, and one for the classes that are never shed: they count in the whole.
        let ranks = rank.iter().flatten().count();
        Shedder {
            rank,
            arrivals: vec![0.0; ranks + 1],
            decay_for: decay_for.max(1),
            last: 0,
            refuse: 0.0,
        }
    }

    /// The fleet's pressure at `now`, in thousandths of capacity.
    pub fn pressure(&mut self, now: Micros, thousandths: u32) {
        let p = f64::from(thousandths) / 1000.0;
        let want = if p > 1.0 { 1.0 - 1.0 / p } else { 0.0 };
        // Halfway each time: a burst of one summary moves it some, not all.
        self.refuse += 0.5 * (want - self.refuse);
        self.decay(now);
    }

    /// The share of arrivals now refused.
    pub fn refusing(&self) -> f64 {
        self.refuse
    }

    fn decay(&mut self, now: Micros) {
        let past = now.saturating_sub(self.last) as f64 / self.decay_for as f64;
        if past > 0.0 {
            let keep = (-past).exp();
            self.arrivals.iter_mut().for_each(|a| *a *= keep);
            self.last = now;
        }
    }

    /// Whether a request of class `class` that arrives at `now` is refused; `chance` is uniform in [0, 1).
    pub fn refuses(&mut self, now: Micros, class: usize, chance: f64) -> bool {
        self.decay(now);
        let last = self.arrivals.len() - 1;
        let rank = self.rank.get(class).copied().flatten();
        self.arrivals[rank.unwrap_or(last)] += 1.0;
        let Some(rank) = rank else { return false };
        if self.refuse <= 0.0 {
            return false;
        }
        let total: f64 = self.arrivals.iter().sum();
        let before: f64 = self.arrivals[..rank].iter().sum::<f64>() / total;
        let own = self.arrivals[rank] / total;
        let past = self.refuse - before;
        past >= own || past > 0.0 && chance < past / own
    }
}
