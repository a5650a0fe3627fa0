//! Writes the endpoint list that the front ends read. It names the relays in front of the workers, not the workers.
use super::Lab;
use crate::error::LabError;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time at which a worker counted as restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerRestart {
    /// On the run's clock, pauses included (`Clock::elapsed_s`), in seconds.
    pub(super) at_s: f64,
    /// As Unix time in milliseconds, for the endpoint list.
    unix_ms: u128,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedWorker {
    /// Address of the worker's relay.
    pub(super) address: SocketAddr,
    /// Time of its restart; `None` if it was not restarted, which the list states as start time 0.
    pub(super) restart: Option<WorkerRestart>,
}

impl ListedWorker {
    /// Returns the locality with this worker as its only endpoint, in JSON.
    fn locality(&self, index: usize) -> String {
        let zone = zone(index);
        let started_at_ms = self.restart.map_or(0, |restart| restart.unix_ms);
        let port = self.address.port();
        format!(
            r#"{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{{"metadata":{{"filter_metadata":{{"wrenseam":{{"started_at_ms":{started_at_ms}}}}}}},"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
        )
    }
}

/// Returns the zone of a worker; workers alternate between the two zones of the front ends' settings.
fn zone(index: usize) -> &'static str {
    if index.is_multiple_of(2) {
        "hall-a"
    } else {
        "hall-b"
    }
}

impl Lab {
    /// Returns the path of the endpoint list.
    pub(super) fn endpoints_file(&self) -> PathBuf {
        self.folder.join("endpoints.json")
    }

    /// Writes the endpoint list, with the start times of restarted workers.
    pub(super) fn write_endpoints(&self) -> Result<(), LabError> {
        let localities: Vec<String> = self
            .workers
            .iter()
            .enumerate()
            .map(|(index, worker)| worker.locality(index))
            .collect();
        let text = format!(
            r#"{{"resources":[{{"cluster_name":"lab-workers","endpoints":[{}]}}]}}"#,
            localities.join(",")
        );
        std::fs::write(self.endpoints_file(), text)?;
        Ok(())
    }

    /// Sets the worker's start time to now and rewrites the endpoint list. The worker itself keeps running.
    pub(super) fn mark_restarted(&mut self, index: usize) -> Result<(), LabError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.workers[index].restart = Some(WorkerRestart {
            at_s: self.metrics.clock.elapsed_s(),
            unix_ms: unix.map_or(0, |since| since.as_millis()),
        });
        self.write_endpoints()
    }
}
