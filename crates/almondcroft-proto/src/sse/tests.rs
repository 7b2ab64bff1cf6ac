use super::*;
use proptest::prelude::*;

#[test]
fn feed_comment_and_crlf() {
    let mut decoder = Decoder::new(100);
    let events = decoder.feed(b": hi\r\ndata: a\r\ndata: b\r\n\r\n").unwrap();
    assert_eq!(events[0].data, "a\nb");
}

#[test]
fn feed_too_long() {
    let mut decoder = Decoder::new(10);
    let error = decoder.feed(b"data: 0123456789").unwrap_err();
    assert_eq!(error, SseError::TooLong { limit: 10 });
}

proptest! {
    #[test]
    fn feed_split_anywhere(
        data in prop::collection::vec("[a-z\n]{0,20}", 1..10),
        size in 1_usize..30,
    ) {
        let sent: Vec<Event> = data
            .into_iter()
            .enumerate()
            .map(|(index, data)| Event { id: Some(index.to_string()), event: None, data })
            .collect();
        let mut bytes = Vec::new();
        for event in &sent {
            event.encode_into(&mut bytes);
        }
        let mut decoder = Decoder::new(10_000);
        let mut received = Vec::new();
        for piece in bytes.chunks(size) {
            received.extend(decoder.feed(piece).unwrap());
        }
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn feed_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..500)) {
        let _ = Decoder::new(100).feed(&bytes);
    }
}
