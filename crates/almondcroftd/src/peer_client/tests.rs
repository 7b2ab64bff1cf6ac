use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(2);

/// Starts a peer that responds with the first parameter of a call, after its last response on the connection.
fn start_peer() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut earlier = String::new();
                while let Some(call) = read_call(&mut socket) {
                    let result = &call["params"][0];
                    let body = json!({"jsonrpc": "2.0", "id": call["id"], "result": result});
                    let (body, keep) = (body.to_string(), "Connection: keep-alive");
                    let length = body.len();
                    let response = format!(
                        "HTTP/1.1 200 OK\r\n{keep}\r\nContent-Length: {length}\r\n\r\n{body}"
                    );
                    let both = [earlier.as_str(), &response].concat();
                    earlier = response;
                    socket.write_all(both.as_bytes()).unwrap();
                }
            });
        }
    });
    url
}

fn read_call(socket: &mut TcpStream) -> Option<Value> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    if head.contains("expect: 100-continue") {
        let _ = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    let mut body = vec![0; length.parse().unwrap()];
    socket.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Guards against the grant of one claim that is taken for that of another one.
#[test]
fn call_does_not_return_the_result_of_an_earlier_one() {
    let url = start_peer();
    let peers = PeerClient::new(Outbound::new(), &"secret".into());
    let mut results = 0;
    for number in 0..8_u64 {
        let call = peers.call::<u64>(&url, "claim", &number, LIMIT);
        match crate::block_on(call) {
            Ok(result) => {
                assert_eq!(result, number);
                results += 1;
            }
            Err(error) => assert!(matches!(error, PeerError::NoResponse), "{error}"),
        }
    }
    // The connection is closed after a response to another call, so that the next call is sound.
    assert_eq!(results, 4);
}
