use super::*;

#[test]
fn neighbours_wrap_around() {
    let members: Vec<VmId> = ["a", "b", "c", "d"].map(VmId::from).to_vec();
    assert_eq!(neighbours("c", &members, 2), ["d", "a"]);
    assert_eq!(neighbours("c", &members, 9), ["d", "a", "b"]);
    assert!(neighbours("a", &["a".into()], 2).is_empty());
}
