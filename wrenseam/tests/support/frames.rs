//! The platform's binary frames, coded from their specification and not by the program's own codec.
use super::sockets::read_bytes;
use std::io::{self, Read};

/// The codes of frames.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) mod code {
    /// A call to run a function.
    pub(crate) const CALL: u8 = 2;
    /// A question whether the worker takes new work.
    pub(crate) const HEALTH_CHECK: u8 = 4;
    /// The same, answered with the load report.
    pub(crate) const LOAD_CHECK: u8 = 5;
    /// An order to load or unload replicas of a function, or a question how many are loaded.
    pub(crate) const LOAD_ORDER: u8 = 6;
    /// An answer: it ran.
    pub(crate) const OK: u8 = 200;
    /// An answer: the function is not loaded here.
    pub(crate) const NOT_LOADED: u8 = 202;
    /// An answer: no capacity is left.
    pub(crate) const REJECTED: u8 = 203;
    /// An answer: it failed, and may have run.
    pub(crate) const ERROR: u8 = 204;
    /// An answer: it was not begun.
    pub(crate) const NOT_BEGUN: u8 = 205;
    /// An answer to a health check: the worker takes new work.
    pub(crate) const ACCEPTING: u8 = 206;
    /// An answer to a health check: the worker takes no new work.
    pub(crate) const NOT_ACCEPTING: u8 = 207;
}

const FROM_PROGRAM: u8 = 126;
const FROM_WORKER: u8 = 127;
const HEADER_LENGTH: usize = 16;
const CHECKSUM_LENGTH: usize = 4;

/// A frame that the program wrote.
pub(crate) struct Frame {
    pub(crate) code: u8,
    pub(crate) id: u64,
    /// `name=value,name=value`.
    pub(crate) fields: String,
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads the next frame that the program wrote; one with a wrong origin or checksum fails the test.
pub(crate) fn read_frame(stream: &mut impl Read) -> io::Result<Frame> {
    let header = read_bytes(stream, HEADER_LENGTH)?;
    let fields_length = usize::from(u16::from_be_bytes([header[2], header[3]]));
    let body_length = u32::from_be_bytes(header[4..8].try_into().expect("four bytes")) as usize;
    let id = u64::from_be_bytes(header[8..].try_into().expect("eight bytes"));
    let content = read_bytes(stream, fields_length + body_length)?;
    let checksum = read_bytes(stream, CHECKSUM_LENGTH)?;
    assert_eq!(header[0], FROM_PROGRAM, "a frame of the program's");
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

/// A worker's frame as bytes.
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
