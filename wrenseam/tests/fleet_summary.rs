//! Load summaries: their encoding, which of them replaces which, and the mean pressure that they give.
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::summary::{InsertOutcome, Summaries, Summary, SummaryError, SUMMARY_BYTES};

fn origin(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn summary_of(port: u16, seq: u64, pressure: u32) -> Summary {
    Summary {
        origin: Some(origin(port)),
        seq,
        pressure,
        in_flight: 7,
        first_attempts: 100,
        extra_attempts: 9,
        ..Summary::default()
    }
}

#[test]
fn bytes_round_trip() {
    let mut summary = summary_of(7000, u64::MAX - 1, 1234);
    summary.shed = 5;
    summary.healthy = 12;
    summary.denied = 3;
    assert_eq!(Summary::decode(&summary.encode()), Ok(summary));
    let v6 = Summary {
        origin: Some("[::1]:9".parse().expect("v6")),
        ..summary
    };
    assert_eq!(Summary::decode(&v6.encode()), Ok(v6));
}

#[rstest]
#[case::short(&[0u8; 10][..], SummaryError::Length(10))]
#[case::long(&[0u8; 70][..], SummaryError::Length(70))]
#[case::wrong_magic(&[0u8; SUMMARY_BYTES][..], SummaryError::Magic)]
fn invalid_bytes_are_rejected(#[case] bytes: &[u8], #[case] want: SummaryError) {
    assert_eq!(Summary::decode(bytes), Err(want));
}

#[test]
fn any_flipped_bit_is_caught() {
    let good = summary_of(7000, 3, 500).encode();
    for bit in 16..(SUMMARY_BYTES * 8) {
        let mut bad = good;
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(Summary::decode(&bad).is_err(), "bit {bit}");
    }
}

#[rstest]
#[case::duplicate(&[(1, 3), (1, 3)], &[InsertOutcome::Updated, InsertOutcome::Stale])]
#[case::out_of_order(&[(1, 5), (1, 4), (1, 6)], &[InsertOutcome::Updated, InsertOutcome::Stale, InsertOutcome::Updated])]
#[case::own(&[(0, 1)], &[InsertOutcome::Foreign])]
fn only_newer_summaries_are_stored(#[case] inserts: &[(u16, u64)], #[case] want: &[InsertOutcome]) {
    let mut summaries = Summaries::new(8, 1_000_000);
    let outcomes: Vec<InsertOutcome> = inserts
        .iter()
        .map(|&(port, seq)| summaries.insert(0, origin(7000), summary_of(7000 + port, seq, 0)))
        .collect();
    assert_eq!(outcomes, want);
}

#[test]
fn one_wrong_summary_shifts_the_mean_by_its_share_and_stale_ones_do_not_count() {
    let mut summaries = Summaries::new(8, 1_000_000);
    for port in 1..=3 {
        summaries.insert(0, origin(7000), summary_of(7000 + port, 1, 2000));
    }
    assert_eq!(summaries.pressure(0, 2000), 2000);
    summaries.insert(0, origin(7000), summary_of(7004, 1, 0));
    // One of five front ends reports 0: the mean falls by only a fifth.
    assert_eq!(summaries.pressure(0, 2000), 1600);
    assert_eq!(
        summaries.pressure(2_000_000, 2000),
        2000,
        "only this front end's pressure counts once all summaries are stale"
    );
}

#[test]
fn capacity_is_bounded() {
    let mut summaries = Summaries::new(2, 1_000_000);
    (1..=5).for_each(|port| {
        summaries.insert(u64::from(port), origin(7000), summary_of(7000 + port, 1, 0));
    });
    assert_eq!(summaries.fresh(5).count(), 2);
}
