//! What the simulated front ends sent and received, by kind.
use std::time::Duration;
use wrenseam::fleet::identity::AVERAGE_VERSION;
use wrenseam::fleet::message::RECORDS_VERSION;

/// What was sent and received since the tally was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, without those of IP and UDP.
    pub sent: u64,
    /// Bytes that came.
    pub received: u64,
    /// Of the bytes sent: SWIM's own (probes, their answers, joins).
    pub swim: u64,
    /// Of the bytes sent: news and lists of members on SWIM's datagrams.
    pub members: u64,
    /// Of the bytes sent: summaries.
    pub summaries: u64,
    /// Of the bytes sent: exchanges of the averaging.
    pub average: u64,
    /// Of the bytes sent: records, and what repairs them.
    pub records: u64,
    /// Time in the state machines.
    pub busy: Duration,
}

/// Position of the protocol's version in a datagram.
const VERSION_AT: usize = 2;
/// Bytes of a summary at the end of a SWIM datagram, and how it begins.
const SUMMARY_BYTES: usize = 66;
const SUMMARY_HEAD: [u8; 4] = [0, 64, b'w', b'S'];
/// Bytes of the program's own header before SWIM's.
const OWN_HEADER_BYTES: usize = 7;

impl TrafficCounts {
    /// Counts a datagram sent.
    pub fn add(&mut self, bytes: &[u8]) {
        let length = bytes.len() as u64;
        self.datagrams += 1;
        self.sent += length;
        match bytes.get(VERSION_AT) {
            Some(&AVERAGE_VERSION) => self.average += length,
            Some(&RECORDS_VERSION) => self.records += length,
            _ => self.add_swim(bytes),
        }
    }

    /// Counts a SWIM datagram: its own part, then news of members, then summaries.
    fn add_swim(&mut self, bytes: &[u8]) {
        let mut end = bytes.len();
        while end >= SUMMARY_BYTES && bytes[end - SUMMARY_BYTES..].starts_with(&SUMMARY_HEAD) {
            end -= SUMMARY_BYTES;
        }
        let header = swim_header(bytes).unwrap_or(end).min(end);
        self.swim += header as u64;
        self.members += (end - header) as u64;
        self.summaries += (bytes.len() - end) as u64;
    }
}

/// Reads a datagram's fields one after another.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    fn varint(&mut self) -> Option<u64> {
        let mut value = 0;
        let mut shift = 0;
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            value |= u64::from(byte & 0x7f) << shift;
            shift += 7;
            if byte < 0x80 || shift > 63 {
                return Some(value);
            }
        }
    }

    /// A peer: the kind of its address, the address, its port and its incarnation.
    fn skip_peer(&mut self) -> Option<()> {
        let address_bytes = if self.varint()? == 0 { 4 } else { 16 };
        self.position += address_bytes;
        self.varint()?;
        self.varint()?;
        Some(())
    }
}

/// Bytes of a SWIM datagram before its news of members: our header, both peers, incarnation and message.
fn swim_header(bytes: &[u8]) -> Option<usize> {
    let mut reader = Reader {
        bytes,
        position: OWN_HEADER_BYTES,
    };
    reader.skip_peer()?;
    reader.varint()?;
    reader.skip_peer()?;
    match reader.varint()? {
        0 | 1 => reader.position += 1,
        2..=5 => {
            reader.skip_peer()?;
            reader.position += 1;
        }
        _ => {}
    }
    Some(reader.position)
}
