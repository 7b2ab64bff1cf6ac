use super::*;

#[test]
fn try_acquire_at_limit() {
    let mut limiter = ConcurrencyLimiter::default();
    let customer = CustomerId::from("quito");
    assert!(limiter.try_acquire(&customer, 1));
    assert!(!limiter.try_acquire(&customer, 1));
    assert!(limiter.try_acquire(&"cuenca".into(), 1));
    limiter.release(&customer);
    assert!(limiter.try_acquire(&customer, 1));
    assert_eq!(limiter.in_flight(), 2);
}
