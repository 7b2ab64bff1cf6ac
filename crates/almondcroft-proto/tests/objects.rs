//! Encoding of the stored configuration object.

use almondcroft_proto::object::ConfigObject;
use almondcroft_proto::sheet::parse;
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

proptest! {
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
