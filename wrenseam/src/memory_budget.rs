//! The limit on the total memory for request bodies and unsent responses.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A limit on the bytes that are reserved at a time. Clones share one budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    reserved: Arc<AtomicUsize>,
    capacity: usize,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes, none of them reserved.
    pub fn new(capacity: usize) -> Self {
        MemoryBudget::with_gauge(capacity, Arc::default())
    }

    /// A budget of `capacity` bytes that keeps the number of reserved ones in `reserved`, which is 0 now.
    pub fn with_gauge(capacity: usize, reserved: Arc<AtomicUsize>) -> Self {
        MemoryBudget { reserved, capacity }
    }

    /// Reserves this many bytes; `None`, with nothing reserved, if fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let before = self.reserved.fetch_add(bytes, Ordering::Relaxed);
        // Created before the check, so that dropping it releases the bytes if they do not fit.
        let reservation = MemoryReservation {
            budget: self.clone(),
            bytes,
        };
        if before + bytes > self.capacity {
            return None;
        }
        Some(reservation)
    }

    /// The number of bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }
}

/// Bytes reserved from a [`MemoryBudget`]. They are released when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves this many more bytes; false, with nothing more reserved, if fewer are free.
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
