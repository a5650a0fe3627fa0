//! Applies the faults of a scenario at their times. Faults of processes are carried out here, all others by the relays
//! and workers.
use super::Lab;
use crate::error::LabError;
use crate::fleet_view::{wait_until_agreed, Agreement};
use crate::scenario::{Fault, FaultKind};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// Time limit for a front end to exit after SIGTERM; the run fails after it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the run's clock is compared with the time of the next fault.
const TIMELINE_POLL: Duration = Duration::from_millis(5);

impl Lab {
    /// Applies each fault at its time. Successive restarts with the same time are applied together.
    pub(super) fn run_timeline(&mut self) -> Result<(), LabError> {
        let mut timeline = self.scenario.faults.clone();
        timeline.sort_by(|earlier, later| earlier.at_s.total_cmp(&later.at_s));
        let mut remaining = &timeline[..];
        while let Some(fault) = remaining.first() {
            while self.metrics.clock.now().seconds < fault.at_s {
                std::thread::sleep(TIMELINE_POLL);
            }
            let now_s = self.metrics.clock.now().seconds;
            eprintln!("lab: {now_s:.2} s: {}", fault.kind);
            let (due, later) = remaining.split_at(count_due_together(remaining));
            remaining = later;
            self.apply(fault, due)?;
        }
        Ok(())
    }

    /// Applies a fault together with the others in `due`, which begins with it; there are others only for a restart.
    fn apply(&mut self, fault: &Fault, due: &[Fault]) -> Result<(), LabError> {
        let fronts: Vec<usize> = due.iter().filter_map(|fault| fault.front).collect();
        match fault.known_kind() {
            Some(FaultKind::Kill) => self.kill(&fronts),
            Some(FaultKind::Leave) => self.terminate(&fronts)?,
            Some(FaultKind::Stop) => self.signal(&fronts, Signal::SIGSTOP)?,
            Some(FaultKind::Continue) => self.signal(&fronts, Signal::SIGCONT)?,
            Some(FaultKind::Restart) => self.restart_front_ends(&fronts)?,
            kind => {
                let mut faults = self.faults.write().map_err(|_| LabError::PoisonedLock)?;
                faults.apply(fault);
                drop(faults);
                if let (Some(FaultKind::Cold), Some(worker)) = (kind, fault.worker) {
                    self.mark_restarted(worker)?;
                }
            }
        }
        Ok(())
    }

    /// Kills these front ends with SIGKILL.
    fn kill(&mut self, fronts: &[usize]) {
        for &front in fronts {
            self.fronts[front].process.kill();
            self.fronts[front].ended_by_fault = true;
        }
    }

    /// Shuts these front ends down gracefully, one after the other.
    fn terminate(&mut self, fronts: &[usize]) -> Result<(), LabError> {
        for &front in fronts {
            self.fronts[front].process.terminate(SHUTDOWN_TIMEOUT)?;
            self.fronts[front].ended_by_fault = true;
        }
        Ok(())
    }

    /// Sends a signal to each of these front ends.
    fn signal(&self, fronts: &[usize], signal: Signal) -> Result<(), LabError> {
        fronts
            .iter()
            .try_for_each(|&front| self.fronts[front].process.signal(signal))
    }

    /// Waits until all running front ends agree on the members of the fleet; `None` where the scenario does not ask for
    /// it. To be called right after the last fault.
    pub(super) fn wait_until_agreed(&self) -> Result<Option<Agreement>, LabError> {
        let last_fault = Instant::now();
        let Some(within_s) = self.scenario.agree_within_s else {
            return Ok(None);
        };
        let within = Duration::from_secs_f64(within_s);
        wait_until_agreed(&self.running(), last_fault, within).map(Some)
    }
}

/// Returns how many of the remaining faults, which are in order of time, are applied together: successive restarts with
/// the same time, otherwise 1.
fn count_due_together(remaining: &[Fault]) -> usize {
    let Some(first) = remaining.first() else {
        return 0;
    };
    let is_restart = |fault: &&Fault| fault.known_kind() == Some(FaultKind::Restart);
    let same = remaining
        .iter()
        .take_while(|fault| is_restart(fault) && is_restart(&first) && fault.at_s == first.at_s);
    same.count().max(1)
}
