use super::*;
use proptest::prelude::*;

fn view(list: Option<bool>, body: &[u8]) -> ConfigView {
    let head = ViewHead {
        era: 1,
        revision: 7,
        age: 30,
        list,
    };
    ConfigView {
        head,
        body: Arc::new(body.to_vec()),
    }
}

#[test]
fn decode_encoded() {
    for sent in [view(Some(true), b"{\"items\":\n[]}"), view(None, b"")] {
        let bytes = sent.encode().unwrap();
        assert_eq!(ConfigView::decode(&bytes).unwrap(), sent);
    }
}

#[test]
fn decode_malformed() {
    for bytes in [&b""[..], b"\n{}", b"{}\n", b"{\"revision\":7,\"age\":"] {
        assert!(ConfigView::decode(bytes).is_err(), "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = ConfigView::decode(&bytes);
    }
}
