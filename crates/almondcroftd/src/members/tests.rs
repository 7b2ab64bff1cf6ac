use super::*;
use almondcroft_proto::vm_list::VmEntry;

const START: Timestamp = Duration::from_secs(1_000);

fn entries(ids: &[&str]) -> VmList {
    let entry = |id: &&str| VmEntry {
        id: (*id).into(),
        address: "http://127.0.0.1:1".into(),
        zone: "q-a".into(),
        state: VmState::Live,
    };
    ids.iter().map(entry).collect::<Vec<_>>().into()
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

/// Guards against a running VM that counts as ended, so that others run its calls again, because its entry is odd.
#[test]
fn has_ended_of_a_vm_whose_entry_is_unreadable() {
    let members = Members::new("vm-1".into());
    members.apply_list(&entries(&["vm-1", "vm-2"]), START);
    let sound = r#"{"id":"vm-1","address":"http://127.0.0.1:1","zone":"q-a","state":"live"}"#;
    for odd in [r#"{"id":"vm-2","state":"asleep"}"#, "[[1e400]]"] {
        let list = VmList::read(format!("[{sound},{odd}]").as_bytes()).unwrap();
        members.apply_list(&list, START);
        assert!(!members.has_ended(&"vm-2".into(), 7, START));
        assert_eq!(
            members.address(&"vm-2".into()).unwrap(),
            "http://127.0.0.1:1"
        );
    }
    let list = VmList::read(format!("[{sound}]").as_bytes()).unwrap();
    members.apply_list(&list, START);
    assert!(members.has_ended(&"vm-2".into(), 7, START));
    let list = VmList::read(format!("[{sound},7]").as_bytes()).unwrap();
    members.apply_list(&list, START);
    assert!(members.has_ended(&"vm-2".into(), 7, START));
}
