use super::*;
use std::time::Duration;

fn request(id: &str, priority: u8, deadline: u64) -> RouteRequest {
    RouteRequest {
        id: id.into(),
        customer: "quito".into(),
        service: "menus".into(),
        priority,
        worth: 1.0,
        deadline: Duration::from_secs(deadline),
        prompt: 1,
        prefix: None,
        region: "quito".into(),
        max_tokens: None,
        known_length: None,
    }
}

#[test]
fn pop_by_priority_then_deadline() {
    let mut queue = AdmissionQueue::default();
    queue.push(request("late", 1, 9));
    queue.push(request("soon", 1, 5));
    queue.push(request("urgent", 0, 20));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|r| r.id).collect();
    assert_eq!(order, ["urgent", "soon", "late"]);
}
