//! Shedding by class in common: under overload every front end refuses the same classes first, in the order
//! of the settings, by as much as the fleet's pressure asks, so that the refused fraction converges across
//! front ends. No I/O; time is handed in, in microseconds, and chance comes from a seeded generator.
use bramblepath::Micros;

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
        Shedder { rank, arrivals: vec![0.0; ranks + 1], decay_for: decay_for.max(1), last: 0, refuse: 0.0 }
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

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{rngs::SmallRng, RngExt, SeedableRng};
    use rstest::rstest;

    const S: Micros = 1_000_000;

    /// Refused share of each class after `n` arrivals, classes in turn.
    fn play(pressure: u32, mix: &[usize], n: usize, seed: u64) -> Vec<f64> {
        let mut shed = Shedder::new(&[1, 0], 3, 5 * S);
        let mut rng = SmallRng::seed_from_u64(seed);
        for step in 0..20 {
            shed.pressure(step * S / 10, pressure);
        }
        let (mut asked, mut refused) = (vec![0.0; 3], vec![0.0; 3]);
        for i in 0..n {
            let class = mix[i % mix.len()];
            asked[class] += 1.0;
            if shed.refuses(2 * S + i as Micros, class, rng.random()) {
                refused[class] += 1.0;
            }
        }
        (0..3).map(|c| if asked[c] > 0.0 { refused[c] / asked[c] } else { 0.0 }).collect()
    }

    #[rstest]
    #[case::calm(800, [0.0, 0.0, 0.0])]
    #[case::at_capacity(1000, [0.0, 0.0, 0.0])]
    // Pressure 1.5 asks a third refused: class 1 (a third of arrivals) goes first and whole.
    #[case::a_third(1500, [0.0, 1.0, 0.0])]
    // Pressure 3 asks two thirds: class 1 whole, class 0 whole; class 2 is not in the order.
    #[case::two_thirds(3000, [1.0, 1.0, 0.0])]
    fn the_order_is_kept(#[case] pressure: u32, #[case] want: [f64; 3]) {
        let got = play(pressure, &[0, 1, 2], 3000, 1);
        for c in 0..3 {
            assert!((got[c] - want[c]).abs() < 0.05, "class {c}: {got:?}");
        }
    }

    #[test]
    fn the_edge_class_is_refused_in_part() {
        // Pressure 1.25 asks a fifth: class 1, half of arrivals, is refused two fifths of the time.
        let got = play(1250, &[0, 1], 4000, 2);
        assert!(got[0] < 0.01 && (got[1] - 0.4).abs() < 0.05, "{got:?}");
    }

    #[test]
    fn front_ends_told_the_same_pressure_refuse_alike() {
        let shares: Vec<f64> = (0..3).map(|seed| play(1250, &[0, 1], 4000, seed)[1]).collect();
        let spread = shares.iter().cloned().fold(0.0, f64::max) - shares.iter().cloned().fold(1.0, f64::min);
        assert!(spread < 0.05, "{shares:?}");
    }
}
