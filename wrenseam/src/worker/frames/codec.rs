//! Encodes frames of the platform's protocol, and decodes responses from a stream of bytes. No sockets.
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
/// Code of a health check, which asks whether the worker accepts new work.
const CODE_HEALTH_CHECK: u8 = 4;
/// Code of a load order, which tells the worker to hold a number of replicas.
const CODE_LOAD_ORDER: u8 = 6;
/// Code of an order to unload idle replicas.
const CODE_UNLOAD: u8 = 8;

/// Bytes of a frame's header.
const HEADER_BYTES: usize = 16;
/// Bytes of a frame's checksum.
const CHECKSUM_BYTES: usize = 4;
/// Bytes of a frame without fields and body.
pub(super) const EMPTY_FRAME_BYTES: usize = HEADER_BYTES + CHECKSUM_BYTES;

/// Why a stream of responses cannot be decoded any further. Nothing that follows on it can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame begins with this byte instead of a worker's magic byte.
    #[error("unexpected magic byte {0}")]
    Magic(u8),
    /// The stated length of a body exceeds the limit.
    #[error("body length {0} exceeds the limit")]
    BodyLength(usize),
    /// The fields or the body were corrupted.
    #[error("checksum mismatch")]
    Checksum,
    /// The code is not one of a response, or not one of a response to this kind of exchange.
    #[error("unknown code {0}")]
    UnknownCode(u8),
    /// The code says that nothing ran, but the response has a body.
    #[error("unexpected body with code {0}")]
    UnexpectedBody(u8),
    /// The response belongs to a frame that has not been written completely.
    #[error("answer to an incomplete call")]
    IncompleteCall,
    /// A panic poisoned the lock of the exchange table.
    #[error("exchange table poisoned")]
    Poisoned,
}

/// Encodes a frame from the front end.
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

/// A complete response from a worker.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// The code, which states the outcome or the worker's health.
    pub code: u8,
    /// The id of the exchange that it answers.
    pub id: u64,
    /// The fields, `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field; `None` if the response has no such field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The value of a field; `None` if the response has no such field or it is not a number.
    pub(super) fn number(&self, name: &str) -> Option<u32> {
        self.field(name)?.parse().ok()
    }
}

/// The header of a response.
struct Header {
    code: u8,
    id: u64,
    fields_len: usize,
    body_len: usize,
}

impl Header {
    /// Parses a header; `None` while it is incomplete.
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

    /// Length of the whole frame in bytes.
    fn frame_len(&self) -> usize {
        EMPTY_FRAME_BYTES + self.fields_len + self.body_len
    }
}

/// Decodes frames from the bytes that a ring holds.
#[derive(Default)]
pub struct Decoder {
    /// The bytes of a frame that is still incomplete.
    partial: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has begun and is still incomplete.
    pub fn is_mid_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes the next frame from the ring; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not frames from a worker, or a frame is corrupted or too long.
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

/// Decodes a complete frame with this header.
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

/// The meaning of a response's code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseCode {
    /// How a call or a load order ended.
    Outcome(Outcome),
    /// Whether the worker accepts new work.
    Health(HealthCheckResult),
}

impl ResponseCode {
    pub(super) fn parse(code: u8) -> Result<ResponseCode, FrameError> {
        match code {
            200 => Ok(ResponseCode::Outcome(Outcome::Ok)),
            202 => Ok(ResponseCode::Outcome(Outcome::NotLoaded)),
            203 => Ok(ResponseCode::Outcome(Outcome::Rejected)),
            204 => Ok(ResponseCode::Outcome(Outcome::Error)),
            205 => Ok(ResponseCode::Outcome(Outcome::NotSent)),
            206 => Ok(ResponseCode::Health(HealthCheckResult::Accepting)),
            207 => Ok(ResponseCode::Health(HealthCheckResult::NotAccepting)),
            _ => Err(FrameError::UnknownCode(code)),
        }
    }
}

/// Encodes a call, which tells the worker how long the front end waits for the response.
pub(super) fn call(request: &Request, limits: AttemptLimits) -> Vec<u8> {
    let class = &request.class;
    let function = request.function;
    let budget_ms = (limits.response_timeout / MICROS_PER_MILLI).max(1);
    let mut fields = format!("queue={class},path={function:016x},budget={budget_ms}");
    if let Some(idempotency_key) = &request.idempotency_key {
        fields.push_str(",uniq=");
        fields.push_str(idempotency_key);
    }
    encode(CODE_CALL, request.wire_id, &fields, request.payload.bytes())
}

/// Encodes a load order; 0 replicas only asks how many the worker holds.
pub(super) fn load_order(id: u64, function: FunctionId, replicas: u32) -> Vec<u8> {
    let fields = format!("path={function:016x},slots_up={replicas}");
    encode(CODE_LOAD_ORDER, id, &fields, &[])
}

/// Encodes a health check, which asks whether the worker accepts new work.
pub(super) fn health_check(id: u64) -> Vec<u8> {
    encode(CODE_HEALTH_CHECK, id, "", &[])
}

/// Encodes an order to unload idle replicas, which the worker does not answer.
pub(super) fn unload(function: FunctionId) -> Vec<u8> {
    encode(CODE_UNLOAD, function, "", &[])
}

/// Encodes the cancellation of a call.
pub(super) fn cancel(id: u64) -> Vec<u8> {
    encode(CODE_CANCEL, id, "", &[])
}
