//! Counts the gossip traffic of simulated front ends by kind.
use std::time::Duration;
use wrenseam::fleet::identity::AVERAGE_VERSION;
use wrenseam::fleet::message::RECORDS_VERSION;

/// Traffic of all front ends since the counts were last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, without IP and UDP headers.
    pub sent: u64,
    /// Bytes received, without IP and UDP headers.
    pub received: u64,
    /// Bytes sent for the SWIM protocol itself: headers, probes, their acknowledgements, joins.
    pub swim: u64,
    /// Bytes sent for membership updates and member lists in SWIM datagrams.
    pub members: u64,
    /// Bytes sent for load summaries in SWIM datagrams.
    pub summaries: u64,
    /// Bytes sent for exchanges of the averaging.
    pub average: u64,
    /// Bytes sent for member records and their repair.
    pub records: u64,
    /// Wall-clock time spent in the front ends' state machines.
    pub busy: Duration,
}

/// Offset of the protocol version in a datagram.
const VERSION_AT: usize = 2;
/// Bytes of a load summary at the end of a SWIM datagram, with its two-byte length.
const SUMMARY_BYTES: usize = 66;
/// First bytes of a load summary in a SWIM datagram: its length of 64 and its magic.
const SUMMARY_PREFIX: [u8; 4] = [0, 64, b'w', b'S'];
/// Bytes of the program's header, which precedes that of foca in a SWIM datagram.
const PROGRAM_HEADER_BYTES: usize = 7;

impl TrafficCounts {
    /// Counts a sent datagram.
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

    /// Counts a sent SWIM datagram, which consists of a header, membership updates, and load summaries, in this order.
    fn add_swim(&mut self, bytes: &[u8]) {
        let mut end = bytes.len();
        while end >= SUMMARY_BYTES && bytes[end - SUMMARY_BYTES..].starts_with(&SUMMARY_PREFIX) {
            end -= SUMMARY_BYTES;
        }
        let header = swim_header(bytes).unwrap_or(end).min(end);
        self.swim += header as u64;
        self.members += (end - header) as u64;
        self.summaries += (bytes.len() - end) as u64;
    }
}

/// Reads the fields of a datagram in order.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    /// Reads a variable-length integer of 7 bits per byte. `None` at the end of the datagram.
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

    /// Skips a peer: the kind of its address, the address, its port and its incarnation.
    fn skip_peer(&mut self) -> Option<()> {
        let address_bytes = if self.varint()? == 0 { 4 } else { 16 };
        self.position += address_bytes;
        self.varint()?;
        self.varint()?;
        Some(())
    }
}

/// Number of bytes before the membership updates of a SWIM datagram: the program's header, sender, incarnation,
/// receiver and message. `None` if the datagram is truncated.
fn swim_header(bytes: &[u8]) -> Option<usize> {
    let mut reader = Reader {
        bytes,
        position: PROGRAM_HEADER_BYTES,
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
