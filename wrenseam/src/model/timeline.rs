//! When a request passed each stage on its way through the process, so that a late answer can be traced to the stage in
//! which it waited. No I/O; the time is an argument.
use crate::latency::{Stage, StageLatencies, STAGES};
use std::fmt::{Display, Formatter, Result};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A point that a request reaches. The order is that of a request that is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Milestone {
    /// The front gave the request to the core's queue.
    Queued,
    /// The core took it from the queue.
    Accepted,
    /// The core handed an attempt to a worker's transport. The last attempt counts.
    AttemptQueued,
    /// The first byte of an attempt was about to be written. The last attempt counts.
    AttemptStarted,
    /// The core gave the answer to the client's connection.
    Answered,
    /// The connection's writer took the response from its queue.
    ResponseTaken,
}

const MILESTONES: usize = Milestone::ResponseTaken as usize + 1;

/// The stages of a request, in the order in which one that is served passes them.
const REQUEST_STAGES: [Stage; 8] = [
    Stage::UnreadSocket,
    Stage::Front,
    Stage::CoreQueue,
    Stage::Decision,
    Stage::WorkerQueue,
    Stage::Worker,
    Stage::ResponseQueue,
    Stage::Socket,
];

/// Those in which a request waits for other work of this process. The core's queue is counted when a request leaves it.
const WAITS: [Stage; 5] = [
    Stage::UnreadSocket,
    Stage::Front,
    Stage::WorkerQueue,
    Stage::ResponseQueue,
    Stage::Socket,
];

/// The stage that a request enters at each milestone.
const TRANSITIONS: [(Milestone, Stage); MILESTONES] = [
    (Milestone::Queued, Stage::CoreQueue),
    (Milestone::Accepted, Stage::Decision),
    (Milestone::AttemptQueued, Stage::WorkerQueue),
    (Milestone::AttemptStarted, Stage::Worker),
    (Milestone::Answered, Stage::ResponseQueue),
    (Milestone::ResponseTaken, Stage::Socket),
];

/// The milestones that one request has reached.
#[derive(Debug)]
pub struct RequestTimeline {
    /// When the last byte of the request was read.
    read_at: Instant,
    /// How long the request had been in the socket's receive buffer by then.
    unread: Duration,
    /// For each milestone the time from `read_at` in µs, plus 1; 0 if it was not reached.
    reached: [AtomicU32; MILESTONES],
}

impl Default for RequestTimeline {
    fn default() -> Self {
        RequestTimeline::new(Instant::now(), Duration::ZERO)
    }
}

impl RequestTimeline {
    /// The timeline of a request that was read at `read_at`, after `unread` in the socket's receive buffer.
    pub fn new(read_at: Instant, unread: Duration) -> Self {
        RequestTimeline {
            read_at,
            unread,
            reached: Default::default(),
        }
    }

    /// Records that the request reached this milestone at `now`.
    pub fn reach(&self, milestone: Milestone, now: Instant) {
        let micros = saturating_micros(now.saturating_duration_since(self.read_at));
        self.reached[milestone as usize].store(micros.saturating_add(1), Ordering::Relaxed);
    }

    /// How long the request spent in each stage, if its response was written at `written_at`. A stage that it skipped
    /// took no time.
    pub fn durations(&self, written_at: Instant) -> StageDurations {
        let mut durations = StageDurations::default();
        durations.add(Stage::UnreadSocket, self.unread);
        let mut stage = Stage::Front;
        let mut entered = Duration::ZERO;
        for (milestone, next) in TRANSITIONS {
            let Some(left) = self.reached_after(milestone) else {
                continue;
            };
            durations.add(stage, left.saturating_sub(entered));
            (stage, entered) = (next, left);
        }
        let written = written_at.saturating_duration_since(self.read_at);
        durations.add(stage, written.saturating_sub(entered));
        durations
    }

    /// How long the request was in the core's queue; zero if it has not left it.
    pub fn in_core_queue(&self) -> Duration {
        let queued = self.reached_after(Milestone::Queued).unwrap_or_default();
        let accepted = self.reached_after(Milestone::Accepted).unwrap_or_default();
        accepted.saturating_sub(queued)
    }

    /// By how much a response written at `written_at` came after the client's timeout; `None` if it came in time.
    pub fn lateness(&self, timeout: Duration, written_at: Instant) -> Option<Duration> {
        let taken = written_at.saturating_duration_since(self.read_at) + self.unread;
        taken.checked_sub(timeout).filter(|late| !late.is_zero())
    }

    fn reached_after(&self, milestone: Milestone) -> Option<Duration> {
        let micros = self.reached[milestone as usize].load(Ordering::Relaxed);
        Some(Duration::from_micros(micros.checked_sub(1)?.into()))
    }
}

fn saturating_micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

/// How long one request spent in each stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageDurations([Duration; STAGES]);

impl StageDurations {
    fn add(&mut self, stage: Stage, duration: Duration) {
        self.0[stage as usize] += duration;
    }

    /// The time in this stage.
    pub fn in_stage(&self, stage: Stage) -> Duration {
        self.0[stage as usize]
    }
}

impl Display for StageDurations {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for (position, stage) in REQUEST_STAGES.into_iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            let duration = self.in_stage(stage).as_millis();
            write!(f, "{separator}{stage} {duration} ms")?;
        }
        Ok(())
    }
}

/// What the writer of a client connection needs to know of the request that a response answers.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The id that the client gave.
    pub wire_id: u64,
    /// How long the client waits for the answer.
    pub timeout: Duration,
    /// The milestones that the request has reached.
    pub timeline: Arc<RequestTimeline>,
}

impl RequestTrace {
    /// Counts how long the request waited in each stage; its response was written at `written_at`. Returns the log line
    /// if it came after the client's timeout.
    pub fn finish(&self, latencies: &StageLatencies, written_at: Instant) -> Option<LateAnswer> {
        let durations = self.timeline.durations(written_at);
        for stage in WAITS {
            latencies.record(stage, durations.in_stage(stage));
        }
        Some(LateAnswer {
            wire_id: self.wire_id,
            late: self.timeline.lateness(self.timeout, written_at)?,
            durations,
        })
    }
}

/// Log line: a response was written after its client's timeout.
#[derive(Clone, Copy, Debug)]
pub struct LateAnswer {
    wire_id: u64,
    late: Duration,
    durations: StageDurations,
}

impl Display for LateAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let LateAnswer {
            wire_id,
            late,
            durations,
        } = self;
        let late = late.as_millis();
        write!(
            f,
            "request {wire_id:016x}: answered {late} ms late: {durations}"
        )
    }
}
