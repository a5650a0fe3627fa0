//! The limit on the bytes that all requests reserve together.
use wrenseam::memory_budget::MemoryBudget;

#[test]
fn a_budget_denies_what_does_not_fit_and_regains_dropped_reservations() {
    let budget = MemoryBudget::new(10);
    let mut reservation = budget.reserve(8).expect("fits");
    assert!(budget.reserve(3).is_none());
    assert!(reservation.grow(2) && !reservation.grow(1));
    assert_eq!(budget.reserved(), 10);
    drop(reservation);
    assert!(budget.reserve(10).is_some());
}
