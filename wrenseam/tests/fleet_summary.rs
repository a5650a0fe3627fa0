//! Summaries: their bytes, their order, and what they make the mean.
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::summary::{InsertOutcome, Summaries, Summary, SummaryError, SUMMARY_BYTES};

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn of(port: u16, seq: u64, pressure: u32) -> Summary {
    Summary {
        origin: Some(at(port)),
        seq,
        pressure,
        in_flight: 7,
        firsts: 100,
        extras: 9,
        ..Summary::default()
    }
}

#[test]
fn bytes_round_trip() {
    let mut s = of(7000, u64::MAX - 1, 1234);
    s.shed = 5;
    s.healthy = 12;
    s.denied = 3;
    assert_eq!(Summary::decode(&s.encode()), Ok(s));
    let v6 = Summary {
        origin: Some("[::1]:9".parse().expect("v6")),
        ..s
    };
    assert_eq!(Summary::decode(&v6.encode()), Ok(v6));
}

#[rstest]
#[case::short(&[0u8; 10][..], SummaryError::Length(10))]
#[case::long(&[0u8; 70][..], SummaryError::Length(70))]
#[case::not_ours(&[0u8; SUMMARY_BYTES][..], SummaryError::Magic)]
fn garbage_is_refused(#[case] bytes: &[u8], #[case] want: SummaryError) {
    assert_eq!(Summary::decode(bytes), Err(want));
}

#[test]
fn any_flipped_bit_is_caught() {
    let good = of(7000, 3, 500).encode();
    for bit in 16..(SUMMARY_BYTES * 8) {
        let mut bad = good;
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(Summary::decode(&bad).is_err(), "bit {bit}");
    }
}

#[rstest]
#[case::repeat(&[(1, 3), (1, 3)], &[InsertOutcome::Updated, InsertOutcome::Stale])]
#[case::out_of_order(&[(1, 5), (1, 4), (1, 6)], &[InsertOutcome::Updated, InsertOutcome::Stale, InsertOutcome::Updated])]
#[case::ours(&[(0, 1)], &[InsertOutcome::Foreign])]
fn order_and_repeats(#[case] offers: &[(u16, u64)], #[case] want: &[InsertOutcome]) {
    let mut held = Summaries::new(8, 1_000_000);
    let got: Vec<InsertOutcome> = offers
        .iter()
        .map(|&(p, seq)| held.insert(0, at(7000), of(7000 + p, seq, 0)))
        .collect();
    assert_eq!(got, want);
}

#[test]
fn a_liar_moves_the_mean_by_its_share_and_old_news_counts_not() {
    let mut held = Summaries::new(8, 1_000_000);
    for p in 1..=3 {
        held.insert(0, at(7000), of(7000 + p, 1, 2000));
    }
    assert_eq!(held.pressure(0, 2000), 2000);
    held.insert(0, at(7000), of(7004, 1, 0));
    // Five front ends, one says zero: the mean falls by a fifth, no more.
    assert_eq!(held.pressure(0, 2000), 1600);
    assert_eq!(
        held.pressure(2_000_000, 2000),
        2000,
        "only our own is fresh"
    );
}

#[test]
fn room_is_bounded() {
    let mut held = Summaries::new(2, 1_000_000);
    (1..=5).for_each(|p| {
        held.insert(u64::from(p), at(7000), of(7000 + p, 1, 0));
    });
    assert_eq!(held.fresh(5).count(), 2);
}
