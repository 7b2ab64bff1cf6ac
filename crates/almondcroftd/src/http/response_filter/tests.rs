use super::*;

const HEAD: &[u8] =
    b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";

fn feed(filter: &mut ResponseFilter, bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    filter.feed(bytes, &mut out).unwrap();
    out
}

#[test]
fn feed_second_request_waits_for_its_own_continue() {
    let mut filter = ResponseFilter::new();
    for _ in 0..2 {
        filter.observe_request(HEAD);
        assert_eq!(feed(&mut filter, CONTINUE), CONTINUE);
        filter.observe_request(b"body");
        let response = b"HTTP/1.1 204 No Content\r\n\r\n";
        assert_eq!(feed(&mut filter, response), response);
        assert!(!filter.is_spent());
    }
}

#[test]
fn feed_response_before_the_body_is_sent() {
    let response = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    let mut unasked = ResponseFilter::new();
    unasked.observe_request(HEAD);
    assert_eq!(feed(&mut unasked, response), response);
    assert!(unasked.is_spent());
    let mut early = ResponseFilter::new();
    early.observe_request(HEAD);
    feed(&mut early, &[CONTINUE, response].concat());
    early.observe_request(b"body");
    assert!(early.is_spent());
}

#[test]
fn feed_second_response() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    let mut filter = ResponseFilter::new();
    filter.observe_request(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(
        feed(&mut filter, &[&response[..], response].concat()),
        response
    );
    assert!(filter.is_spent());
}
