//! The limit on the total memory for requests and unsent responses.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A limit on the bytes that are reserved at a time. Clones share one budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    reserved: Arc<AtomicUsize>,
    capacity: usize,
    /// The budget that this one is a part of; `None` for that of the process.
    whole: Option<Arc<MemoryBudget>>,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes, none of them reserved.
    pub fn new(capacity: usize) -> Self {
        MemoryBudget::with_gauge(capacity, Arc::default())
    }

    /// A budget of `capacity` bytes that keeps the number of reserved ones in `reserved`, which is 0 now.
    pub fn with_gauge(capacity: usize, reserved: Arc<AtomicUsize>) -> Self {
        MemoryBudget {
            reserved,
            capacity,
            whole: None,
        }
    }

    /// A part of this budget, of at most `capacity` bytes: what it reserves is also reserved in this budget.
    #[must_use]
    pub fn part(&self, capacity: usize) -> Self {
        MemoryBudget {
            whole: Some(Arc::new(self.clone())),
            ..MemoryBudget::new(capacity)
        }
    }

    /// Reserves this many bytes; `None`, with nothing reserved, if fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if !self.take(bytes) {
            return None;
        }
        Some(MemoryReservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// The number of bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves bytes here and in the whole budget; false, with nothing reserved, if fewer are free in either.
    fn take(&self, bytes: usize) -> bool {
        let before = self.reserved.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes <= self.capacity;
        if fits && self.whole.as_ref().is_none_or(|whole| whole.take(bytes)) {
            return true;
        }
        self.reserved.fetch_sub(bytes, Ordering::Relaxed);
        false
    }

    fn release(&self, bytes: usize) {
        self.reserved.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.whole {
            whole.release(bytes);
        }
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
        let fits = self.budget.take(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
