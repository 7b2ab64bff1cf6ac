use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicUsize;

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

/// A server whose connections serve whole responses first and then, if the path says so, a cut one.
struct CutServer {
    url: String,
    on_kept: Arc<AtomicUsize>,
}

impl CutServer {
    /// Starts a server that breaks off `text` after the number of bytes that the path states.
    fn start(text: &str, reset: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let on_kept = Arc::<AtomicUsize>::default();
        let (text, kept) = (text.to_owned(), Arc::clone(&on_kept));
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (text, kept) = (text.clone(), Arc::clone(&kept));
                std::thread::spawn(move || serve_cut(socket, &text, reset, &kept));
            }
        });
        Self { url, on_kept }
    }

    fn read(
        &self,
        client: &Outbound,
        method: Method,
        path: &str,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let url = format!("{}/{path}", self.url);
        crate::block_on(async {
            let conn = client.call(method, &url, &[], Vec::new(), LIMIT).await?;
            let status = conn.status().map_or(0, |status| status as u16);
            Ok((status, Outbound::read_body(conn, 1000, LIMIT).await?))
        })
    }
}

fn serve_cut(mut socket: TcpStream, text: &str, reset: bool, on_kept: &AtomicUsize) {
    let mut served = 0;
    loop {
        let mut bytes = [0; 4096];
        let count = socket.peek(&mut bytes).unwrap_or(0);
        if count == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&bytes[..count]).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default();
        let cut = path.trim_start_matches('/').parse::<usize>();
        // A socket that is closed with unread bytes resets its connection.
        let unread = usize::from(reset && cut.is_ok());
        socket.read_exact(&mut bytes[..count - unread]).unwrap();
        let Ok(cut) = cut else {
            let whole =
                "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone";
            let _ = socket.write_all(whole.as_bytes());
            served += 1;
            continue;
        };
        on_kept.fetch_add(usize::from(served > 0), Ordering::SeqCst);
        let _ = socket.write_all(&text.as_bytes()[..cut]);
        if reset {
            // A reset discards what has not been read yet.
            std::thread::sleep(Duration::from_millis(4));
        }
        return;
    }
}

const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nServer: desk\r\nContent-Length: 1200\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: desk\r\n\r\n",
    "HTTP/1.1 200 OK\r\nServer: desk\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nServer: desk\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nETag: 7\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nServer: desk\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
];

#[test]
fn call_head_cut_anywhere_is_no_response() {
    for text in HEADS {
        for reset in [false, true] {
            let server = CutServer::start(text, reset);
            let client = Outbound::new();
            for cut in 0..text.len() {
                for method in [Method::Get, Method::Head] {
                    if cut % 2 == 0 {
                        assert!(server.read(&client, Method::Get, "whole").is_ok());
                    }
                    let got = server.read(&client, method, &cut.to_string());
                    assert!(got.is_err(), "{text:?} after {cut}: {got:?}");
                }
            }
            assert!(server.on_kept.load(Ordering::SeqCst) > text.len() / 2);
        }
    }
}

#[test]
fn call_interim_responses_are_not_the_response() {
    for interim in [
        "100 Continue",
        "102 Processing",
        "103 Early Hints",
        "110 Unknown",
    ] {
        let last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        let text = format!("HTTP/1.1 {interim}\r\nLink: </a>\r\nContent-Length: 9\r\n\r\n{last}");
        let server = CutServer::start(&text, false);
        let client = Outbound::new();
        for cut in 0..text.len() {
            let got = server.read(&client, Method::Get, &cut.to_string());
            assert!(got.is_err(), "{interim} after {cut}: {got:?}");
        }
        let got = server.read(&client, Method::Get, &text.len().to_string());
        assert_eq!(got, Ok((200, b"done".to_vec())), "{interim}");
    }
}

#[test]
fn read_body_chunks_and_trailers_cut_anywhere() {
    let chunks =
        "c;a=b\r\n0123456789ab\r\n00d\r\n0123456789abc\r\n0\r\nX-Sum: 25\r\nX-End: 1\r\n\r\n";
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    for reset in [false, true] {
        let server = CutServer::start(&text, reset);
        let client = Outbound::new();
        for cut in text.len() - chunks.len()..text.len() {
            let got = server.read(&client, Method::Get, &cut.to_string());
            assert!(got.is_err(), "after {cut}: {got:?}");
        }
    }
    let server = CutServer::start(&text, false);
    let got = server.read(&Outbound::new(), Method::Get, &text.len().to_string());
    assert_eq!(got, Ok((200, b"0123456789ab0123456789abc".to_vec())));
}

#[test]
fn read_body_with_malformed_framing() {
    for framed in [
        "Content-Length: 4\r\nContent-Length: 9\r\n\r\nhalf",
        "Content-Length: 4x\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
        "Content-Length: +4\r\n\r\nhalf",
        "Content-Length:\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n;\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhalf\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalfxy0\r\n\r\n",
    ] {
        let url = start_server(format!("HTTP/1.1 200 OK\r\n{framed}").into_bytes(), false);
        let got = read(&url, 1000);
        assert!(got.is_err(), "{framed:?}: {got:?}");
    }
}

#[test]
fn call_unknown_status() {
    for status in [210, 299, 418, 599, 999] {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\ndone");
        let server = CutServer::start(&head, false);
        let client = Outbound::new();
        let path = head.len().to_string();
        let got = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            server.read(&client, Method::Get, &path)
        }));
        assert!(got.is_ok(), "{status} panics");
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
