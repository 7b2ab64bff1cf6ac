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
