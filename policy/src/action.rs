//! What the policy has the front end do.
use crate::types::{FunctionId, Micros, RequestId, WorkerId};

/// What the front end is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker that it goes to.
        worker: WorkerId,
        /// How long to wait for its answer; 0: until the client gives up.
        timeout: Micros,
        /// The attempt repeats one that may have been executed, and is void unless it is completely written within
        /// this span: later, no worker recognizes its idempotency key.
        retry_window: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client is advised to wait before it retries; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call back with [`Event::Timer`](crate::Event::Timer).
    Timer {
        /// After this span.
        delay: Micros,
        /// To be returned.
        token: u64,
    },
    /// Have a worker hold at least `replicas` replicas; 0 only polls how many are loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Replicas wanted.
        replicas: u32,
    },
    /// Have a worker unload the idle replicas of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
