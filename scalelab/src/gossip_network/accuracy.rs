//! Compares the front ends' views of the fleet with its true state.
use super::{address_of, index_of, SimulatedNetwork, SimulatedPeer};
use std::collections::BTreeSet;
use wrenseam::fleet::identity::MAX_PRESSURE;
use wrenseam::fleet::record::Record;
use wrenseam::fleet::{Node, PeerId};

/// Error of the front ends' estimates of the mean pressure, as a fraction of the true mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanError {
    /// The largest error of any front end.
    pub worst: f64,
    /// The root mean square of the errors.
    pub rms: f64,
}

/// True state of the running front ends on one side of a partition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetTruth {
    /// Mean of their pressures, in thousandths of capacity.
    pub mean_pressure: f64,
    /// Number of running front ends.
    pub running: usize,
}

impl SimulatedNetwork {
    /// Describes one difference between the views of the running front ends on a side, or between a view and the true
    /// members and records. `None` if all views are equal and correct.
    pub fn disagreement(&self, side: u8) -> Option<String> {
        let on_side = (0..self.peers.len()).filter(|&index| self.peers[index].side == side);
        let running: Vec<(usize, &Node)> = on_side
            .filter_map(|index| Some((index, self.node(index)?)))
            .collect();
        let (first, node) = running.first()?;
        let digest = node.members().view_digest().value;
        if let Some((differing, _)) = running
            .iter()
            .find(|(_, node)| node.members().view_digest().value != digest)
        {
            let error = self
                .view_error(*differing, &running)
                .or_else(|| self.view_error(*first, &running));
            return Some(error.unwrap_or(format!(
                "front ends {differing} and {first} have different view digests"
            )));
        }
        self.view_error(*first, &running)
    }

    /// Describes one error in the view of front end `index`, given all running front ends on its side. `None` if the
    /// view is correct.
    fn view_error(&self, index: usize, running: &[(usize, &Node)]) -> Option<String> {
        let directory = self.node(index)?.members().directory();
        let truth: Vec<&Record> = running
            .iter()
            .map(|(_, node)| node.members().directory().own())
            .collect();
        let alive: BTreeSet<PeerId> = directory.alive().collect();
        let others = || {
            truth
                .iter()
                .filter(|record| record.owner != address_of(index))
        };
        let expected: BTreeSet<PeerId> = others().map(|record| record.id()).collect();
        if let Some(id) = alive.symmetric_difference(&expected).next() {
            let error = if alive.contains(id) {
                "wrongly counts as alive"
            } else {
                "does not know"
            };
            return Some(format!(
                "front end {index} {error} front end {} ({} alive in its view, {} expected)",
                index_of(id.addr),
                alive.len(),
                expected.len()
            ));
        }
        let differing =
            others().find(|record| directory.record(record.owner).as_ref() != Some(**record))?;
        Some(format!(
            "front end {index} has a wrong record of front end {}",
            index_of(differing.owner)
        ))
    }

    fn running_peers(&self) -> impl Iterator<Item = &SimulatedPeer> {
        self.peers.iter().filter(|peer| peer.node.is_some())
    }

    /// The true state of the running front ends on `side`.
    pub fn truth(&self, side: u8) -> FleetTruth {
        let mut sum = 0.0;
        let mut running = 0;
        for peer in self.running_peers().filter(|peer| peer.side == side) {
            sum += f64::from(peer.pressure.min(MAX_PRESSURE));
            running += 1;
        }
        FleetTruth {
            mean_pressure: sum / running.max(1) as f64,
            running,
        }
    }

    /// The true state of sides 0 and 1, the only ones for which errors can be computed.
    fn truths(&self) -> [FleetTruth; 2] {
        [self.truth(0), self.truth(1)]
    }

    /// The error of the mean pressure over all running front ends, each against the true mean of its side.
    pub fn mean_error(&self) -> MeanError {
        let truths = self.truths();
        let mut worst = 0.0;
        let mut sum_of_squares = 0.0;
        let mut count = 0.0;
        for peer in self.running_peers() {
            let mean = truths[usize::from(peer.side)].mean_pressure;
            let error = (f64::from(peer.status.pressure) - mean).abs() / mean.max(1.0);
            worst = f64::max(worst, error);
            sum_of_squares += error * error;
            count += 1.0;
        }
        MeanError {
            worst,
            rms: f64::sqrt(sum_of_squares / f64::max(count, 1.0)),
        }
    }

    /// The largest error of the fleet's size in the view of a running front end, as a fraction of the true size of its
    /// side.
    pub fn size_error(&self) -> f64 {
        let truths = self.truths();
        let error = |peer: &SimulatedPeer| {
            let size = truths[usize::from(peer.side)].running as f64;
            (peer.status.alive as f64 + 1.0 - size).abs() / size
        };
        self.running_peers().map(error).fold(0.0, f64::max)
    }
}
