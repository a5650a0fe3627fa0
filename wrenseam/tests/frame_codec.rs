//! Decoding of workers' answers from a stream of bytes.
use rstest::rstest;
use wrenseam::ring::Ring;
use wrenseam::worker::frames::{Decoder, FrameError};

/// The id that all answers here carry.
const ID: u64 = 9;

/// Size of a test's ring.
const RING_BYTES: usize = 64;

/// The largest body that the tests accept, in bytes.
const MAX_BODY: usize = 100;

/// An answer without fields.
fn answer(code: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = vec![127, code, 0, 0];
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(ID.to_be_bytes());
    frame.extend(body);
    frame.extend(crc32fast::hash(body).to_be_bytes());
    frame
}

/// Frames are decoded completely whatever the sizes of the pieces in which they come, also across the edge of the ring.
#[rstest]
fn frames_are_decoded_from_pieces(#[values(1, 3, 7, 50)] piece_len: usize) {
    let mut ring = Ring::new(RING_BYTES);
    let mut decoder = Decoder::default();
    let mut bodies = Vec::new();
    let stream = [answer(200, b"one"), answer(202, b""), answer(200, b"three")].concat();
    for piece in stream.chunks(piece_len) {
        assert_eq!(ring.push(piece), piece.len());
        while let Some(frame) = decoder.next(&mut ring, MAX_BODY).expect("valid") {
            assert_eq!(frame.id, ID);
            bodies.push(frame.body);
        }
    }
    assert_eq!(bodies, [&b"one"[..], b"", b"three"]);
}

/// Invalid bytes give an error, unlike a frame that is merely incomplete.
#[rstest]
#[case::magic_byte(0, 126, FrameError::Magic(126))]
#[case::body_length(4, 255, FrameError::BodyLength(0xff00_0004))]
#[case::checksum(19, 1, FrameError::Checksum)]
fn invalid_frames_are_rejected(#[case] at: usize, #[case] byte: u8, #[case] error: FrameError) {
    let mut bytes = answer(200, b"body");
    bytes[at] = byte;
    let mut ring = Ring::new(RING_BYTES);
    ring.push(&bytes);
    assert_eq!(Decoder::default().next(&mut ring, MAX_BODY), Err(error));
}
