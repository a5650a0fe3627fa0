//! Counts how long requests wait in each stage of the process, for `telemetry`: which stage is slow, and how slow.
use std::fmt::{self, Display, Formatter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A wait of this length or more counts as slow.
const SLOW: Duration = Duration::from_millis(20);

/// A stage of a request's way through the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Stage {
    /// In the receive buffer of the client's connection, not read yet.
    UnreadSocket,
    /// Read, and not in the core's queue yet.
    Front,
    /// In the core's queue.
    CoreQueue,
    /// In the core: the policy has not sent an attempt, or has none to send.
    Decision,
    /// A timer of the core was due and had not fired.
    Timer,
    /// In the queue of a connection to a worker.
    WorkerQueue,
    /// Sent to a worker.
    Worker,
    /// Answered, and in the queue of the client connection's writer.
    ResponseQueue,
    /// The writer hands the response to the system.
    Socket,
}

/// The stages in which something waits for other work of this process, with their names in `telemetry`.
const MEASURED: [(Stage, &str); 7] = [
    (Stage::UnreadSocket, "unread_socket"),
    (Stage::Front, "front"),
    (Stage::CoreQueue, "core_queue"),
    (Stage::Timer, "timer"),
    (Stage::WorkerQueue, "worker_queue"),
    (Stage::ResponseQueue, "response_queue"),
    (Stage::Socket, "socket"),
];

/// The number of stages.
pub const STAGES: usize = Stage::Socket as usize + 1;

impl Display for Stage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::UnreadSocket => "unread socket",
            Stage::Front => "front",
            Stage::CoreQueue => "core queue",
            Stage::Decision => "decision",
            Stage::Timer => "timer",
            Stage::WorkerQueue => "worker queue",
            Stage::Worker => "worker",
            Stage::ResponseQueue => "response queue",
            Stage::Socket => "socket",
        })
    }
}

/// The waits in one stage.
struct StageWaits {
    slow: AtomicU64,
    longest_micros: AtomicU64,
}

/// The waits in all stages since the process started.
pub struct StageLatencies([StageWaits; STAGES]);

impl StageLatencies {
    /// No waits yet.
    pub const fn new() -> Self {
        StageLatencies(
            [const {
                StageWaits {
                    slow: AtomicU64::new(0),
                    longest_micros: AtomicU64::new(0),
                }
            }; STAGES],
        )
    }

    /// Counts a wait.
    pub fn record(&self, stage: Stage, wait: Duration) {
        let waits = &self.0[stage as usize];
        let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        waits.longest_micros.fetch_max(micros, Ordering::Relaxed);
        if wait >= SLOW {
            waits.slow.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Appends the metrics to the text of `telemetry`, one per line: for each stage the number of slow waits since the
    /// start, and the longest since the last call.
    pub fn write_telemetry(&self, text: &mut String) {
        for (stage, name) in MEASURED {
            let waits = &self.0[stage as usize];
            let slow = waits.slow.load(Ordering::Relaxed);
            let longest = Duration::from_micros(waits.longest_micros.swap(0, Ordering::Relaxed));
            let _ = writeln!(text, "app.latency.{name}.slow:{slow}|c");
            let _ = writeln!(text, "app.latency.{name}.max_ms:{}|g", longest.as_millis());
        }
    }
}

impl Default for StageLatencies {
    fn default() -> Self {
        StageLatencies::new()
    }
}

/// The waits of this process.
pub static LATENCIES: StageLatencies = StageLatencies::new();
