//! What the lab reads of the front ends while a run goes on.
use super::Lab;
use crate::fleet_view::{declared_down, figure, fleet_figures};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

impl Lab {
    /// The front ends that run, and where each tells its figures.
    pub(super) fn running(&self) -> Vec<(usize, SocketAddr)> {
        let held = self
            .fronts
            .iter()
            .enumerate()
            .filter(|(_, front)| front.child.is_held());
        held.map(|(f, front)| (f, front.admin)).collect()
    }

    /// Log lines that declare a front end down of which no fault is told: it ran, heard and was heard all the time.
    pub(super) fn wronged(&self) -> Result<Vec<String>, String> {
        let faults = &self.scenario.faults;
        let of_one = faults
            .iter()
            .flat_map(|fault| [fault.front, fault.from, fault.to])
            .flatten();
        let of_parts = faults.iter().filter(|fault| fault.kind == "partition");
        if of_parts.count() > 0 {
            return Ok(Vec::new()); // all were cut from some
        }
        let troubled: Vec<usize> = of_one.collect();
        let sound = (0..self.fronts.len()).filter(|f| !troubled.contains(f));
        let peers: Vec<SocketAddr> = sound.map(|f| self.relays[f]).collect();
        let logs: Vec<PathBuf> = (0..self.fronts.len()).map(|f| self.log(f)).collect();
        declared_down(&logs, &peers)
    }

    /// Waits until every front end counts all others alive; how long it took, s.
    pub(super) fn joined(&self, within: Duration) -> Result<f64, String> {
        let since = Instant::now();
        let want = self.fronts.len() as u64 - 1;
        loop {
            let counts = self
                .fronts
                .iter()
                .map(|f| figure(&fleet_figures(f.admin), "peers"));
            let counts: Vec<Option<u64>> = counts.collect();
            if counts.iter().all(|&c| c == Some(want)) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > within {
                return Err(format!(
                    "the fleet did not form in {} s: {counts:?} peers",
                    within.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
