//! The bytes held over all requests against one bound.
use wrenseam::limits::Budget;

#[test]
fn a_budget_refuses_what_it_lacks_and_takes_bytes_back() {
    let budget = Budget::new(10);
    let held = budget.take(8).expect("fits");
    assert!(budget.take(3).is_none());
    let mut held = held;
    assert!(held.grow(2) && !held.grow(1));
    assert_eq!(budget.used(), 10);
    drop(held);
    assert!(budget.take(10).is_some());
}
