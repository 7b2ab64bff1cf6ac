use super::*;
use proptest::prelude::*;

fn head(text: &str) -> Result<Option<(RequestHead, usize)>, FrameError> {
    parse_request(text.as_bytes(), 4096)
}

#[test]
fn parse_request_smuggled() {
    for bad in [
        "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: +1\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length:\r\n\r\n",
        "POST /a HTTP/1.0\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
    ] {
        let (head, _) = head(bad).unwrap().unwrap();
        assert_eq!(head.body_kind(), Err(FrameError::Malformed), "{bad}");
    }
    for bad in [
        "POST /a HTTP/1.1\nhost: x\n\n",
        "POST /a HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n",
        "POST /a HTTP/1.1\r\nhost : x\r\n\r\n",
        "\r\nPOST /a HTTP/1.1\r\nhost: x\r\n\r\n",
        "POST http://x/a HTTP/1.1\r\nhost: x\r\n\r\n",
    ] {
        assert_eq!(head(bad), Err(FrameError::Malformed), "{bad}");
    }
}

#[test]
fn parse_request_too_large() {
    let text = format!("GET /{} HTTP/1.1\r\nhost: x\r\n\r\n", "a".repeat(5000));
    assert_eq!(head(&text), Err(FrameError::TooLarge));
}

#[test]
fn parse_response_cut_anywhere() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 1200\r\nTransfer-Encodings: x\r\n\r\n";
    for cut in 0..text.len() {
        assert_eq!(parse_response(&text[..cut], 4096), Ok(None), "after {cut}");
    }
}

#[test]
fn parse_request_cut_anywhere() {
    let text = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\n";
    for cut in 0..text.len() {
        assert_eq!(head(&text[..cut]), Ok(None), "after {cut}");
    }
}

#[test]
fn feed_cut_anywhere() {
    let wire = b"c;a=b\r\n0123456789ab\r\n0d\r\n0123456789abc\r\n0\r\nX-Sum: 25\r\n\r\n";
    for cut in 0..wire.len() {
        let mut body = BodyDecoder::new(BodyKind::Chunked);
        assert_eq!(body.feed(&wire[..cut], &mut Vec::new()), Ok(cut));
        assert!(!body.is_done(), "after {cut}");
    }
}

/// Guards against a status that is taken for an interim response or passed on, though RFC 9110 defines none of its class, and
/// against a change of the protocol that nobody has asked for.
#[test]
fn parse_response_invalid_status() {
    let parse =
        |status: &str| parse_response(format!("HTTP/1.1 {status} X\r\n\r\n").as_bytes(), 99);
    for status in ["000", "001", "099", "101", "600", "700", "999"] {
        assert_eq!(parse(status), Err(FrameError::Malformed), "{status}");
    }
    for status in ["100", "102", "103", "199", "200", "299", "599"] {
        assert!(matches!(parse(status), Ok(Some(_))), "{status}");
    }
}

#[test]
fn body_kind_response() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n";
    let (head, _) = parse_response(text, 4096).unwrap().unwrap();
    assert_eq!(head.body_kind("GET"), Ok(BodyKind::CloseDelimited));
    assert_eq!(head.body_kind("HEAD"), Ok(BodyKind::Length(0)));
}

#[test]
fn feed_bad_chunk() {
    for bad in [
        "g\r\n",
        "-1\r\n",
        "\r\n",
        "1 \r\n",
        "1\n",
        "1\r\nab\r\n",
        "ffffffffffffffff\r\n",
    ] {
        let mut body = BodyDecoder::new(BodyKind::Chunked);
        let result = body.feed(bad.as_bytes(), &mut Vec::new());
        assert_eq!(result, Err(FrameError::Malformed), "{bad:?}");
    }
}

#[test]
fn end_to_end_per_connection() {
    let mut headers = Headers::default();
    headers.push("Connection", b"close, X-Private");
    headers.push("x-private", b"1");
    headers.push("X-Kept", b"2");
    headers.push("Transfer-Encoding", b"chunked");
    let forwarded = headers.end_to_end();
    assert_eq!(forwarded.iter().count(), 1);
    assert_eq!(forwarded.text("x-kept"), Some("2"));
}

#[test]
fn is_inside_event_between_events() {
    let ends = ["", "\n", "\r\n", ": keep-alive\n"];
    let cut = ["data: b", "data: b\n", ": keep", "\ndata: b\n", "\r"];
    for (rest, inside) in ends
        .map(|e| (e, false))
        .into_iter()
        .chain(cut.map(|c| (c, true)))
    {
        let mut splitter = EventSplitter::default();
        splitter
            .push(format!("data: a\n\n{rest}").as_bytes())
            .unwrap();
        assert_eq!(splitter.is_inside_event(), inside, "{rest:?}");
    }
}

#[test]
fn push_partial_event() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(1));
    assert_eq!(splitter.pending(), b"id: 2\nda");
    assert!(splitter.is_inside_event());
}

#[test]
fn push_event_without_end() {
    for endless in [&b"data"[..], b": comment", b"data: a\n"] {
        let mut splitter = EventSplitter::default();
        let pushed = (0..100_000).find_map(|_| splitter.push(endless).err());
        assert_eq!(pushed, Some(FrameError::TooLarge));
        assert!(splitter.pending().len() < 65 * 1024);
    }
}

proptest! {
    #[test]
    fn feed_any_split(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
                      cut in 1usize..17) {
        let mut wire = Vec::new();
        for part in &parts {
            write_chunk(part, &mut wire);
        }
        wire.extend_from_slice(b"0\r\n\r\nnext");
        let mut body = BodyDecoder::new(BodyKind::Chunked);
        let mut out = Vec::new();
        let mut used = 0;
        for piece in wire.chunks(cut) {
            used += body.feed(piece, &mut out).unwrap();
        }
        prop_assert!(body.is_done());
        prop_assert_eq!(out, parts.concat());
        prop_assert_eq!(&wire[used..], b"next");
    }

    #[test]
    fn push_any_split(count in 1u64..12, cut in 1usize..23, crlf in any::<bool>()) {
        let end = if crlf { "\r\n" } else { "\n" };
        let whole: Vec<String> =
            (1..=count).map(|id| format!("id: {id}{end}data: x{id}{end}{end}")).collect();
        let whole = whole.concat();
        let mut splitter = EventSplitter::default();
        let events: Vec<StreamEvent> =
            whole.as_bytes().chunks(cut).flat_map(|piece| splitter.push(piece).unwrap()).collect();
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(bytes, whole.into_bytes());
    }

    #[test]
    fn parse_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(Some((head, used))) = parse_request(&bytes, 4096) {
            prop_assert!(used <= bytes.len());
            let _ = head.body_kind();
        }
        let _ = parse_response(&bytes, 4096);
        let _ = BodyDecoder::new(BodyKind::Chunked).feed(&bytes, &mut Vec::new());
    }
}
