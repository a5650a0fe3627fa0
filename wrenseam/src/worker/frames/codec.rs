//! The frames of the platform's protocol as bytes, and answers decoded from a stream. No sockets.
//!
//! A frame is a header of 16 bytes (magic byte, code, length of the fields, length of the body, id; big endian), the
//! fields as `name=value,name=value`, the body, and a CRC-32 of fields and body.
use super::super::{AttemptLimits, MICROS_PER_MILLI};
use crate::model::Request;
use crate::ring::Ring;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::{FunctionId, Outcome};

/// First byte of the frames that a front end sends.
const MAGIC_FROM_FRONT_END: u8 = 126;
/// First byte of the frames that a worker sends.
const MAGIC_FROM_WORKER: u8 = 127;

/// Code of a call.
const CODE_CALL: u8 = 2;
/// Code of the cancellation of a call.
const CODE_CANCEL: u8 = 3;
/// Code of a question whether the worker takes new work.
const CODE_HEALTH_CHECK: u8 = 4;
/// Code of an order to hold replicas.
const CODE_HOLD: u8 = 6;
/// Code of an order to unload idle replicas.
const CODE_UNLOAD: u8 = 8;

/// Bytes of a frame's header.
const HEADER_BYTES: usize = 16;
/// Bytes of a frame's checksum.
const CHECKSUM_BYTES: usize = 4;
/// Bytes of a frame without fields and body.
pub(super) const EMPTY_FRAME_BYTES: usize = HEADER_BYTES + CHECKSUM_BYTES;

/// Why a stream of answers cannot be read any further. Nothing that follows can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame does not begin as a worker's.
    #[error("magic byte {0}")]
    Magic(u8),
    /// The stated length of a body is beyond the bound.
    #[error("body length {0}")]
    BodyLength(usize),
    /// Fields or body were changed on their way.
    #[error("checksum mismatch")]
    Checksum,
    /// The code stands for no answer, or for none to what was asked.
    #[error("unknown code {0}")]
    UnknownCode(u8),
    /// The code says that nothing ran, and a body came with it.
    #[error("unexpected body with code {0}")]
    UnexpectedBody(u8),
    /// It answers a frame that has not been written completely.
    #[error("answer to an incomplete call")]
    IncompleteCall,
    /// A panic left the table of open exchanges in doubt.
    #[error("exchange table poisoned")]
    Poisoned,
}

/// Encodes one frame.
pub fn encode(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(EMPTY_FRAME_BYTES + fields.len() + body.len());
    frame.extend([MAGIC_FROM_FRONT_END, code]);
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame.extend(checksum.to_be_bytes());
    frame
}

/// A complete answer.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// Its code.
    pub code: u8,
    /// The id of the exchange that it answers.
    pub id: u64,
    /// Its fields, `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The value of a field that is a number.
    pub(super) fn number(&self, name: &str) -> Option<u32> {
        self.field(name)?.parse().ok()
    }
}

/// The header of an answer.
struct Header {
    code: u8,
    id: u64,
    fields_len: usize,
    body_len: usize,
}

impl Header {
    /// Reads a header; `None` while it is not complete.
    fn parse(bytes: &[u8], max_body: usize) -> Result<Option<Header>, FrameError> {
        let [magic, code, f0, f1, b0, b1, b2, b3, rest @ ..] = bytes else {
            return Ok(None);
        };
        let Some(id) = rest.first_chunk::<8>() else {
            return Ok(None);
        };
        if *magic != MAGIC_FROM_WORKER {
            return Err(FrameError::Magic(*magic));
        }
        let body_len = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize;
        if body_len > max_body {
            return Err(FrameError::BodyLength(body_len));
        }
        Ok(Some(Header {
            code: *code,
            id: u64::from_be_bytes(*id),
            fields_len: usize::from(u16::from_be_bytes([*f0, *f1])),
            body_len,
        }))
    }

    /// Bytes of the whole frame.
    fn frame_len(&self) -> usize {
        EMPTY_FRAME_BYTES + self.fields_len + self.body_len
    }
}

/// Decodes frames from the bytes that a ring holds.
#[derive(Default)]
pub struct Decoder {
    /// The bytes of the frame that is not complete yet.
    partial: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has begun and is not complete.
    pub fn is_mid_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The next complete frame, if it has come.
    ///
    /// # Errors
    ///
    /// The stream is no stream of frames, or a frame in it is damaged or too long.
    pub fn next(&mut self, ring: &mut Ring, max_body: usize) -> Result<Option<Frame>, FrameError> {
        if self.partial.len() < HEADER_BYTES {
            ring.take(HEADER_BYTES - self.partial.len(), &mut self.partial);
        }
        let Some(header) = Header::parse(&self.partial, max_body)? else {
            return Ok(None);
        };
        let frame_len = header.frame_len();
        ring.take(frame_len - self.partial.len(), &mut self.partial);
        if self.partial.len() < frame_len {
            return Ok(None);
        }
        let frame = std::mem::take(&mut self.partial);
        decode(&header, &frame).map(Some)
    }
}

/// Decodes a complete frame of this header.
fn decode(header: &Header, frame: &[u8]) -> Result<Frame, FrameError> {
    let (content, checksum) = frame[HEADER_BYTES..].split_at(header.fields_len + header.body_len);
    if crc32fast::hash(content).to_be_bytes() != *checksum {
        return Err(FrameError::Checksum);
    }
    let (fields, body) = content.split_at(header.fields_len);
    Ok(Frame {
        code: header.code,
        id: header.id,
        fields: String::from_utf8_lossy(fields).into_owned(),
        body: body.to_vec(),
    })
}

/// What an answer's code stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerCode {
    /// How a call or an order ended.
    Outcome(Outcome),
    /// Whether the worker takes new work.
    Health(HealthCheckResult),
}

impl AnswerCode {
    pub(super) fn parse(code: u8) -> Result<AnswerCode, FrameError> {
        match code {
            200 => Ok(AnswerCode::Outcome(Outcome::Ok)),
            202 => Ok(AnswerCode::Outcome(Outcome::NotLoaded)),
            203 => Ok(AnswerCode::Outcome(Outcome::Rejected)),
            204 => Ok(AnswerCode::Outcome(Outcome::Error)),
            205 => Ok(AnswerCode::Outcome(Outcome::NotSent)),
            206 => Ok(AnswerCode::Health(HealthCheckResult::Accepting)),
            207 => Ok(AnswerCode::Health(HealthCheckResult::NotAccepting)),
            _ => Err(FrameError::UnknownCode(code)),
        }
    }
}

/// Encodes a call, whose answer is waited for as the limits say.
pub(super) fn call(request: &Request, limits: AttemptLimits) -> Vec<u8> {
    let class = &request.class;
    let function = request.function;
    let budget_ms = (limits.answer_timeout / MICROS_PER_MILLI).max(1);
    let mut fields = format!("queue={class},path={function:016x},budget={budget_ms}");
    if let Some(idempotency_key) = &request.idempotency_key {
        fields.push_str(",uniq=");
        fields.push_str(idempotency_key);
    }
    encode(CODE_CALL, request.wire_id, &fields, request.payload.bytes())
}

/// Encodes an order to hold replicas; 0 only asks how many there are.
pub(super) fn hold(id: u64, function: FunctionId, replicas: u32) -> Vec<u8> {
    let fields = format!("path={function:016x},slots_up={replicas}");
    encode(CODE_HOLD, id, &fields, &[])
}

/// Encodes a question whether the worker takes new work.
pub(super) fn health_check(id: u64) -> Vec<u8> {
    encode(CODE_HEALTH_CHECK, id, "", &[])
}

/// Encodes an order to unload idle replicas, which gets no answer.
pub(super) fn unload(function: FunctionId) -> Vec<u8> {
    encode(CODE_UNLOAD, function, "", &[])
}

/// Encodes the cancellation of a call.
pub(super) fn cancel(id: u64) -> Vec<u8> {
    encode(CODE_CANCEL, id, "", &[])
}
