use super::*;

#[test]
fn take_more_than_saved() {
    let mut budget = RetryBudget::default();
    let taken = (0..100).filter(|_| budget.take()).count();
    assert_eq!(taken, 10);
    (0..20).for_each(|_| budget.note_request());
    assert!(budget.take());
}
