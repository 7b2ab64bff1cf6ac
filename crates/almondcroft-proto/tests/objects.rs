//! Encoding of the stored configuration object.

use almondcroft_proto::object::{ConfigObject, KeyList};
use almondcroft_proto::sheet::parse;
use almondcroft_proto::vm_list::VmList;
use flate2::Compression;
use flate2::write::GzEncoder;
use proptest::prelude::*;

fn object() -> ConfigObject {
    let sheet = include_bytes!("../../../examples/sheets/villacres.csv");
    ConfigObject {
        config: parse(sheet).unwrap(),
        apply_id: "a-1".into(),
        who: "ana".into(),
        at_ms: 7,
        earlier: vec![(1, "a-0".into())],
    }
}

#[test]
fn from_bytes_round_trip() {
    let object = object();
    let bytes = object.to_bytes();
    assert!(bytes.len() < serde_json::to_vec(&object).unwrap().len() / 2);
    assert_eq!(ConfigObject::from_bytes(&bytes).unwrap(), object);
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Guards against one odd element that makes a list unreadable.
#[test]
fn read_lists_with_odd_elements() {
    let deep = nested(100_000);
    for odd in [
        &deep,
        "1e400",
        "NaN",
        "7",
        "null",
        "\"\\ud800\"",
        "{\"id\":7}",
    ] {
        let keys = format!("{{\"x\":{odd},\"keys\":[{odd},\"a\",{odd},\"b\"]}}");
        let (list, unreadable) = KeyList::read(keys.as_bytes()).unwrap();
        assert_eq!((list.keys, unreadable), (vec!["a".into(), "b".into()], 2));
        let sound = "{\"id\":\"vm-1\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"live\"}";
        let list = VmList::read(format!("[{odd},{sound},{odd}]").as_bytes()).unwrap();
        assert_eq!((list.entries.len(), list.unknown), (1, 2));
    }
    for text in [
        "",
        "{",
        "[",
        "[\"a",
        "{\"keys\":7}",
        "7",
        "[1]]",
        &deep[..100_000],
    ] {
        assert_eq!(KeyList::read(text.as_bytes()), None);
    }
}

/// Guards against a stored object that overflows the stack, or the memory.
#[test]
fn from_bytes_odd() {
    use std::io::Write;
    let sound = serde_json::to_string(&object()).unwrap();
    let long = format!("\"{}\"", "x".repeat(20_000_000));
    for text in [
        nested(1_000_000),
        sound.replacen('{', &format!("{{\"config\":{},", nested(1_000_000)), 1),
        sound.replace("\"at_ms\":7", "\"at_ms\":1e400"),
        sound.replace("\"at_ms\":7", "\"at_ms\":-1"),
        sound.replace("\"at_ms\":7", "\"at_ms\":18446744073709551616"),
        sound.replace("\"ana\"", &long),
        "NaN".to_owned(),
    ] {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text.as_bytes()).unwrap();
        let bytes = encoder.finish().unwrap();
        assert!(ConfigObject::from_bytes(&bytes).is_err(), "{text:.60}");
        assert!(ConfigObject::from_bytes(text.as_bytes()).is_err());
    }
}

proptest! {
    #[test]
    fn read_arbitrary_lists(text in prop::collection::vec(any::<u8>(), 0..60),
                            json in "[\\[\\]{}\",:\\\\a1 ]{0,40}") {
        for text in [&text, json.as_bytes()] {
            let _ = KeyList::read(text);
            let _ = VmList::read(text);
        }
    }

    #[test]
    fn from_bytes_corrupted(position in any::<prop::sample::Index>(), mask in 1_u8..=255) {
        let mut bytes = object().to_bytes();
        let position = position.index(bytes.len());
        bytes[position] ^= mask;
        if let Ok(decoded) = ConfigObject::from_bytes(&bytes) {
            // Some bytes of the gzip header and trailer do not affect the content.
            prop_assert_eq!(decoded, object());
        }
    }
}
