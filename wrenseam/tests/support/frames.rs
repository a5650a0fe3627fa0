//! The platform's binary frames, written from their specification without use of the program's own codec, so that an
//! error in that codec shows.
use super::sockets::read_bytes;
use std::io::{self, Read};

/// Frame codes: below 200 those of requests to a worker, from 200 on those of its answers.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) mod code {
    /// A call to run a function.
    pub(crate) const CALL: u8 = 2;
    /// Asks whether the worker accepts new work.
    pub(crate) const HEALTH_CHECK: u8 = 4;
    /// Asks the same as `HEALTH_CHECK`, and for the worker's load report.
    pub(crate) const LOAD_CHECK: u8 = 5;
    /// Orders the worker to load or unload replicas of a function, or asks how many are loaded.
    pub(crate) const LOAD_ORDER: u8 = 6;
    /// The call or load order was executed.
    pub(crate) const OK: u8 = 200;
    /// The call was not executed: the function is not loaded on this worker.
    pub(crate) const NOT_LOADED: u8 = 202;
    /// The call or load order was not executed: the worker has no capacity for it or is draining.
    pub(crate) const REJECTED: u8 = 203;
    /// The call failed, and may have been executed.
    pub(crate) const ERROR: u8 = 204;
    /// The execution of the call was not begun.
    pub(crate) const NOT_BEGUN: u8 = 205;
    /// Answer to a health check: the worker accepts new work.
    pub(crate) const ACCEPTING: u8 = 206;
    /// Answer to a health check: the worker accepts no new work.
    pub(crate) const NOT_ACCEPTING: u8 = 207;
}

/// First byte of each frame that the program writes.
const FROM_PROGRAM: u8 = 126;
/// First byte of each frame that a worker writes.
const FROM_WORKER: u8 = 127;
const HEADER_LENGTH: usize = 16;
const CHECKSUM_LENGTH: usize = 4;

/// A frame written by the program.
pub(crate) struct Frame {
    pub(crate) code: u8,
    pub(crate) id: u64,
    /// Name-value pairs in the form `name=value,name=value`.
    pub(crate) fields: String,
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) body: Vec<u8>,
}

impl Frame {
    /// The value of the field with this name, `None` if the frame lacks it.
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads the next frame written by the program. A frame with a wrong first byte or checksum fails the test.
pub(crate) fn read_frame(stream: &mut impl Read) -> io::Result<Frame> {
    let header = read_bytes(stream, HEADER_LENGTH)?;
    let fields_length = usize::from(u16::from_be_bytes([header[2], header[3]]));
    let body_length = u32::from_be_bytes(header[4..8].try_into().expect("four bytes")) as usize;
    let id = u64::from_be_bytes(header[8..].try_into().expect("eight bytes"));
    let content = read_bytes(stream, fields_length + body_length)?;
    let checksum = read_bytes(stream, CHECKSUM_LENGTH)?;
    assert_eq!(
        header[0], FROM_PROGRAM,
        "the first byte of a program's frame"
    );
    assert_eq!(
        checksum,
        crc32fast::hash(&content).to_be_bytes(),
        "the checksum"
    );
    let (fields, body) = content.split_at(fields_length);
    Ok(Frame {
        code: header[1],
        id,
        fields: String::from_utf8_lossy(fields).into_owned(),
        body: body.to_vec(),
    })
}

/// Encodes a frame from a worker.
pub(crate) fn encode_answer(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let content = [fields.as_bytes(), body].concat();
    let mut frame = vec![FROM_WORKER, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(&content);
    frame.extend(crc32fast::hash(&content).to_be_bytes());
    frame
}
