use super::*;

#[test]
fn try_take_more_than_saved() {
    let mut budget = RetryBudget::default();
    let taken = (0..100).filter(|_| budget.try_take()).count();
    assert_eq!(taken, 10);
    (0..20).for_each(|_| budget.record_request());
    assert!(budget.try_take());
}
