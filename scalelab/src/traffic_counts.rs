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

impl TrafficCounts {
    /// Counts a datagram sent.
    pub fn add(&mut self, bytes: &[u8]) {
        let n = bytes.len() as u64;
        self.datagrams += 1;
        self.sent += n;
        if bytes.get(2) == Some(&AVERAGE_VERSION) {
            self.average += n;
            return;
        }
        if bytes.get(2) == Some(&RECORDS_VERSION) {
            self.records += n;
            return;
        }
        let mut end = bytes.len();
        while end >= 66 && bytes[end - 66..end - 62] == [0, 64, b'w', b'S'] {
            end -= 66;
        }
        let head = swim_header(bytes).unwrap_or(end).min(end);
        self.swim += head as u64;
        self.members += (end - head) as u64;
        self.summaries += n - end as u64;
    }
}

/// Bytes of a SWIM datagram before its news of members: our header, both peers, incarnation and message.
fn swim_header(bytes: &[u8]) -> Option<usize> {
    let varint = |at: &mut usize| -> Option<u64> {
        let (mut value, mut shift) = (0u64, 0);
        loop {
            let b = *bytes.get(*at)?;
            *at += 1;
            value |= u64::from(b & 0x7f) << shift;
            shift += 7;
            if b < 0x80 || shift > 63 {
                return Some(value);
            }
        }
    };
    let peer = |at: &mut usize| -> Option<()> {
        *at += if varint(at)? == 0 { 4 } else { 16 };
        varint(at)?;
        varint(at).map(drop)
    };
    let at = &mut 7;
    peer(at)?;
    varint(at)?;
    peer(at)?;
    match varint(at)? {
        0 | 1 => *at += 1,
        2..=5 => {
            peer(at)?;
            *at += 1;
        }
        _ => {}
    }
    Some(*at)
}
