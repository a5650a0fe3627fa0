//! The orders to load replicas that are out at workers.
use std::collections::HashMap;
use wrenseam_policy::{FunctionId, Micros, WorkerId};

/// One order to a worker to hold replicas of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The worker that was ordered.
    pub worker: WorkerId,
    /// The function to load.
    pub function: FunctionId,
    /// When the order was given.
    pub ordered_at: Micros,
}

/// Orders without an outcome yet, by the core's number. Each is taken out once: by its answer or by its timeout.
#[derive(Debug, Default)]
pub struct LoadOrders(HashMap<u64, LoadOrder>);

impl LoadOrders {
    /// Adds an order under its number.
    pub fn insert(&mut self, number: u64, order: LoadOrder) {
        self.0.insert(number, order);
    }

    /// The order of this number, while it has no outcome.
    pub fn get(&self, number: u64) -> Option<&LoadOrder> {
        self.0.get(&number)
    }

    /// Takes the order out; `None` if it already had its outcome.
    pub fn remove(&mut self, number: u64) -> Option<LoadOrder> {
        self.0.remove(&number)
    }
}
