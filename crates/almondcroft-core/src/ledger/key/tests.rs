use super::*;

#[test]
fn hash_key_part_borders() {
    assert_ne!(hash_key("ab", "c", "k"), hash_key("a", "bc", "k"));
}

#[test]
fn key_time_version_seven() {
    let time = key_time("01900000-0000-7000-8000-000000000000");
    assert_eq!(time, Some(Duration::from_millis(0x0190_0000_0000)));
    assert_eq!(key_time("order-17"), None);
}
