//! Responses of the store that break off within their heads.

use almondcroft_core::ledger::{ObjectStore, StoreError};
use almondcroftd::{HttpStore, block_on, http::Outbound};
use almondctl::{Operator, status};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const FOUND: &str = "HTTP/1.1 200 OK\r\nETag: 7\r\nContent-Length: 1200\r\n\r\n";
const MISSING: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const WRITTEN: &str = "HTTP/1.1 201 Created\r\nETag: 1234\r\nContent-Length: 0\r\n\r\n";

/// Starts a store that sends the same bytes to each call and closes the connection.
fn start_store() -> (String, Arc<Mutex<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let text = Arc::<Mutex<String>>::default();
    let sent = Arc::clone(&text);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            serve(socket, &sent.lock().unwrap().clone());
        }
    });
    (url, text)
}

fn serve(mut socket: TcpStream, text: &str) {
    let mut bytes = [0; 4096];
    let count = socket.read(&mut bytes).unwrap_or(0);
    if String::from_utf8_lossy(&bytes[..count]).contains("100-continue") {
        let _ = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        let _ = socket.read(&mut bytes);
    }
    let _ = socket.write_all(text.as_bytes());
}

#[test]
fn store_head_cut_anywhere_is_no_response() {
    block_on(async {
        let (url, text) = start_store();
        let store = HttpStore::new(&url, Outbound::new());
        for head in [FOUND, MISSING, WRITTEN] {
            for cut in 0..head.len() {
                head[..cut].clone_into(&mut text.lock().unwrap());
                let got = store.get("a").await;
                assert_eq!(
                    got.err(),
                    Some(StoreError::Unknown),
                    "get, {head:?} after {cut}"
                );
                let put = store.put_unconditional("a", vec![1]).await;
                assert_eq!(
                    put.err(),
                    Some(StoreError::Unknown),
                    "put, {head:?} after {cut}"
                );
                let listed = store.list("a").await;
                assert_eq!(
                    listed.err(),
                    Some(StoreError::Unknown),
                    "list, {head:?} after {cut}"
                );
            }
        }
    });
}

#[test]
fn operator_takes_no_cut_head_for_an_empty_store() {
    block_on(async {
        let (url, text) = start_store();
        for cut in 0..MISSING.len() {
            MISSING[..cut].clone_into(&mut text.lock().unwrap());
            let operator = Operator::new(&url, "test");
            assert!(operator.current_config().await.is_err(), "after {cut}");
            assert!(!status(operator.store()).await.store, "after {cut}");
        }
    });
}
