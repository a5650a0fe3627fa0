//! The ring buffer of connections: the order of its bytes, its growth, and its return to the initial capacity.
use wrenseam::ring::Ring;

#[test]
fn bytes_stay_in_order_across_the_wraparound() {
    let (mut ring, mut out, mut next) = (Ring::new(7), Vec::new(), 0u8);
    for step in 0..40 {
        let data: Vec<u8> = (next..next + 5).collect();
        next += ring.push(&data) as u8;
        ring.take(1 + step % 6, &mut out);
    }
    let mut left = &[9u8, 9][..];
    ring.take(7, &mut out);
    assert_eq!(ring.fill(&mut left).unwrap(), 2);
    assert_eq!(out, (0..next).collect::<Vec<u8>>());
    ring.truncate(1);
    assert_eq!((ring.front(), ring.free()), (&[9u8][..], 6));
    ring.push(&[1, 2, 3, 4]);
    ring.remove_range(1, 3);
    out.clear();
    ring.take(7, &mut out);
    assert_eq!(out, [9, 4]);
}

#[test]
fn a_ring_grows_to_its_limit_and_shrinks_once_it_is_empty() {
    let mut ring = Ring::new(64 * 1024);
    let all: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
    assert_eq!(
        (ring.capacity(), ring.free()),
        (Ring::INITIAL_CAPACITY, 64 * 1024)
    );
    let (mut from, mut out) = (&all[..], Vec::new());
    ring.push(&from[..1_500]);
    from = &from[1_500..];
    ring.take(1_000, &mut out); // so that it grows while its bytes wrap around
    while ring.free() > 0 {
        ring.fill(&mut from).unwrap();
    }
    assert_eq!((ring.len(), ring.capacity()), (64 * 1024, 64 * 1024));
    ring.take(usize::MAX, &mut out);
    assert_eq!(out, all[..out.len()]);
    assert_eq!(
        (ring.is_empty(), ring.capacity()),
        (true, Ring::INITIAL_CAPACITY)
    );
}
