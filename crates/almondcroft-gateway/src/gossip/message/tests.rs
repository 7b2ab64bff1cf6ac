use super::*;
use std::collections::HashMap;

fn snapshot(targets: usize) -> PeerSnapshot {
    let load = PeerLoad {
        count: 2,
        tokens: 7_000,
        prefill_tokens: 3_000,
        migration_tokens: 4_000,
        incoming_tokens: 500,
    };
    let loads = (0..targets).map(|number| (format!("i-{number:010}").into(), load));
    let counts = SendCounts {
        requests: 40,
        extra: 3,
    };
    PeerSnapshot {
        zone: "q-a".into(),
        draining_since: None,
        is_cut_off: false,
        at: Timestamp::ZERO,
        loads: loads.collect(),
        sends: HashMap::from([("menus".into(), counts)]),
        spare_sends: Some(HashMap::from([("menus".into(), 4)])),
    }
}

fn decode(bytes: &[u8]) -> Option<SnapshotMessage> {
    match Datagram::decode(bytes) {
        Ok(Datagram::Snapshot(message)) => Some(message),
        _ => None,
    }
}

#[test]
fn decode_encoded() {
    let message = SnapshotMessage::new(
        "vm-1".into(),
        &snapshot(9),
        vec![(5, 1)],
        vec![("i-1".into(), 7)],
    );
    let decoded = decode(&message.clone().encode(8_192)).unwrap();
    assert_eq!(decoded, message);
    assert_eq!(decoded.into_snapshot(Timestamp::ZERO), snapshot(9));
}

#[test]
fn encode_fits_a_datagram() {
    let message = SnapshotMessage::new("vm-1".into(), &snapshot(740), vec![], vec![]);
    assert!(message.encode(8_192).len() <= 8_192);
}

#[test]
fn decode_encoded_digest() {
    let digest = ZoneDigest {
        sums: snapshot(104),
        vm_count: 98,
        candidates: vec!["vm-1".into(), "vm-7".into()],
    };
    let message = DigestMessage::new("vm-1".into(), &digest, vec![(5, 1)]);
    let Ok(Datagram::Digest(decoded)) = Datagram::decode(&message.clone().encode(8_192)) else {
        panic!("no digest");
    };
    assert_eq!(decoded, message);
    assert_eq!(decoded.into_digest(Timestamp::ZERO), digest);
}

#[test]
fn encode_digest_fits_a_datagram() {
    let digest = ZoneDigest {
        sums: snapshot(740),
        ..ZoneDigest::default()
    };
    let message = DigestMessage::new("vm-1".into(), &digest, vec![]);
    assert!(message.encode(8_192).len() <= 8_192);
}

#[test]
fn decode_snapshot_without_zone() {
    // VMs of earlier versions send no zone.
    let bytes = br#"{"news":{"vm":"vm-1","loads":[],"sends":[]}}"#;
    assert_eq!(decode(bytes).unwrap().zone, "");
}

#[test]
fn decode_malformed() {
    for bytes in [
        &b""[..],
        b"{}",
        b"\xff\xfe",
        br#"{"news":{"vm": 1}}"#,
        br#"{"digest":{}}"#,
    ] {
        assert!(Datagram::decode(bytes).is_err());
    }
}

#[test]
fn into_snapshot_caps_numbers() {
    let bytes = br#"{"news":{"vm":"vm-1","loads":[["i-1",[4294967295,1,2,3,4]]],"sends":[]}}"#;
    let snapshot = decode(bytes).unwrap().into_snapshot(Timestamp::ZERO);
    assert_eq!(snapshot.loads["i-1"].count, MAX_LOAD_NUMBER);
    assert_eq!(snapshot.loads["i-1"].tokens, 1);
}

/// Messages of each kind in the forms of the version before (9533721).
const EARLIER_MESSAGES: [&str; 4] = [
    r#"{"news":{"vm":"vm-1","zone":"q-a","loads":[["i-1",[1,3900,3000,0,0]]],"sends":[["menus",4,0]],"config":7,"departures":[["i-2",5]],"crashes":[[9,1]],"parts":[[3,[[7,120]],null,null]],"limits":[["i-1",1,2500,40]]}}"#,
    r#"{"digest":{"sums":{"vm":"vm-1","zone":"q-a","loads":[],"sends":[],"config":0},"vms":9,"candidates":["vm-1"],"forwarded":false}}"#,
    r#"{"question":{"nonce":5,"era":1,"targets":40}}"#,
    r#"{"answer":{"nonce":5,"era":1,"config":[7,120],"targets":{"era":1,"revision":41,"age":9,"present":[{"id":"i-1","service":"menus","address":"127.0.0.1:9","zone":"q-a","region":"q","slots":24,"draining":false,"cold":0,"born":7}],"gone":["i-2"]},"away":false}}"#,
];

/// Guards against VMs that do not understand each other during a rolling update: what the version before writes is
/// read.
#[test]
fn decode_messages_of_the_version_before() {
    for text in EARLIER_MESSAGES {
        assert!(Datagram::decode(text.as_bytes()).is_ok(), "{text}");
    }
    let Ok(Datagram::Query(query)) = Datagram::decode(EARLIER_MESSAGES[2].as_bytes()) else {
        panic!("no query");
    };
    // It reads no pages, so it gets none.
    assert!(!query.paged && query.after.is_none());
}

/// The version before ignores fields that it does not know, so it reads new messages as long as those that it knows
/// keep their names and forms.
#[test]
fn encode_keeps_the_fields_of_the_version_before() {
    for text in EARLIER_MESSAGES {
        let earlier: serde_json::Value = serde_json::from_str(text).unwrap();
        let decoded = Datagram::decode(text.as_bytes()).unwrap();
        let written: serde_json::Value = serde_json::from_slice(&decoded.encode()).unwrap();
        assert_contains(&written, &earlier);
    }
}

/// Guards against loans that VMs of this and of later versions do not understand.
#[test]
fn decode_loans() {
    let texts = [
        r#"{"loan-request":{"nonce":5,"service":"menus","resumption":true}}"#,
        r#"{"loan":{"nonce":5,"granted":true}}"#,
        r#"{"loan-end":{"nonce":5,"used":false}}"#,
    ];
    for text in texts {
        let decoded = Datagram::decode(text.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(decoded.encode()).unwrap(), text);
    }
}

/// Guards against VMs of the version before that are taken for ones with a share of the retry budget.
#[test]
fn into_snapshot_of_the_version_before_lends_nothing() {
    let message = decode(EARLIER_MESSAGES[0].as_bytes()).unwrap();
    assert_eq!(message.into_snapshot(Timestamp::ZERO).spare_sends, None);
}

/// Checks that an object has all fields of another one, with the same values.
fn assert_contains(written: &serde_json::Value, earlier: &serde_json::Value) {
    match earlier.as_object() {
        Some(fields) => {
            for (name, value) in fields {
                assert_contains(&written[name], value);
            }
        }
        None => assert_eq!(written, earlier),
    }
}

/// Guards against removals of entries that VMs of this and of later versions do not understand, and against those that are
/// taken for leave notices by the version before.
#[test]
fn decode_removals() {
    let text = r#"{"news":{"vm":"vm-1","zone":"q-a","loads":[],"sends":[],"config":0,"removals":[["i-2",5,1,40]]}}"#;
    let message = decode(text.as_bytes()).unwrap();
    let removal = EntryRemoval {
        target: "i-2".into(),
        incarnation: 5,
        position: StorePosition {
            era: 1,
            revision: 40,
        },
    };
    assert_eq!(message.entry_removals(), [removal]);
    assert_eq!(message.departures, []);
    let written: serde_json::Value = serde_json::from_slice(&message.encode(1_000)).unwrap();
    assert_eq!(
        written,
        serde_json::from_str::<serde_json::Value>(text).unwrap()
    );
}
