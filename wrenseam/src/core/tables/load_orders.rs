//! The load orders to which workers have not responded yet.
use std::collections::HashMap;
use wrenseam_policy::{FunctionId, Micros, WorkerId};

/// One order to a worker to hold a number of replicas of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The worker that the order was sent to.
    pub worker: WorkerId,
    /// The function to load.
    pub function: FunctionId,
    /// How many replicas the worker must hold; 0 for a poll, which only asks how many it holds.
    pub replicas: u32,
    /// When the order was sent, as Unix time in microseconds.
    pub ordered_at: Micros,
}

/// Unanswered load orders, by the core's number. Each is removed by its response or by its timeout, whichever comes
/// first.
#[derive(Debug, Default)]
pub struct LoadOrders(HashMap<u64, LoadOrder>);

impl LoadOrders {
    /// Adds an order under its number.
    pub fn insert(&mut self, number: u64, order: LoadOrder) {
        self.0.insert(number, order);
    }

    /// The order of this number, while it is unanswered.
    pub fn get(&self, number: u64) -> Option<&LoadOrder> {
        self.0.get(&number)
    }

    /// Removes the order; `None` if it has already been answered or timed out.
    pub fn remove(&mut self, number: u64) -> Option<LoadOrder> {
        self.0.remove(&number)
    }
}
