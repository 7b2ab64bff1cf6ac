use super::*;

const START: Timestamp = Duration::from_secs(1_000);

fn entries(ids: &[&str]) -> Vec<VmEntry> {
    let entry = |id: &&str| VmEntry {
        id: (*id).into(),
        address: "http://127.0.0.1:1".into(),
        zone: "q-a".into(),
        state: VmState::Live,
    };
    ids.iter().map(entry).collect()
}

#[test]
fn has_ended_of_a_vm_that_the_list_does_not_show_yet() {
    let members = Members::new("vm-1".into());
    members.apply_list(&entries(&["vm-1"]), START);
    assert!(!members.has_ended(&"vm-2".into(), 7, START));
    assert!(!members.has_ended(&"vm-2".into(), 7, START + Duration::from_millis(1_900)));
    assert!(members.has_ended(&"vm-2".into(), 7, START + Duration::from_secs(2)));
    members.apply_list(&entries(&["vm-1", "vm-2"]), START + Duration::from_secs(3));
    assert!(!members.has_ended(&"vm-2".into(), 7, START + Duration::from_secs(3)));
}

#[test]
fn has_ended_of_a_vm_that_was_removed_from_the_list() {
    let members = Members::new("vm-1".into());
    members.apply_list(&entries(&["vm-1", "vm-2"]), START);
    assert!(!members.has_ended(&"vm-2".into(), 7, START));
    members.apply_list(&entries(&["vm-1"]), START);
    assert!(members.has_ended(&"vm-2".into(), 7, START));
    members.apply_list(&entries(&["vm-1", "vm-2"]), START);
    assert!(!members.has_ended(&"vm-2".into(), 7, START));
}
