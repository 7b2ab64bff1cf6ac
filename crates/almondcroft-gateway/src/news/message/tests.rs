use super::*;
use std::collections::HashMap;

fn news(targets: usize) -> PeerSnapshot {
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
        at: Timestamp::ZERO,
        loads: loads.collect(),
        sends: HashMap::from([("menus".into(), counts)]),
    }
}

fn decode(bytes: &[u8]) -> Option<Message> {
    match Datagram::decode(bytes) {
        Ok(Datagram::News(message)) => Some(message),
        _ => None,
    }
}

#[test]
fn decode_encoded() {
    let message = Message::new(
        "vm-1".into(),
        &news(9),
        vec![(5, 1)],
        vec![("i-1".into(), 7)],
    );
    let decoded = decode(&message.clone().encode(8_192)).unwrap();
    assert_eq!(decoded, message);
    assert_eq!(decoded.into_news(Timestamp::ZERO), news(9));
}

#[test]
fn encode_fits_a_datagram() {
    let message = Message::new("vm-1".into(), &news(740), vec![], vec![]);
    assert!(message.encode(8_192).len() <= 8_192);
}

#[test]
fn decode_rubbish() {
    for bytes in [&b""[..], b"{}", b"\xff\xfe", br#"{"news":{"vm": 1}}"#] {
        assert!(Datagram::decode(bytes).is_err());
    }
}

#[test]
fn into_news_caps_numbers() {
    let bytes = br#"{"news":{"vm":"vm-1","loads":[["i-1",[4294967295,1,2,3,4]]],"sends":[]}}"#;
    let news = decode(bytes).unwrap().into_news(Timestamp::ZERO);
    assert_eq!(news.loads["i-1"].count, MAX_NUMBER);
    assert_eq!(news.loads["i-1"].tokens, 1);
}
