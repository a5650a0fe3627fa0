//! How far the front ends' views of the fleet are from the truth.
use super::{addr, number, SimulatedNetwork};
use std::collections::BTreeSet;
use wrenseam::fleet::identity::MAX_PRESSURE;
use wrenseam::fleet::record::Record;
use wrenseam::fleet::{Node, PeerId};

impl SimulatedNetwork {
    /// What differs between the views of all that run on a side, or between them and the truth of who runs and says
    /// what; `None`: all agree, and are right.
    pub fn disagreement(&self, side: u8) -> Option<String> {
        let on_side = (0..self.peers.len()).filter(|&i| self.peers[i].side == side);
        let running: Vec<(usize, &Node)> =
            on_side.filter_map(|i| Some((i, self.node(i)?))).collect();
        let (first, node) = running.first()?;
        let digest = node.members().digest().0;
        if let Some((other, _)) = running
            .iter()
            .find(|(_, node)| node.members().digest().0 != digest)
        {
            let wrong = self
                .wrong_in(*other, &running)
                .or_else(|| self.wrong_in(*first, &running));
            return Some(wrong.unwrap_or(format!("{other} has another digest than {first}")));
        }
        self.wrong_in(*first, &running)
    }

    /// What front end `i` has wrong of those that run.
    fn wrong_in(&self, i: usize, running: &[(usize, &Node)]) -> Option<String> {
        let directory = self.node(i)?.members().directory();
        let truth: Vec<&Record> = running
            .iter()
            .map(|(_, node)| node.members().directory().own())
            .collect();
        let alive: BTreeSet<PeerId> = directory.alive().collect();
        let others = || truth.iter().filter(|record| record.owner != addr(i));
        let should: BTreeSet<PeerId> = others().map(|record| record.id()).collect();
        if let Some(id) = alive.symmetric_difference(&should).next() {
            let how = if alive.contains(id) {
                "wrongly alive"
            } else {
                "missing"
            };
            let (known, right) = (alive.len(), should.len());
            return Some(format!(
                "{i} has {} {how} ({known} alive, {right} right)",
                number(id.addr)
            ));
        }
        let other =
            others().find(|record| directory.record(record.owner).as_ref() != Some(**record))?;
        Some(format!("{i} has another record of {}", number(other.owner)))
    }

    /// The true mean pressure, in thousandths, of the front ends that run on `side`, and how many they are.
    pub fn truth(&self, side: u8) -> (f64, usize) {
        let up = self
            .peers
            .iter()
            .filter(|f| f.node.is_some() && f.side == side);
        let (sum, n) = up.fold((0.0, 0), |(s, n), f| {
            (s + f64::from(f.pressure.min(MAX_PRESSURE)), n + 1)
        });
        (sum / n.max(1) as f64, n)
    }

    /// The largest and the root mean square error of the mean, as a part of the truth, over all that run.
    pub fn error(&self) -> (f64, f64) {
        let truth: Vec<f64> = (0..=1).map(|side| self.truth(side).0).collect();
        let errors = self.peers.iter().filter(|f| f.node.is_some()).map(|f| {
            let t = truth[usize::from(f.side)];
            (f64::from(f.news.pressure) - t).abs() / t.max(1.0)
        });
        let (most, sum, n) = errors.fold((0.0, 0.0, 0.0), |(m, s, n), e| {
            (f64::max(m, e), s + e * e, n + 1.0)
        });
        (most, f64::sqrt(sum / f64::max(n, 1.0)))
    }

    /// The largest error of the fleet's size, as a part of the truth, over all that run.
    pub fn size_error(&self) -> f64 {
        let truth: Vec<f64> = (0..=1).map(|side| self.truth(side).1 as f64).collect();
        let up = self.peers.iter().filter(|f| f.node.is_some());
        up.map(|f| {
            let t = truth[usize::from(f.side)];
            (f.news.alive as f64 + 1.0 - t).abs() / t
        })
        .fold(0.0, f64::max)
    }
}
