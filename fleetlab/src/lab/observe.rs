//! Reads the state of the front ends during a run, from their telemetry and their logs.
use super::Lab;
use crate::error::LabError;
use crate::fleet_view::{declared_down, FleetTelemetry, RunningFront};
use crate::scenario::FaultKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Interval at which the front ends' telemetry is read while the fleet forms.
const JOIN_POLL: Duration = Duration::from_millis(20);

impl Lab {
    /// Returns the front ends that the lab has not ended, with their admin endpoints.
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

    /// Waits until every front end counts all others as live peers, and returns how long that took, in seconds.
    pub(super) fn wait_until_joined(&self, within: Duration) -> Result<f64, LabError> {
        let since = Instant::now();
        let expected = Some(self.fronts.len() as u64 - 1);
        loop {
            let peers: Vec<Option<u64>> = self
                .fronts
                .iter()
                .map(|front| FleetTelemetry::read(front.admin).get("peers"))
                .collect();
            if peers.iter().all(|&count| count == expected) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > within {
                return Err(LabError::FleetNotFormed {
                    within_s: within.as_secs(),
                    peers,
                });
            }
            std::thread::sleep(JOIN_POLL);
        }
    }

    /// Returns the log lines that declare a front end down although no fault of the scenario affects that front end, so
    /// that it ran and exchanged gossip all the time. Empty where the scenario has a partition.
    pub(super) fn wrongly_declared_down(&self) -> Result<Vec<String>, LabError> {
        let faults = &self.scenario.faults;
        let has_partition = faults
            .iter()
            .any(|fault| fault.known_kind() == Some(FaultKind::Partition));
        if has_partition {
            return Ok(Vec::new()); // a partition separates every front end from some others
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
