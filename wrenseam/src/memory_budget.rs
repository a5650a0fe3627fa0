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
    /// Bytes that reservations of this part leave free in the whole budget.
    left_free: usize,
}

/// A part that reserves by [`MemoryBudget::reserve_share`] holds at most this many times what is free in the whole.
const SHARE_OF_FREE: usize = 2;

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
            left_free: 0,
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

    /// Like [`MemoryBudget::part`], of which no reservation leaves fewer than `left_free` bytes of this budget free.
    #[must_use]
    pub fn part_leaving(&self, capacity: usize, left_free: usize) -> Self {
        MemoryBudget {
            left_free,
            ..self.part(capacity)
        }
    }

    /// Like [`MemoryBudget::reserve`] of a part, unless it would hold too much of what is free in the whole after that:
    /// the more others need, the less one part may hold, and there is always some room for parts that hold little.
    pub fn reserve_share(&self, bytes: usize) -> Option<MemoryReservation> {
        let free_in_whole = self.whole.as_ref().map_or(0, |whole| whole.free());
        let free = free_in_whole.saturating_sub(self.left_free + bytes);
        if self.reserved() + bytes > SHARE_OF_FREE * free {
            return None;
        }
        self.reserve(bytes)
    }

    /// The number of bytes of this budget that are not reserved.
    fn free(&self) -> usize {
        self.capacity.saturating_sub(self.reserved())
    }

    /// Reserves this many bytes; `None`, with nothing reserved, if fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if !self.take(bytes, 0) {
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

    /// Reserves bytes here and in the whole budget; false, with nothing reserved, if fewer are free in either or fewer
    /// than `left_free` would stay free.
    fn take(&self, bytes: usize, left_free: usize) -> bool {
        let before = self.reserved.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes + left_free <= self.capacity;
        let take_in_whole = |whole: &Arc<MemoryBudget>| whole.take(bytes, self.left_free);
        if fits && self.whole.as_ref().is_none_or(take_in_whole) {
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
        let fits = self.budget.take(bytes, 0);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Splits off a reservation of this many bytes, or of all if it has fewer.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryReservation {
            budget: self.budget.clone(),
            bytes,
        }
    }

    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
