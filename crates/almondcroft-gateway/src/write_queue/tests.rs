use super::{SlowCallerRegistry, WriteQueue};
use crate::connection::Connection;
use crate::runtime::block_on;
use smol::Async;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// Size of a response, in bytes; larger than the buffers of the operating system.
const RESPONSE: usize = 16 * 1024 * 1024;

/// Opens a connection; its other end is read after a pause, and the thread returns the number of bytes.
fn open(pause: Duration) -> (Connection, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let reader = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    let reader = spawn(move || {
        sleep(pause);
        let mut bytes = Vec::new();
        let _ = (&reader).read_to_end(&mut bytes);
        bytes.len()
    });
    let connection = Connection::accepted(Async::new(accepted).unwrap()).unwrap();
    (connection, reader)
}

/// Guards against pages that are given up at once, as no budget holds what the process has in memory anyway.
#[test]
fn push_to_an_uncounted_queue_waits_for_a_reader_that_pauses() {
    let (connection, reader) = open(Duration::from_millis(600));
    let queue = WriteQueue::uncounted(connection.sender());
    let sent = block_on(queue.drive(async {
        queue.push(vec![0; RESPONSE]).await?;
        queue.flush().await
    }));
    assert!(matches!(sent, Some(Ok(()))), "{sent:?}");
    drop((queue, connection));
    assert_eq!(reader.join().unwrap(), RESPONSE);
}

/// Guards against a response that is cut off because the budget has no room for what is read ahead.
#[test]
fn push_without_room_waits_for_a_reader_that_pauses() {
    let (connection, reader) = open(Duration::from_millis(600));
    let registry = Arc::new(SlowCallerRegistry::new(1024 * 1024));
    let queue = WriteQueue::new(connection.sender(), &registry);
    let sent = block_on(queue.drive(async {
        for _ in 0..16 {
            queue.push(vec![0; RESPONSE / 16]).await?;
        }
        queue.flush().await
    }));
    assert!(matches!(sent, Some(Ok(()))), "{sent:?}");
    drop((queue, connection));
    assert_eq!(reader.join().unwrap(), RESPONSE);
}

/// Guards against a response that keeps its memory after it was given up for others.
#[test]
fn push_of_an_evicted_response_fails_at_once() {
    let registry = Arc::new(SlowCallerRegistry::new(200 * 1024));
    let (first, _unread) = open(Duration::from_secs(5));
    let (second, reader) = open(Duration::from_millis(600));
    let first_queue = WriteQueue::new(first.sender(), &registry);
    let second_queue = WriteQueue::new(second.sender(), &registry);
    let (first_sent, second_sent) = block_on(async {
        let first = first_queue.drive(first_queue.push(vec![0; RESPONSE]));
        let second = second_queue.drive(async {
            // The other response is blocked by then.
            crate::runtime::sleep(Duration::from_millis(50)).await;
            second_queue.push(vec![0; RESPONSE]).await
        });
        futures_lite::future::zip(first, second).await
    });
    assert!(!matches!(first_sent, Some(Ok(()))), "{first_sent:?}");
    assert!(matches!(second_sent, Some(Ok(()))), "{second_sent:?}");
    drop((second_queue, second));
    assert_eq!(reader.join().unwrap(), RESPONSE);
}
