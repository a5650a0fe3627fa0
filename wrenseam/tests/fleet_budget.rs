//! The retry budget, and the estimate of the fleet's size by which its floor is divided.
use rstest::rstest;
use wrenseam::fleet::{BudgetUsage, FleetSize, RetryBudget};
use wrenseam_policy::Micros;

const SECOND: Micros = 1_000_000;

#[rstest]
#[case::no_floor_and_no_first_attempts(0.2, 0.0, 0, 0)]
#[case::a_fifth_of_100_first_attempts(0.2, 0.0, 100, 20)]
#[case::only_the_floor(0.2, 1.0, 0, 10)]
#[case::floor_and_ratio(0.1, 1.0, 50, 15)]
fn extra_attempts_are_limited(
    #[case] ratio: f64,
    #[case] floor: f64,
    #[case] first_attempts: u32,
    #[case] want: u32,
) {
    let mut budget = RetryBudget::new(ratio, floor, 10 * SECOND);
    (0..first_attempts).for_each(|_| budget.record_first_attempt(SECOND));
    let admitted = (0..1000)
        .filter(|_| budget.admit_extra_attempt(SECOND, 1))
        .count() as u32;
    assert_eq!(admitted, want);
    assert_eq!(
        budget.usage(SECOND),
        BudgetUsage {
            first_attempts,
            extra_attempts: want,
            denied: 1000 - want
        }
    );
}

#[rstest]
#[case(1, 30)]
#[case(3, 10)]
#[case(30, 1)]
fn the_floor_is_divided_by_the_fleet_size(#[case] size: usize, #[case] want: usize) {
    let mut budget = RetryBudget::new(0.0, 3.0, 10 * SECOND);
    assert_eq!(
        (0..100)
            .filter(|_| budget.admit_extra_attempt(SECOND, size))
            .count(),
        want
    );
}

#[test]
fn the_window_slides() {
    let mut budget = RetryBudget::new(0.5, 0.0, 10 * SECOND);
    (0..10).for_each(|_| budget.record_first_attempt(0));
    assert_eq!(
        (0..10)
            .filter(|_| budget.admit_extra_attempt(SECOND, 1))
            .count(),
        5
    );
    // After 11 s, the first attempts at time 0 have left the window of 10 s.
    assert!(!budget.admit_extra_attempt(11 * SECOND, 1));
    budget.record_first_attempt(11 * SECOND);
    budget.record_first_attempt(11 * SECOND);
    assert!(budget.admit_extra_attempt(11 * SECOND, 1));
    assert_eq!(
        budget.usage(11 * SECOND),
        BudgetUsage {
            first_attempts: 2,
            extra_attempts: 1,
            denied: 1
        }
    );
}

#[rstest]
#[case::alone_from_the_start(1, &[(0, 0)], 1)]
#[case::grows(1, &[(0, 2), (SECOND, 9)], 10)]
#[case::the_largest_size_is_held_after_contact_is_lost(1, &[(0, 9), (5 * SECOND, 0)], 10)]
#[case::alone_after_the_hold(1, &[(0, 9), (61 * SECOND, 0)], 1)]
#[case::never_below_the_expected_size(3, &[(0, 9), (61 * SECOND, 0)], 3)]
fn size_is_held(#[case] expected: usize, #[case] updates: &[(Micros, usize)], #[case] want: usize) {
    let mut size = FleetSize::new(expected, 60 * SECOND);
    updates
        .iter()
        .for_each(|&(at, peers)| size.update(at, peers));
    assert_eq!(size.estimate(), want);
}
