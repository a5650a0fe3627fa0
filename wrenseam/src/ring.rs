//! A bounded ring of bytes: each connection has one a direction. It starts small, grows to its limit as it fills
//! and gives back what it grew by once it is empty, so hundreds of quiet connections cost little.
use std::io::{self, Read};

/// A ring buffer; what does not fit stays with the caller.
pub struct Ring {
    bytes: Vec<u8>,
    /// How far it may grow.
    limit: usize,
    /// Where the oldest byte lies.
    head: usize,
    len: usize,
}

impl Ring {
    /// Bytes that a ring holds before it grows: a usual request or answer.
    pub const INITIAL_CAPACITY: usize = 2 * 1024;

    /// An empty ring that holds this many bytes at the most.
    pub fn new(capacity: usize) -> Self {
        let limit = capacity.max(1);
        Ring {
            bytes: vec![0; limit.min(Self::INITIAL_CAPACITY)],
            limit,
            head: 0,
            len: 0,
        }
    }

    /// Grows to hold so many bytes in all, within the limit.
    fn grow(&mut self, wanted: usize) {
        let capacity = wanted.next_power_of_two().min(self.limit);
        if capacity <= self.bytes.len() {
            return;
        }
        let mut bytes = Vec::with_capacity(capacity);
        self.take(self.len, &mut bytes);
        self.len = bytes.len();
        bytes.resize(capacity, 0);
        self.bytes = bytes;
        self.head = 0;
    }

    /// Bytes that the ring takes in memory now.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that still fit.
    pub fn free(&self) -> usize {
        self.limit - self.len
    }

    /// Copies in what fits and returns how much that was.
    pub fn push(&mut self, data: &[u8]) -> usize {
        let count = data.len().min(self.free());
        self.grow(self.len + count);
        let tail = self.tail();
        let first = count.min(self.bytes.len() - tail);
        self.bytes[tail..tail + first].copy_from_slice(&data[..first]);
        self.bytes[..count - first].copy_from_slice(&data[first..count]);
        self.len += count;
        count
    }

    /// Where the next byte goes.
    fn tail(&self) -> usize {
        (self.head + self.len) % self.bytes.len()
    }

    /// The oldest bytes, as far as they lie in one piece.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops the oldest bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.head = (self.head + count) % self.bytes.len();
        self.len -= count;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > Self::INITIAL_CAPACITY {
                self.bytes = vec![0; self.limit.min(Self::INITIAL_CAPACITY)];
            }
        }
    }

    /// Keeps the oldest `len` bytes only.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Drops `len` bytes that begin `at` bytes behind the oldest.
    pub fn remove_range(&mut self, at: usize, len: usize) {
        let mut all = Vec::with_capacity(self.len);
        self.take(usize::MAX, &mut all);
        let at = at.min(all.len());
        all.drain(at..(at + len).min(all.len()));
        self.push(&all);
    }

    /// One read into the free space; 0 is the end of the stream. Call only while something is free.
    ///
    /// # Errors
    /// Those of the read; nothing was read then.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.len == self.bytes.len() {
            self.grow(2 * self.len);
        }
        let tail = self.tail();
        let end = if tail < self.head {
            self.head
        } else {
            self.bytes.len()
        };
        let count = from.read(&mut self.bytes[tail..end])?;
        self.len += count;
        Ok(count)
    }

    /// Moves up to `limit` bytes to the end of `to`; returns how many.
    pub fn take(&mut self, limit: usize, to: &mut Vec<u8>) -> usize {
        let mut moved = 0;
        while moved < limit && !self.is_empty() {
            let front = self.front();
            let count = front.len().min(limit - moved);
            to.extend_from_slice(&front[..count]);
            self.consume(count);
            moved += count;
        }
        moved
    }
}
