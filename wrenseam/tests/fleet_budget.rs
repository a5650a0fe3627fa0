//! The retry budget and the fleet size that divides its floor.
use rstest::rstest;
use wrenseam::fleet::{BudgetUsage, FleetSize, RetryBudget};
use wrenseam_policy::Micros;

const S: Micros = 1_000_000;

#[rstest]
#[case::no_floor_no_firsts(0.2, 0.0, 0, 0)]
#[case::a_fifth_of_a_hundred(0.2, 0.0, 100, 20)]
#[case::floor_alone_for_one(0.2, 1.0, 0, 10)]
#[case::floor_and_ratio(0.1, 1.0, 50, 15)]
fn extras_stop_at_the_bound(
    #[case] ratio: f64,
    #[case] floor: f64,
    #[case] firsts: u32,
    #[case] want: u32,
) {
    let mut b = RetryBudget::new(ratio, floor, 10 * S);
    (0..firsts).for_each(|_| b.first(S));
    let let_through = (0..1000).filter(|_| b.extra(S, 1)).count() as u32;
    assert_eq!(let_through, want);
    assert_eq!(
        b.usage(S),
        BudgetUsage {
            firsts,
            extras: want,
            denied: 1000 - want
        }
    );
}

#[rstest]
#[case(1, 30)]
#[case(3, 10)]
#[case(30, 1)]
fn the_floor_is_divided_by_the_fleet(#[case] size: usize, #[case] want: usize) {
    let mut b = RetryBudget::new(0.0, 3.0, 10 * S);
    assert_eq!((0..100).filter(|_| b.extra(S, size)).count(), want);
}

#[test]
fn the_window_slides() {
    let mut b = RetryBudget::new(0.5, 0.0, 10 * S);
    (0..10).for_each(|_| b.first(0));
    assert_eq!((0..10).filter(|_| b.extra(S, 1)).count(), 5);
    // Eleven seconds on, the first attempts of the start have left the window.
    assert!(!b.extra(11 * S, 1));
    b.first(11 * S);
    b.first(11 * S);
    assert!(b.extra(11 * S, 1));
    assert_eq!(
        b.usage(11 * S),
        BudgetUsage {
            firsts: 2,
            extras: 1,
            denied: 1
        }
    );
}

#[rstest]
#[case::alone_from_the_start(1, &[(0, 0)], 1)]
#[case::grows(1, &[(0, 2), (S, 9)], 10)]
#[case::cut_off_keeps_its_share_for_the_hold(1, &[(0, 9), (5 * S, 0)], 10)]
#[case::after_the_hold_alone(1, &[(0, 9), (61 * S, 0)], 1)]
#[case::expected_is_the_floor(3, &[(0, 9), (61 * S, 0)], 3)]
fn size_is_held(#[case] expected: usize, #[case] seen: &[(Micros, usize)], #[case] want: usize) {
    let mut size = FleetSize::new(expected, 60 * S);
    seen.iter().for_each(|&(at, alive)| size.seen(at, alive));
    assert_eq!(size.estimate(), want);
}
