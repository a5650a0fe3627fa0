//! The file with the endpoint list that front ends read: the relays in front of the workers.
use super::Lab;
use crate::error::LabError;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// When a worker was started again.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerRestart {
    /// Real seconds of the run.
    pub(super) at_s: f64,
    /// Milliseconds of the Unix time, as the list gives it to front ends.
    unix_ms: u128,
}

/// A worker as the list has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedWorker {
    /// The address of its relay.
    pub(super) address: SocketAddr,
    /// When it was started again, if it was.
    pub(super) restart: Option<WorkerRestart>,
}

impl ListedWorker {
    /// Its part of the list.
    fn locality(&self, index: usize) -> String {
        let zone = zone(index);
        let started_at_ms = self.restart.map_or(0, |restart| restart.unix_ms);
        let port = self.address.port();
        format!(
            r#"{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{{"metadata":{{"filter_metadata":{{"wrenseam":{{"started_at_ms":{started_at_ms}}}}}}},"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
        )
    }
}

/// The zone of a worker, by the names in the front ends' settings: workers alternate.
fn zone(index: usize) -> &'static str {
    if index.is_multiple_of(2) {
        "hall-a"
    } else {
        "hall-b"
    }
}

impl Lab {
    /// Where the list is.
    pub(super) fn endpoints_file(&self) -> PathBuf {
        self.folder.join("endpoints.json")
    }

    /// Writes the list of workers, each with its start where it was started again.
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

    /// Marks a worker as started again now.
    pub(super) fn restart_worker(&mut self, index: usize) -> Result<(), LabError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.workers[index].restart = Some(WorkerRestart {
            at_s: self.metrics.clock.real_s(),
            unix_ms: unix.map_or(0, |since| since.as_millis()),
        });
        self.write_endpoints()
    }
}
