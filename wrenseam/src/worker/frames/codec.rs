//! The frames of the platform's protocol as bytes, and answers put together from a stream. No sockets.
use super::super::AttemptLimits;
use crate::model::Request;
use crate::ring::Ring;
use wrenseam_policy::{FunctionId, Outcome};

const FROM_US: u8 = 126;
const FROM_WORKER: u8 = 127;
const CALL: u8 = 2;
const GIVE_UP: u8 = 3;
const HOLD: u8 = 6;
const UNLOAD: u8 = 8;
const HEADER: usize = 16;
const CHECK: usize = 4;

/// Length of a frame without fields and body.
pub(super) const BARE: usize = HEADER + CHECK;

/// One frame as bytes.
pub fn encode(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER + fields.len() + body.len() + CHECK);
    frame.extend([FROM_US, code]);
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let check = crc32fast::hash(&frame[HEADER..]);
    frame.extend(check.to_be_bytes());
    frame
}

/// An answer read whole.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// Its code.
    pub code: u8,
    /// The id it answers.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .split(',')
            .find_map(|pair| pair.split_once('=').filter(|p| p.0 == name))
            .map(|p| p.1)
    }
}

/// Puts frames together from what a ring holds.
#[derive(Default)]
pub struct Decoder {
    got: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has begun and is not whole.
    pub fn midway(&self) -> bool {
        !self.got.is_empty()
    }

    /// The next whole frame, or what is wrong with the stream.
    pub fn next(&mut self, ring: &mut Ring, most: usize) -> Result<Option<Frame>, String> {
        if self.got.len() < HEADER {
            ring.take(HEADER - self.got.len(), &mut self.got);
        }
        let [mark, code, f0, f1, b0, b1, b2, b3, id @ ..] = &self.got[..] else {
            return Ok(None);
        };
        let Some(id) = id.first_chunk::<8>() else {
            return Ok(None);
        };
        if *mark != FROM_WORKER {
            return Err(format!("mark {mark}"));
        }
        let (code, id) = (*code, u64::from_be_bytes(*id));
        let fields = usize::from(u16::from_be_bytes([*f0, *f1]));
        let body = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize;
        if body > most {
            return Err(format!("length {body}"));
        }
        let all = HEADER + fields + body + CHECK;
        ring.take(all - self.got.len(), &mut self.got);
        if self.got.len() < all {
            return Ok(None);
        }
        let got = std::mem::take(&mut self.got);
        let (content, check) = got[HEADER..].split_at(fields + body);
        if crc32fast::hash(content).to_be_bytes() != *check {
            return Err("check sum".to_owned());
        }
        let fields_text = String::from_utf8_lossy(&content[..fields]).into_owned();
        Ok(Some(Frame {
            code,
            id,
            fields: fields_text,
            body: content[fields..].to_vec(),
        }))
    }
}

/// The outcome that an answer's code stands for.
pub(super) fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        200 => Outcome::Ok,
        202 => Outcome::NotLoaded,
        203 => Outcome::Rejected,
        204 => Outcome::Error,
        205 => Outcome::NotSent,
        _ => return None,
    })
}

/// A call, whose answer is waited for as the limits say.
pub(super) fn call(request: &Request, limits: AttemptLimits) -> Vec<u8> {
    let (class, function, budget) = (
        &request.class,
        request.function,
        (limits.answer_timeout / 1000).max(1),
    );
    let mut fields = format!("queue={class},path={function:016x},budget={budget}");
    if let Some(token) = &request.idempotency_key {
        fields.push_str(",uniq=");
        fields.push_str(token);
    }
    encode(CALL, request.wire_id, &fields, request.payload.bytes())
}

/// An order to hold copies; none only asks how many stand.
pub(super) fn hold(id: u64, function: FunctionId, copies: u32) -> Vec<u8> {
    encode(
        HOLD,
        id,
        &format!("path={function:016x},slots_up={copies}"),
        &[],
    )
}

/// An order to unload idle copies, owed no answer.
pub(super) fn unload(function: FunctionId) -> Vec<u8> {
    encode(UNLOAD, function, "", &[])
}

/// Gives a call up.
pub(super) fn give_up(id: u64) -> Vec<u8> {
    encode(GIVE_UP, id, "", &[])
}
