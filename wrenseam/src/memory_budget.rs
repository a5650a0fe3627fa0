//! The memory that bodies and unsent answers of all requests may take together.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A bound on bytes reserved at a time; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    reserved: Arc<AtomicUsize>,
    capacity: usize,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes, none of them reserved.
    pub fn new(capacity: usize) -> Self {
        MemoryBudget {
            reserved: Arc::default(),
            capacity,
        }
    }

    /// Reserves bytes; `None`, and nothing reserved, where fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let before = self.reserved.fetch_add(bytes, Ordering::Relaxed);
        // Made before the check: dropping it gives back what does not fit.
        let reservation = MemoryReservation {
            budget: self.clone(),
            bytes,
        };
        if before + bytes > self.capacity {
            return None;
        }
        Some(reservation)
    }

    /// Bytes reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }
}

/// Bytes reserved from a [`MemoryBudget`], which are free again once this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more bytes; false, and nothing more reserved, where fewer are free.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.reserve(bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
