//! Frames of the platform, as far as the workers read and write them.
use super::Connection;
use wrenseam::worker::frames::encode;

/// Bytes of a frame before its fields.
const HEADER_BYTES: usize = 16;
/// Bytes of a frame after its body.
const CHECKSUM_BYTES: usize = 4;
/// Kinds of frames that a front end sends.
pub(super) const REQUEST_FRAME: u8 = 2;
pub(super) const LOAD_FRAME: u8 = 6;
pub(super) const UNLOAD_FRAME: u8 = 8;
/// Kind of an answer, and the first byte of frames that workers send.
const ANSWER_FRAME: u8 = 200;
const WORKER_MARK: u8 = 127;

/// A complete frame, and where it came from.
pub(super) struct Frame {
    pub(super) connection: u64,
    pub(super) worker: usize,
    /// Whether it is the first of its connection.
    pub(super) first: bool,
    pub(super) kind: u8,
    pub(super) id: u64,
    fields: String,
    pub(super) body: Vec<u8>,
}

impl Frame {
    /// Takes a complete frame off the bytes received.
    pub(super) fn take(token: u64, connection: &mut Connection) -> Option<Frame> {
        let head = *connection.received.first_chunk::<HEADER_BYTES>()?;
        let fields_length = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body_length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let length = HEADER_BYTES + fields_length + body_length + CHECKSUM_BYTES;
        if connection.received.len() < length {
            return None;
        }
        let bytes: Vec<u8> = connection.received.drain(..length).collect();
        let body_start = HEADER_BYTES + fields_length;
        Some(Frame {
            connection: token,
            worker: connection.worker,
            first: std::mem::take(&mut connection.new),
            kind: head[1],
            id: u64::from_be_bytes(head[8..].try_into().expect("eight bytes")),
            fields: String::from_utf8_lossy(&bytes[HEADER_BYTES..body_start]).into_owned(),
            body: bytes[body_start..length - CHECKSUM_BYTES].to_vec(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.split(',');
        fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    pub(super) fn function(&self) -> u64 {
        let path = self.field("path");
        path.and_then(|path| u64::from_str_radix(path, 16).ok())
            .unwrap_or(self.id)
    }

    /// Replicas that a load order asks for.
    pub(super) fn replicas(&self) -> Option<u32> {
        self.field("slots_up")?.parse().ok()
    }
}

pub(super) fn answer(id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = encode(ANSWER_FRAME, id, fields, body);
    bytes[0] = WORKER_MARK;
    bytes
}
