//! The bytes held over all requests against one bound.
use wrenseam::memory_budget::MemoryBudget;

#[test]
fn a_budget_refuses_what_it_lacks_and_takes_bytes_back() {
    let budget = MemoryBudget::new(10);
    let held = budget.reserve(8).expect("fits");
    assert!(budget.reserve(3).is_none());
    let mut held = held;
    assert!(held.grow(2) && !held.grow(1));
    assert_eq!(budget.reserved(), 10);
    drop(held);
    assert!(budget.reserve(10).is_some());
}
