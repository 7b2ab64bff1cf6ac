use super::*;

#[test]
fn ranked_member_lost() {
    let members: Vec<SmolStr> = (0..7).map(|i| format!("vm-{i}").into()).collect();
    for key in 0..100 {
        let order = ranked(&members, key);
        let rest: Vec<SmolStr> = order[1..].to_vec();
        assert_eq!(ranked(&rest, key), rest);
    }
}

#[test]
fn ranked_spread() {
    let members: Vec<SmolStr> = (0..7).map(|i| format!("vm-{i}").into()).collect();
    let owned = (0..7_000).filter(|key| ranked(&members, *key)[0] == "vm-3");
    let count = owned.count();
    assert!((800..1_200).contains(&count), "{count}");
}
