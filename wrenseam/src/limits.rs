//! All sizes, counts and times of the program, filled once at the start and handed down.
use crate::worker::pool::Pool;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use wrenseam_policy::{Micros, Settings};

/// Descriptors kept back whatever the limit, besides an eighth of it: standard streams, the scheduler's
/// own, listeners, the board, the operators' door and its callers, the first worker connections. At 192
/// descriptors an eighth alone (24) left the program one over its limit.
pub const KEPT: usize = 40;

/// Sizes, counts and times.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most bytes of a request's body.
    pub body: usize,
    /// Most bytes of the parameters or headers of a request.
    pub head: usize,
    /// Most bytes of a worker's answer.
    pub answer: usize,
    /// Open requests on one client connection.
    pub requests_per_connection: usize,
    /// Client connections held at once, over all fronts.
    pub client_connections: usize,
    /// Bytes of bodies and unsent answers held over all requests.
    pub held_bytes: usize,
    /// Bytes of answers that may wait on one client connection.
    pub unsent_per_connection: usize,
    /// Size of a client connection's rings.
    pub client_ring: usize,
    /// Size of a worker connection's rings.
    pub worker_ring: usize,
    /// A client connection that has asked for nothing of use closes after this.
    pub first_request: Duration,
    /// A request must have come whole within this from its first byte.
    pub request_read: Duration,
    /// A client connection on which nothing is owed closes after this; usual clients close at 4 s.
    pub client_idle: Duration,
    /// While the front end drains, a client connection on which nothing is owed closes after this.
    pub drain_idle: Duration,
    /// How often a client connection looks at these times.
    pub client_check: Duration,
    /// After its half-close a client connection is read for so long, should the client not close.
    pub linger: Duration,
    /// Bytes read of what has been answered as unfit before its connection closes.
    pub discard: usize,
    /// Longest wait that a client may name.
    pub longest_wait: Micros,
    /// Most MB that a copy may be said to take.
    pub memory_mb: f64,
    /// Most lanes that a copy may be said to have.
    pub lanes: f64,
    /// Stack of a coroutine, in bytes.
    pub stack: usize,
    /// Part of a client's wait kept for the way of its answer: the module never hears of it.
    pub answer_margin: Micros,
    /// What a v2 client waits that does not say.
    pub default_wait: Micros,
    /// Connections to one v2 worker: each carries one exchange at a time.
    pub lanes_per_worker: usize,
    /// Bound on connections to workers, over all of them.
    pub pool: Pool,
    /// Attempts that one worker connection carries together.
    pub streams: usize,
    /// A connection to a worker must stand within this.
    pub connect: Duration,
    /// Our idle worker connections close after this, before the worker's side does.
    pub worker_idle: Duration,
    /// A write that moves nothing for this long gives its connection up.
    pub write_stall: Duration,
    /// An answer of which nothing more comes for this long has stopped short.
    pub frame_stall: Duration,
    /// A worker connection with something open that is quiet for this long is asked for a word, ...
    pub link_quiet: Duration,
    /// ... and again after this part of its oldest exchange's age, in hundredths, ...
    pub link_again: u32,
    /// ... and has ended if none comes within this.
    pub link_answer: Duration,
    /// Answers to a call may still come so long after its client left.
    pub late_answer: Duration,
    /// How often worker connections are looked at for that.
    pub link_check: Micros,
    /// How often a stalled write looks for cancels and drains.
    pub write_check: Duration,
    /// An order unanswered for this long has timed out.
    pub order: Micros,
    /// A notice board silent for this long (it comments each second) is called anew.
    pub board_silence: Duration,
    /// A watch that told nothing for so long, drawn between these, is asked anew though it comments: what the board
    /// has to tell counts as told 7 s on, and a call that fails leaves time for another.
    pub board_told: (Duration, Duration),
    /// How often the wait for the board looks whether the board has moved.
    pub board_check: Duration,
    /// Wait before the board is called again after a failed call.
    pub board_retry: Duration,
    /// After a call that brought something the next one is spread over this: the board's front ends all lost it.
    pub board_spread: Duration,
    /// Longest wait before the board is called again after failed calls.
    pub board_retry_most: Duration,
    /// Most bytes of one event of the board. The list of all workers is one: 150 bytes each, and what comes of it takes
    /// some 20 times that in all (`tests/large_list.rs`). So a 64th of the memory limit, which makes a third of it; no
    /// buffer is larger than twice what has come.
    pub board_event: usize,
    /// After SIGTERM the listeners stay open this long.
    pub stop_listening: Duration,
    /// After SIGTERM the program ends at the latest after this: behind the longest wait of any class, so that nothing
    /// that was taken is left by it. Whatever kills it sooner counts none of that as lost.
    pub stop_at_last: Duration,
}

impl Limits {
    /// From the platform's memory and descriptor limits and the settings.
    pub fn new(memory_mb: u64, sockets: u64, settings: &Settings) -> Self {
        // A client connection takes two descriptors (one a direction). An eighth of all and `KEPT` are kept
        // for workers, the board, the door and the program's own.
        let sockets = sockets.clamp(64, 1 << 20) as usize;
        let memory = memory_mb.clamp(32, 1 << 20) as usize * 1024 * 1024;
        let span = |told: Micros, else_ms: u64| {
            Duration::from_micros(if told > 0 { told } else { else_ms * 1000 })
        };
        let idle = span(settings.connection_idle_timeout, 15_000);
        // Where many front ends share the workers, their questions together cost more than they tell.
        let large = settings.front_ends > 16;
        Limits {
            body: 16 * 1024,
            head: 16 * 1024,
            answer: 1024 * 1024,
            requests_per_connection: 32,
            client_connections: (sockets - sockets / 8 - KEPT) / 2,
            held_bytes: memory / 4, // an attempt's frame is a second copy, and rings and stacks come on top
            unsent_per_connection: 1024 * 1024,
            client_ring: 4 * 1024,
            worker_ring: 64 * 1024,
            first_request: Duration::from_millis(2_000), // whoever says nothing is owed a close within 3 s
            request_read: Duration::from_millis(2_000),
            client_idle: Duration::from_millis(5_000),
            drain_idle: Duration::ZERO,
            client_check: Duration::from_millis(250),
            linger: Duration::from_millis(320),
            discard: 64 * 1024,
            longest_wait: 600_000_000,
            memory_mb: 1e6,
            lanes: 1024.0,
            stack: 64 * 1024,
            streams: if settings.streams_per_connection > 0 {
                settings.streams_per_connection as usize
            } else {
                100
            },
            answer_margin: 80_000,
            default_wait: 4_000_000,
            pool: Pool::new(sockets, KEPT),
            lanes_per_worker: (sockets / 128).max(2),
            connect: span(settings.connect_timeout, 250),
            worker_idle: idle.saturating_sub(idle / 5),
            write_stall: Duration::from_secs(5),
            frame_stall: Duration::from_millis(200),
            link_quiet: Duration::from_millis(if large { 300 } else { 200 }), // answered in a few ms under load too
            link_again: if large { 90 } else { 50 },
            link_answer: Duration::from_millis(200),
            late_answer: Duration::from_secs(1),
            link_check: 50_000,
            write_check: Duration::from_millis(50),
            order: if settings.order_timeout > 0 {
                settings.order_timeout
            } else {
                10_000_000
            },
            board_silence: Duration::from_millis(2_500), // what a silent board has to tell counts 4 s on
            board_told: (Duration::from_millis(3_000), Duration::from_millis(4_500)),
            board_check: Duration::from_millis(50),
            board_retry: Duration::from_millis(100),
            board_spread: Duration::from_millis(if large { 300 } else { 0 }),
            board_retry_most: Duration::from_millis(if large { 1_000 } else { 100 }),
            board_event: (memory / 64).max(1024 * 1024),
            stop_listening: Duration::from_millis(700),
            stop_at_last: Duration::from_secs(10)
                .max(Duration::from_micros(settings.longest_wait) + Duration::from_secs(1)),
        }
    }
}

impl Limits {
    /// What of a client's wait is kept for the way of its answer: of a short wait no more than a quarter.
    pub fn margin(&self, wait: Micros) -> Micros {
        self.answer_margin.min(wait / 4)
    }
}

/// Counts the bytes held over all requests against one bound.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    most: usize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(most: usize) -> Self {
        Budget {
            used: Arc::default(),
            most,
        }
    }

    /// Takes bytes from the budget, or nothing if they are not there.
    pub fn take(&self, bytes: usize) -> Option<Held> {
        let before = self.used.fetch_add(bytes, Ordering::Relaxed);
        let held = Held {
            budget: self.clone(),
            bytes,
        };
        (before + bytes <= self.most).then_some(held)
    }

    /// Bytes taken now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes taken from a [`Budget`]; they go back when this is dropped.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: usize,
}

impl Held {
    /// Takes more bytes; false, and nothing taken, if they are not there.
    pub fn grow(&mut self, bytes: usize) -> bool {
        match self.budget.take(bytes) {
            Some(mut more) => {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            }
            None => false,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
