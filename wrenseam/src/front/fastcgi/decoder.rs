//! Splits the input of a FastCGI connection into records, without I/O. What a record takes is reserved in a memory budget
//! before its content is stored, as its rest may never come.
use super::records::{FastCgiError, Record, HEADER_LENGTH, VERSION};
use crate::memory_budget::MemoryReservation;
use crate::ring::Ring;
use std::time::{Duration, Instant};

/// A buffer of at most this many bytes is kept for the next record.
const KEPT_CAPACITY: usize = 2 * 1024;

/// The header of a record whose content has not been read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordHeader {
    pub(super) record_type: u8,
    pub(super) request_id: u16,
    pub(super) content_length: usize,
}

/// What becomes of a record's content.
pub(super) enum Admission {
    /// It is stored, within this reservation, and the record is returned once it is complete.
    Store(MemoryReservation),
    /// It is discarded as it arrives.
    Discard,
}

/// What was decoded.
pub(super) enum Decoded<'a> {
    /// A complete record.
    Record(Record<'a>),
    /// This many bytes of a record's content were discarded.
    Discarded(usize),
}

/// What comes next in the input.
enum State {
    /// The header of a record.
    Header,
    /// The content of a record that is stored, and its padding.
    Content {
        header: RecordHeader,
        padding: usize,
    },
    /// The padding of a record whose content is stored or was discarded.
    Padding { remaining: usize },
    /// The rest of a record's content that is discarded.
    Discarded { remaining: usize, padding: usize },
}

/// Decodes records from a ring buffer. A record may be longer than the ring.
pub(super) struct RecordDecoder {
    state: State,
    /// The header or the stored content of the present record, or the content of the one that was returned last.
    bytes: Vec<u8>,
    /// Whether `bytes` is the content of a record that has been returned.
    is_returned: bool,
    /// The reservation of the stored content.
    reserved: Option<MemoryReservation>,
    /// When decoding of the record began.
    started_at: Instant,
}

impl RecordDecoder {
    pub(super) fn new() -> Self {
        RecordDecoder {
            state: State::Header,
            bytes: Vec::new(),
            is_returned: false,
            reserved: None,
            started_at: Instant::now(),
        }
    }

    /// Whether no record is partly received.
    pub(super) fn is_between_records(&self) -> bool {
        matches!(self.state, State::Header) && (self.bytes.is_empty() || self.is_returned)
    }

    /// Whether a record is partly received and began longer than `limit` ago.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        !self.is_between_records() && self.started_at.elapsed() > limit
    }

    /// Decodes further, until a record is complete or some content was discarded; `None` if there is no more input.
    /// `admit` decides about each record once its header is received.
    ///
    /// # Errors
    /// The input is no record, or `admit` failed.
    pub(super) fn next<E: From<FastCgiError>>(
        &mut self,
        ring: &mut Ring,
        mut admit: impl FnMut(RecordHeader) -> Result<Admission, E>,
    ) -> Result<Option<Decoded<'_>>, E> {
        self.release_returned();
        loop {
            match self.state {
                State::Header => {
                    if !self.read_header(ring, &mut admit)? {
                        return Ok(None);
                    }
                    if matches!(self.state, State::Discarded { remaining: 0, .. }) {
                        return Ok(Some(Decoded::Discarded(0)));
                    }
                }
                State::Content { header, padding } => {
                    return Ok(self.read_content(ring, header, padding));
                }
                State::Discarded {
                    remaining: 0,
                    padding,
                } => self.state = State::Padding { remaining: padding },
                State::Discarded { remaining, padding } => {
                    let count = drop_bytes(ring, remaining);
                    self.state = State::Discarded {
                        remaining: remaining - count,
                        padding,
                    };
                    return Ok((count > 0).then_some(Decoded::Discarded(count)));
                }
                State::Padding { remaining: 0 } => self.state = State::Header,
                State::Padding { remaining } => {
                    let count = drop_bytes(ring, remaining);
                    self.state = State::Padding {
                        remaining: remaining - count,
                    };
                    if count == 0 {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Reads stored content. Returns the record once it is complete.
    fn read_content(
        &mut self,
        ring: &mut Ring,
        header: RecordHeader,
        padding: usize,
    ) -> Option<Decoded<'_>> {
        ring.take(header.content_length - self.bytes.len(), &mut self.bytes);
        if self.bytes.len() < header.content_length {
            return None;
        }
        self.state = State::Padding { remaining: padding };
        self.is_returned = true;
        Some(Decoded::Record(Record {
            record_type: header.record_type,
            request_id: header.request_id,
            content: &self.bytes,
        }))
    }

    /// Gives back what the record took that was returned last.
    fn release_returned(&mut self) {
        if !self.is_returned {
            return;
        }
        self.is_returned = false;
        self.reserved = None;
        if self.bytes.capacity() > KEPT_CAPACITY {
            self.bytes = Vec::new();
        }
        self.bytes.clear();
    }

    /// Reads a header, and has its record admitted. Returns whether it was complete.
    fn read_header<E: From<FastCgiError>>(
        &mut self,
        ring: &mut Ring,
        admit: &mut impl FnMut(RecordHeader) -> Result<Admission, E>,
    ) -> Result<bool, E> {
        if self.bytes.is_empty() {
            self.started_at = Instant::now();
        }
        ring.take(HEADER_LENGTH - self.bytes.len(), &mut self.bytes);
        let [version, record_type, id_high, id_low, length_high, length_low, padding, _] =
            self.bytes[..]
        else {
            return Ok(false);
        };
        if version != VERSION {
            return Err(FastCgiError::UnsupportedVersion(version).into());
        }
        let header = RecordHeader {
            record_type,
            request_id: u16::from_be_bytes([id_high, id_low]),
            content_length: u16::from_be_bytes([length_high, length_low]).into(),
        };
        let padding = padding.into();
        self.bytes.clear();
        self.state = match admit(header)? {
            Admission::Store(reserved) => {
                self.reserved = Some(reserved);
                State::Content { header, padding }
            }
            Admission::Discard => State::Discarded {
                remaining: header.content_length,
                padding,
            },
        };
        Ok(true)
    }
}

/// Drops up to `limit` of the oldest bytes and returns their number.
fn drop_bytes(ring: &mut Ring, limit: usize) -> usize {
    let count = limit.min(ring.len());
    ring.consume(count);
    count
}
