//! What the lab reads of the front ends while a run goes on.
use super::Lab;
use crate::error::LabError;
use crate::fleet_view::{declared_down, FleetFigures, RunningFront};
use crate::scenario::FaultKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How often the front ends' counts of peers are read while the fleet forms.
const JOIN_POLL: Duration = Duration::from_millis(20);

impl Lab {
    /// The front ends that run, and where each reports its figures.
    pub(super) fn running(&self) -> Vec<RunningFront> {
        let mut running = Vec::new();
        for (index, front) in self.fronts.iter().enumerate() {
            if front.process.is_started() {
                running.push(RunningFront {
                    index,
                    admin: front.admin,
                });
            }
        }
        running
    }

    /// Waits until every front end counts all others alive; how long it took, s.
    pub(super) fn wait_until_joined(&self, within: Duration) -> Result<f64, LabError> {
        let since = Instant::now();
        let want = Some(self.fronts.len() as u64 - 1);
        loop {
            let peers: Vec<Option<u64>> = self
                .fronts
                .iter()
                .map(|front| FleetFigures::read(front.admin).get("peers"))
                .collect();
            if peers.iter().all(|&count| count == want) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > within {
                return Err(LabError::NotFormed {
                    within_s: within.as_secs(),
                    peers,
                });
            }
            std::thread::sleep(JOIN_POLL);
        }
    }

    /// Log lines that declare a front end down of which no fault is known: it ran, heard and was heard all the time.
    pub(super) fn wrongly_declared_down(&self) -> Result<Vec<String>, LabError> {
        let faults = &self.scenario.faults;
        let has_partition = faults
            .iter()
            .any(|fault| fault.known_kind() == Some(FaultKind::Partition));
        if has_partition {
            return Ok(Vec::new()); // all were cut from some
        }
        let named = faults
            .iter()
            .flat_map(|fault| [fault.front, fault.from, fault.to]);
        let faulty: Vec<usize> = named.flatten().collect();
        let healthy = (0..self.fronts.len()).filter(|front| !faulty.contains(front));
        let peers: Vec<SocketAddr> = healthy.map(|front| self.gossip_relays[front]).collect();
        let logs: Vec<PathBuf> = (0..self.fronts.len())
            .map(|front| self.log_file(front))
            .collect();
        declared_down(&logs, &peers)
    }
}
