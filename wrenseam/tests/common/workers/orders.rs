//! How the workers of a test answer load orders and queries. The test can hold the answers back.
use std::sync::{Condvar, Mutex};

/// Which load orders and queries the workers answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum OrderMode {
    /// Both are answered at once; each worker reports one loaded replica of the function.
    #[default]
    Answer,
    /// Neither is answered until the mode changes.
    Hold,
    /// Load orders are not answered until the mode changes. Queries are answered at once: workers that speak frames
    /// report no loaded replica, KServe v2 workers report the function as ready.
    HoldLoads,
}

/// The mode of all workers of a test.
#[derive(Default)]
pub(crate) struct OrderControl {
    mode: Mutex<OrderMode>,
    /// Notified when the mode changes.
    changed: Condvar,
}

/// What the front end asks a worker about its replicas of a function.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Order {
    /// To load or unload replicas.
    Load,
    /// How many replicas are loaded.
    Query,
}

impl OrderControl {
    /// Changes the mode. Orders and queries that the new mode does not hold back are answered now.
    pub(crate) fn set(&self, mode: OrderMode) {
        *self.mode.lock().expect("mode lock poisoned") = mode;
        self.changed.notify_all();
    }

    /// Whether the mode holds back load orders.
    pub(crate) fn holds_back(&self) -> bool {
        *self.mode.lock().expect("mode lock poisoned") != OrderMode::Answer
    }

    /// Blocks while the mode holds back this kind of order. Returns the number of loaded replicas to report: 1 in
    /// `OrderMode::Answer`, otherwise 0.
    pub(crate) fn wait_for_answer(&self, order: Order) -> u32 {
        let is_held = |mode: &mut OrderMode| match mode {
            OrderMode::Answer => false,
            OrderMode::Hold => true,
            OrderMode::HoldLoads => order == Order::Load,
        };
        let mode = self.mode.lock().expect("mode lock poisoned");
        let mode = self
            .changed
            .wait_while(mode, is_held)
            .expect("mode lock poisoned");
        u32::from(*mode == OrderMode::Answer)
    }
}
