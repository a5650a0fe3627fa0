//! A bounded ring buffer of bytes. Each connection has one for each direction. It starts small, grows up to its limit
//! as it fills, and shrinks to its initial capacity once it is empty, so that hundreds of idle connections take little
//! memory.
use std::io::{self, Read};

/// A ring buffer of bytes. Bytes that do not fit stay with the caller.
pub struct Ring {
    bytes: Vec<u8>,
    /// The most bytes that it may hold.
    limit: usize,
    /// Index of the oldest byte.
    head: usize,
    /// The number of bytes held.
    len: usize,
}

impl Ring {
    /// Bytes that a ring can hold before it grows: enough for a typical request or response.
    pub const INITIAL_CAPACITY: usize = 2 * 1024;

    /// An empty ring that may hold up to `limit` bytes, but at least 1.
    pub fn new(limit: usize) -> Self {
        let limit = limit.max(1);
        Ring {
            bytes: vec![0; limit.min(Self::INITIAL_CAPACITY)],
            limit,
            head: 0,
            len: 0,
        }
    }

    /// Grows so that it can hold `wanted` bytes in total, or as many as the limit allows.
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

    /// The number of bytes that the ring can hold without growing, which is the memory allocated for it.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// The number of bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no byte is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of bytes that still fit, up to the limit.
    pub fn free(&self) -> usize {
        self.limit - self.len
    }

    /// Copies in as many bytes as fit and returns their number.
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

    /// Index at which the next byte is stored.
    fn tail(&self) -> usize {
        (self.head + self.len) % self.bytes.len()
    }

    /// The oldest bytes, as far as they are contiguous in memory.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops the oldest `count` bytes, or all if fewer are held.
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

    /// Keeps only the oldest `len` bytes.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Drops `len` bytes, starting `at` bytes after the oldest one.
    pub fn remove_range(&mut self, at: usize, len: usize) {
        let mut all = Vec::with_capacity(self.len);
        self.take(usize::MAX, &mut all);
        let at = at.min(all.len());
        all.drain(at..(at + len).min(all.len()));
        self.push(&all);
    }

    /// Reads once into the free space and returns the number of bytes read; 0 at the end of the stream. Call only while
    /// [`Ring::free`] is above 0.
    ///
    /// # Errors
    /// The read failed, and no byte was read.
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

    /// Moves up to `limit` of the oldest bytes to the end of `to`, and returns their number.
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
