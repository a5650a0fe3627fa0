//! How far the front ends' views of the fleet are from the truth.
use super::{addr, number, SimulatedNetwork, SimulatedPeer};
use std::collections::BTreeSet;
use wrenseam::fleet::identity::MAX_PRESSURE;
use wrenseam::fleet::record::Record;
use wrenseam::fleet::{Node, PeerId};

/// Errors of the mean pressure that front ends hold, as a part of the truth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanError {
    /// The largest.
    pub worst: f64,
    /// The root mean square.
    pub rms: f64,
}

/// What is true of the front ends of one side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetTruth {
    /// Their mean pressure, in thousandths of capacity.
    pub mean_pressure: f64,
    /// How many run.
    pub running: usize,
}

impl SimulatedNetwork {
    /// What differs between the views of all that run on a side, or between them and the truth of who runs and says
    /// what; `None`: all agree, and are right.
    pub fn disagreement(&self, side: u8) -> Option<String> {
        let on_side = (0..self.peers.len()).filter(|&i| self.peers[i].side == side);
        let running: Vec<(usize, &Node)> =
            on_side.filter_map(|i| Some((i, self.node(i)?))).collect();
        let (first, node) = running.first()?;
        let digest = node.members().view_digest().value;
        if let Some((other, _)) = running
            .iter()
            .find(|(_, node)| node.members().view_digest().value != digest)
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

    fn running(&self) -> impl Iterator<Item = &SimulatedPeer> {
        self.peers.iter().filter(|peer| peer.node.is_some())
    }

    /// The truth of the front ends that run on `side`.
    pub fn truth(&self, side: u8) -> FleetTruth {
        let mut sum = 0.0;
        let mut running = 0;
        for peer in self.running().filter(|peer| peer.side == side) {
            sum += f64::from(peer.pressure.min(MAX_PRESSURE));
            running += 1;
        }
        FleetTruth {
            mean_pressure: sum / running.max(1) as f64,
            running,
        }
    }

    /// The truth of both sides.
    fn truths(&self) -> [FleetTruth; 2] {
        [self.truth(0), self.truth(1)]
    }

    /// The errors of the mean pressure, over all that run.
    pub fn error(&self) -> MeanError {
        let truths = self.truths();
        let mut worst = 0.0;
        let mut square = 0.0;
        let mut count = 0.0;
        for peer in self.running() {
            let mean = truths[usize::from(peer.side)].mean_pressure;
            let error = (f64::from(peer.news.pressure) - mean).abs() / mean.max(1.0);
            worst = f64::max(worst, error);
            square += error * error;
            count += 1.0;
        }
        MeanError {
            worst,
            rms: f64::sqrt(square / f64::max(count, 1.0)),
        }
    }

    /// The largest error of the fleet's size, as a part of the truth, over all that run.
    pub fn size_error(&self) -> f64 {
        let truths = self.truths();
        let error = |peer: &SimulatedPeer| {
            let size = truths[usize::from(peer.side)].running as f64;
            (peer.news.alive as f64 + 1.0 - size).abs() / size
        };
        self.running().map(error).fold(0.0, f64::max)
    }
}
