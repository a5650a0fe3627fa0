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

#[test]
fn a_part_is_limited_by_itself_and_by_the_whole() {
    let whole = MemoryBudget::new(10);
    let part = whole.part(6);
    let mut first = part.reserve(4).expect("free");
    assert!(part.reserve(3).is_none(), "the part has 2 left");
    assert!(first.grow(2));
    assert_eq!((part.reserved(), whole.reserved()), (6, 6));
    let other = whole.part(6);
    assert!(other.reserve(5).is_none(), "the whole has 4 left");
    assert_eq!((other.reserved(), whole.reserved()), (0, 6));
    drop(first);
    assert_eq!((part.reserved(), whole.reserved()), (0, 0));
}
