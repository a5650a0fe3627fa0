//! What workers do with orders, and how a test changes it.
use std::sync::{Condvar, Mutex};

/// What workers do with orders to load, and with questions how many replicas are loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum OrderMode {
    /// Both are answered at once: a replica of each function is loaded.
    #[default]
    Answer,
    /// Neither is answered.
    Hold,
    /// No order to load is answered; questions are, and nothing is loaded.
    HoldLoads,
}

/// The mode that all workers of a test are in.
#[derive(Default)]
pub(crate) struct OrderControl {
    mode: Mutex<OrderMode>,
    changed: Condvar,
}

/// What the program asks of a worker beside calls.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Order {
    /// Replicas are to be loaded or unloaded.
    Load,
    /// How many replicas are loaded?
    Query,
}

impl OrderControl {
    /// Changes the mode; what was held back and is to be answered now, is.
    pub(crate) fn set(&self, mode: OrderMode) {
        *self.mode.lock().expect("not poisoned") = mode;
        self.changed.notify_all();
    }

    /// Whether any orders are held back.
    pub(crate) fn holds_back(&self) -> bool {
        *self.mode.lock().expect("not poisoned") != OrderMode::Answer
    }

    /// Waits for as long as such orders are held back; how many replicas are loaded then.
    pub(crate) fn wait_for_replicas(&self, order: Order) -> u32 {
        let held = |mode: &mut OrderMode| match mode {
            OrderMode::Answer => false,
            OrderMode::Hold => true,
            OrderMode::HoldLoads => order == Order::Load,
        };
        let mode = self.mode.lock().expect("not poisoned");
        let mode = self.changed.wait_while(mode, held).expect("not poisoned");
        u32::from(*mode == OrderMode::Answer)
    }
}
