use super::*;
use proptest::prelude::*;

#[test]
fn decode_wrong_type() {
    let error = CompletionRequest::decode(br#"{"model":"m","prompt":5}"#, false).unwrap_err();
    assert!(error.message.contains("invalid type"), "{error}");
}

#[test]
fn decode_chat_without_messages() {
    let error = CompletionRequest::decode(br#"{"model":"m"}"#, true).unwrap_err();
    assert_eq!(error.path, "messages");
}

#[test]
fn decode_keeps_other_fields() {
    let json = br#"{"model":"m","prompt":"p","temperature":0.5}"#;
    let request = CompletionRequest::decode(json, false).unwrap();
    assert_eq!(request.rest["temperature"], 0.5);
}

proptest! {
    #[test]
    fn decode_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(CompletionRequest::decode(&bytes, true).is_err());
    }
}
