//! A bounded ring of bytes: each connection has one a direction. It starts small, grows to its limit as it fills
//! and gives back what it grew by once it is empty, so hundreds of quiet connections cost little.
use std::io::{self, Read};

/// Bytes that a ring holds before it grows: a usual call or answer.
const START: usize = 2 * 1024;

/// A ring buffer; what does not fit stays with the caller.
pub struct Ring {
    bytes: Vec<u8>,
    most: usize,
    head: usize,
    len: usize,
}

impl Ring {
    /// An empty ring that holds this many bytes at the most.
    pub fn new(capacity: usize) -> Self {
        let most = capacity.max(1);
        Ring {
            bytes: vec![0; most.min(START)],
            most,
            head: 0,
            len: 0,
        }
    }

    /// Makes room for so many bytes in all, within the limit.
    fn grow(&mut self, wanted: usize) {
        let room = wanted.next_power_of_two().min(self.most);
        if room <= self.bytes.len() {
            return;
        }
        let mut bytes = Vec::with_capacity(room);
        self.take(self.len, &mut bytes);
        self.len = bytes.len();
        bytes.resize(room, 0);
        (self.bytes, self.head) = (bytes, 0);
    }

    /// Bytes that the ring takes in memory now.
    pub fn footprint(&self) -> usize {
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
        self.most - self.len
    }

    /// Takes over what fits and tells how much that was.
    pub fn push(&mut self, data: &[u8]) -> usize {
        let n = data.len().min(self.free());
        self.grow(self.len + n);
        let tail = (self.head + self.len) % self.bytes.len();
        let first = n.min(self.bytes.len() - tail);
        self.bytes[tail..tail + first].copy_from_slice(&data[..first]);
        self.bytes[..n - first].copy_from_slice(&data[first..n]);
        self.len += n;
        n
    }

    /// The oldest bytes, as far as they lie in one piece.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Lets go of the oldest bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.head = (self.head + n) % self.bytes.len();
        self.len -= n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > START {
                self.bytes = vec![0; self.most.min(START)];
            }
        }
    }

    /// Keeps the oldest `len` bytes only.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Lets go of `len` bytes that begin `at` bytes behind the oldest.
    pub fn cut(&mut self, at: usize, len: usize) {
        let mut all = Vec::with_capacity(self.len);
        self.take(usize::MAX, &mut all);
        let at = at.min(all.len());
        all.drain(at..(at + len).min(all.len()));
        self.push(&all);
    }

    /// One read into the free space; 0 is the end of the stream. Call only while something is free.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.len == self.bytes.len() {
            self.grow(2 * self.len);
        }
        let tail = (self.head + self.len) % self.bytes.len();
        let end = if tail < self.head {
            self.head
        } else {
            self.bytes.len()
        };
        let n = from.read(&mut self.bytes[tail..end])?;
        self.len += n;
        Ok(n)
    }

    /// Moves up to `most` bytes to the end of `to`; tells how many.
    pub fn take(&mut self, most: usize, to: &mut Vec<u8>) -> usize {
        let mut moved = 0;
        while moved < most && !self.is_empty() {
            let piece = self.front();
            let n = piece.len().min(most - moved);
            to.extend_from_slice(&piece[..n]);
            self.consume(n);
            moved += n;
        }
        moved
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_out_in_order_across_the_edge() {
        let (mut ring, mut out, mut next) = (Ring::new(7), Vec::new(), 0u8);
        for step in 0..40 {
            let data: Vec<u8> = (next..next + 5).collect();
            next += ring.push(&data) as u8;
            ring.take(1 + step % 6, &mut out);
        }
        let mut left = &[9u8, 9][..];
        ring.take(7, &mut out);
        assert_eq!(ring.fill(&mut left).unwrap(), 2);
        assert_eq!(out, (0..next).collect::<Vec<u8>>());
        ring.truncate(1);
        assert_eq!((ring.front(), ring.free()), (&[9u8][..], 6));
        ring.push(&[1, 2, 3, 4]);
        ring.cut(1, 3);
        out.clear();
        ring.take(7, &mut out);
        assert_eq!(out, [9, 4]);
    }

    #[test]
    fn a_ring_grows_to_its_limit_and_gives_back_what_it_grew_by() {
        let mut ring = Ring::new(64 * 1024);
        let all: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
        assert_eq!((ring.footprint(), ring.free()), (START, 64 * 1024));
        let (mut from, mut out) = (&all[..], Vec::new());
        ring.push(&from[..1_500]);
        from = &from[1_500..];
        ring.take(1_000, &mut out); // so that it grows while its bytes lie across the edge
        while ring.free() > 0 {
            ring.fill(&mut from).unwrap();
        }
        assert_eq!((ring.len(), ring.footprint()), (64 * 1024, 64 * 1024));
        ring.take(usize::MAX, &mut out);
        assert_eq!(out, all[..out.len()]);
        assert_eq!((ring.is_empty(), ring.footprint()), (true, START));
    }
}
