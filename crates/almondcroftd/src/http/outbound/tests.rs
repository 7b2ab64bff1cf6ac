use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that sends bytes to each of its callers and then closes, or resets, the connection.
fn start_server(response: Vec<u8>, reset: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let mut head = [0; 4096];
            let _ = socket.peek(&mut head).unwrap();
            if !reset {
                let _ = socket.read(&mut head).unwrap();
            }
            socket.write_all(&response).unwrap();
            // A socket that is closed with unread bytes resets its connection.
            std::thread::sleep(Duration::from_millis(if reset { 100 } else { 0 }));
        }
    });
    url
}

fn read(url: &str, max_bytes: usize) -> Result<Vec<u8>, CallError> {
    crate::block_on(async {
        let call = Outbound::new();
        let conn = call.call(Method::Get, url, &[], Vec::new(), LIMIT).await?;
        Outbound::read_body(conn, max_bytes, LIMIT).await
    })
}

fn unframed(body: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\n\r\n", body].concat()
}

#[test]
fn read_body_unframed() {
    for body in [
        &b""[..],
        b"{\"ok\":true}",
        b"5\r\nhello\r\n0\r\n\r\n",
        &vec![b'x'; 300_000],
    ] {
        let url = start_server(unframed(body), false);
        assert_eq!(read(&url, 1 << 20).unwrap(), body);
    }
}

#[test]
fn read_body_unframed_and_reset() {
    for body in [&b""[..], b"{\"ok\":true}"] {
        let url = start_server(unframed(body), true);
        assert!(read(&url, 1 << 20).is_err());
    }
}

#[test]
fn read_body_unframed_too_long() {
    let url = start_server(unframed(&[b'x'; 2000]), false);
    assert!(read(&url, 1000).is_err());
}

#[test]
fn read_body_truncated() {
    let head = "HTTP/1.1 200 OK\r\n";
    for framed in [
        "Content-Length: 9\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        let url = start_server(format!("{head}{framed}").into_bytes(), false);
        assert!(read(&url, 1000).is_err(), "{framed}");
    }
}

/// Guards against the address of an odd entry that ends the task which calls it.
#[test]
fn call_of_an_odd_address() {
    let long = format!("http://{}", "x".repeat(1_000_000));
    for url in [
        "",
        "/status",
        "vm-1",
        "http://",
        "http://127.0.0.1:99999/vms",
        "http://127.0.0.1:-1/",
        "http://127.0.0.1:0/",
        "http://[::1/",
        "http://a b/",
        "http://127.0.0.1:1/\r\nx: y",
        "http://\u{0}/",
        "mailto:a@b",
        "https://127.0.0.1:1/",
        "ftp://127.0.0.1:1/",
        &long,
    ] {
        let call = crate::block_on(async {
            let outbound = Outbound::new();
            let call = outbound.call(Method::Get, url, &[], Vec::new(), LIMIT);
            let fresh = outbound.call_fresh(Method::Get, url, &[], Vec::new(), LIMIT);
            (call.await.is_err(), fresh.await.is_err())
        });
        assert_eq!(call, (true, true), "{url:.40}");
    }
}
