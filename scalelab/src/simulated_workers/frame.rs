//! The part of the platform's frame format that the simulated workers read and write.
use super::Connection;
use wrenseam::worker::frames::encode;

/// Bytes of a frame's header, before its fields.
const HEADER_BYTES: usize = 16;
/// Bytes of a frame's checksum, after its body.
const CHECKSUM_BYTES: usize = 4;
/// Kind of a frame with an inference request.
pub(super) const REQUEST_FRAME: u8 = 2;
/// Kind of a frame with a load order or a query.
pub(super) const LOAD_FRAME: u8 = 6;
/// Kind of a frame with an unload order.
pub(super) const UNLOAD_FRAME: u8 = 8;
/// Kind of a frame with a worker's response.
const RESPONSE_FRAME: u8 = 200;
/// First byte of each frame that a worker sends.
const WORKER_FIRST_BYTE: u8 = 127;

/// A complete frame, with the connection and the worker that received it.
pub(super) struct Frame {
    pub(super) connection: u64,
    pub(super) worker: usize,
    /// Whether it is the first frame of its connection.
    pub(super) first: bool,
    pub(super) kind: u8,
    pub(super) id: u64,
    fields: String,
    pub(super) body: Vec<u8>,
}

impl Frame {
    /// Removes a frame from the bytes received on a connection; `None` if none is complete.
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

    /// The function: the field `path`, in hex, or the frame's id if that field is missing.
    pub(super) fn function(&self) -> u64 {
        let path = self.field("path");
        path.and_then(|path| u64::from_str_radix(path, 16).ok())
            .unwrap_or(self.id)
    }

    /// Replicas that a load order asks for; 0 makes it a query. `None` if the field is missing.
    pub(super) fn replicas(&self) -> Option<u32> {
        self.field("slots_up")?.parse().ok()
    }
}

pub(super) fn response(id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = encode(RESPONSE_FRAME, id, fields, body);
    bytes[0] = WORKER_FIRST_BYTE;
    bytes
}
