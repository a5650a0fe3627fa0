//! The faults' timeline: those of processes are applied here, the rest by the relays and workers.
use super::Lab;
use crate::error::LabError;
use crate::fleet_view::{wait_until_agreed, Agreement};
use crate::scenario::{Fault, FaultKind};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// A front end that has not ended so long after SIGTERM is given up.
const LEAVES_WITHIN: Duration = Duration::from_secs(10);
/// How often the run's time is compared with the next fault's.
const TIMELINE_POLL: Duration = Duration::from_millis(5);

impl Lab {
    /// Applies each fault when its time has come; restarts due at the same time at once.
    pub(super) fn run_timeline(&mut self) -> Result<(), LabError> {
        let mut timeline = self.scenario.faults.clone();
        timeline.sort_by(|earlier, later| earlier.at_s.total_cmp(&later.at_s));
        let mut ahead = &timeline[..];
        while let Some(fault) = ahead.first() {
            while self.metrics.clock.now().seconds < fault.at_s {
                std::thread::sleep(TIMELINE_POLL);
            }
            let now_s = self.metrics.clock.now().seconds;
            eprintln!("lab: {now_s:.2} s: {}", fault.kind);
            let (due, later) = ahead.split_at(due_together(ahead));
            ahead = later;
            self.apply(fault, due)?;
        }
        Ok(())
    }

    /// Applies a fault; `due` are the faults of its kind that are applied with it.
    fn apply(&mut self, fault: &Fault, due: &[Fault]) -> Result<(), LabError> {
        let fronts: Vec<usize> = due.iter().filter_map(|fault| fault.front).collect();
        match fault.known_kind() {
            Some(FaultKind::Kill) => self.kill(&fronts),
            Some(FaultKind::Leave) => self.terminate(&fronts)?,
            Some(FaultKind::Stop) => self.signal(&fronts, Signal::SIGSTOP)?,
            Some(FaultKind::Continue) => self.signal(&fronts, Signal::SIGCONT)?,
            Some(FaultKind::Restart) => self.restart_front_ends(&fronts)?,
            kind => {
                let mut faults = self.faults.write().map_err(|_| LabError::Poisoned)?;
                faults.apply(fault);
                drop(faults);
                if let (Some(FaultKind::Cold), Some(worker)) = (kind, fault.worker) {
                    self.restart_worker(worker)?;
                }
            }
        }
        Ok(())
    }

    /// Ends these front ends as a crash would.
    fn kill(&mut self, fronts: &[usize]) {
        for &front in fronts {
            self.fronts[front].process.kill();
            self.fronts[front].was_ended = true;
        }
    }

    /// Has these front ends shut down gracefully.
    fn terminate(&mut self, fronts: &[usize]) -> Result<(), LabError> {
        for &front in fronts {
            self.fronts[front].process.terminate(LEAVES_WITHIN)?;
            self.fronts[front].was_ended = true;
        }
        Ok(())
    }

    /// Sends a signal to these front ends.
    fn signal(&self, fronts: &[usize], signal: Signal) -> Result<(), LabError> {
        fronts
            .iter()
            .try_for_each(|&front| self.fronts[front].process.signal(signal))
    }

    /// Waits until all front ends that run agree after the last fault, where the scenario asks for it.
    pub(super) fn wait_until_agreed(&self) -> Result<Option<Agreement>, LabError> {
        let last_fault = Instant::now();
        let Some(within_s) = self.scenario.agree_within_s else {
            return Ok(None);
        };
        let within = Duration::from_secs_f64(within_s);
        wait_until_agreed(&self.running(), last_fault, within).map(Some)
    }
}

/// How many of the faults ahead are applied together: restarts of one time, else one.
fn due_together(ahead: &[Fault]) -> usize {
    let Some(first) = ahead.first() else {
        return 0;
    };
    let is_restart = |fault: &&Fault| fault.known_kind() == Some(FaultKind::Restart);
    let same = ahead
        .iter()
        .take_while(|fault| is_restart(fault) && is_restart(&first) && fault.at_s == first.at_s);
    same.count().max(1)
}
