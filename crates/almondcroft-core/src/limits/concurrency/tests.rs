use super::*;

#[test]
fn acquire_at_limit() {
    let mut limit = Concurrency::default();
    let customer = CustomerId::from("quito");
    assert!(limit.acquire(&customer, 1));
    assert!(!limit.acquire(&customer, 1));
    assert!(limit.acquire(&"cuenca".into(), 1));
    limit.release(&customer);
    assert!(limit.acquire(&customer, 1));
    assert_eq!(limit.total(), 2);
}
