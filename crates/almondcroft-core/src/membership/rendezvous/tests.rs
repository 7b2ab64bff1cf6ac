use super::*;

#[test]
fn rank_members_one_lost() {
    let members: Vec<SmolStr> = (0..7).map(|i| format!("vm-{i}").into()).collect();
    for key in 0..100 {
        let order = rank_members(&members, key);
        let rest: Vec<SmolStr> = order[1..].to_vec();
        assert_eq!(rank_members(&rest, key), rest);
    }
}

#[test]
fn rank_members_spread() {
    let members: Vec<SmolStr> = (0..7).map(|i| format!("vm-{i}").into()).collect();
    let owned = (0..7_000).filter(|key| rank_members(&members, *key)[0] == "vm-3");
    let count = owned.count();
    assert!((800..1_200).contains(&count), "{count}");
}
