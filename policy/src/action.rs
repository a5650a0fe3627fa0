//! Actions: what the policy instructs the front end to do.
use crate::types::{FunctionId, Micros, RequestId, WorkerId};

/// An instruction to the front end. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    Send {
        /// The request.
        id: RequestId,
        /// The worker that the attempt goes to.
        worker: WorkerId,
        /// How long to wait for the answer; 0 means until the client gives up.
        timeout: Micros,
        /// Set if the attempt repeats one that may have been executed: it must be written completely within this time
        /// or not be sent at all, since workers do not recognize its idempotency key any longer than that.
        retry_window: Option<Micros>,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
    },
    /// Final answer: rejected. No attempt was executed, so the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client is advised to wait before it retries; 0 means no advice.
        retry_after: Micros,
    },
    /// Final answer: failed. An attempt may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call back with [`Event::Timer`](crate::Event::Timer).
    Timer {
        /// Time until the timer is due.
        delay: Micros,
        /// Token to be returned with the event.
        token: u64,
    },
    /// Order a worker to hold at least `replicas` replicas; 0 only polls how many are loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Number of replicas wanted.
        replicas: u32,
    },
    /// Order a worker to unload the idle replicas of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Subscribe to updates of the endpoint list.
    WatchEndpoints,
    /// A line for the operators' log.
    Log {
        /// The text of the line.
        text: String,
    },
}
