//! FastCGI 1.0 records as bytes; no I/O.

pub(super) const BEGIN: u8 = 1;
pub(super) const ABORT: u8 = 2;
pub(super) const END: u8 = 3;
pub(super) const PARAMS: u8 = 4;
pub(super) const STDIN: u8 = 5;
pub(super) const STDOUT: u8 = 6;
pub(super) const GET_VALUES: u8 = 9;
pub(super) const GET_VALUES_RESULT: u8 = 10;
pub(super) const UNKNOWN_TYPE: u8 = 11;
pub(super) const RESPONDER: u16 = 1;
pub(super) const KEEP_CONN: u8 = 1;
pub(super) const COMPLETE: u8 = 0;
pub(super) const OVERLOADED: u8 = 2;
pub(super) const UNKNOWN_ROLE: u8 = 3;
pub(super) const HEADER: usize = 8;
pub(super) const STOPPING_WAIT: u64 = 1_000; // what a request refused by an ending process is told to wait, in µs

/// One record as bytes; `content` must be shorter than 64 KiB.
pub fn record(kind: u8, id: u16, content: &[u8], to: &mut Vec<u8>) {
    to.extend([1, kind]);
    to.extend(id.to_be_bytes());
    to.extend((content.len() as u16).to_be_bytes());
    to.extend([0, 0]);
    to.extend(content);
}

pub(super) fn end(id: u16, status: u8, to: &mut Vec<u8>) {
    record(END, id, &[0, 0, 0, 0, status, 0, 0, 0], to);
}

/// A CGI response in STDOUT records, then END_REQUEST.
pub fn response(id: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let content = [head.as_bytes(), b"\r\n", body].concat();
    let mut out = Vec::with_capacity(content.len() + 64);
    for piece in content.chunks(0xfff8) {
        record(STDOUT, id, piece, &mut out);
    }
    record(STDOUT, id, &[], &mut out);
    end(id, COMPLETE, &mut out);
    out
}

/// Name-value pairs of a parameter stream; what is cut short ends them.
pub fn pairs(mut from: &[u8]) -> Vec<(String, String)> {
    fn len(from: &mut &[u8]) -> Option<usize> {
        let (&first, rest) = from.split_first()?;
        if first < 0x80 {
            *from = rest;
            return Some(first.into());
        }
        let (four, rest) = from.split_first_chunk::<4>()?;
        *from = rest;
        Some((u32::from_be_bytes(*four) & 0x7fff_ffff) as usize)
    }
    let mut found = Vec::new();
    while let Some((name, value)) = len(&mut from).and_then(|n| Some((n, len(&mut from)?))) {
        if from.len() < name.saturating_add(value) {
            break;
        }
        let (n, rest) = from.split_at(name);
        let (v, rest) = rest.split_at(value);
        found.push((
            String::from_utf8_lossy(n).into_owned(),
            String::from_utf8_lossy(v).into_owned(),
        ));
        from = rest;
    }
    found
}
