use super::{MAX_SILENCE, SocketState, unacknowledged_bytes};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Duration;

const SILENT: SocketState = SocketState {
    state: 1,
    in_flight: 0,
    retransmissions: 0,
    unanswered_probes: 0,
    silence: MAX_SILENCE,
};

#[test]
fn peer_that_owes_nothing_is_not_gone() {
    assert!(!SILENT.is_peer_gone());
    // What was sent just now is not acknowledged yet.
    let sent_now = SocketState {
        in_flight: 1,
        ..SILENT
    };
    assert!(!sent_now.is_peer_gone());
    let probed_now = SocketState {
        unanswered_probes: 1,
        ..SILENT
    };
    assert!(!probed_now.is_peer_gone());
}

#[test]
fn peer_that_leaves_data_or_probes_unanswered_is_gone() {
    let lost_data = SocketState {
        in_flight: 1,
        retransmissions: 3,
        ..SILENT
    };
    assert!(lost_data.is_peer_gone());
    let lost_probes = SocketState {
        unanswered_probes: 3,
        ..SILENT
    };
    assert!(lost_probes.is_peer_gone());
    let acknowledged = Duration::from_millis(2_900);
    assert!(
        !SocketState {
            silence: acknowledged,
            ..lost_data
        }
        .is_peer_gone()
    );
}

/// Guards against a peer with a closed window that is taken for one that is gone.
#[test]
fn peer_with_a_closed_window_is_not_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (_unread, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    while socket.write(&[0; 8 * 1024]).is_ok() {}
    for _ in 0..100 {
        sleep(Duration::from_millis(50));
        let state = SocketState::read(&socket).unwrap();
        assert!(!state.is_peer_gone(), "{state:?}");
        assert!(unacknowledged_bytes(&socket).is_some_and(|bytes| bytes > 0));
    }
}

#[test]
fn closed_connection_sends_its_rest_until_it_is_acknowledged() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (unread, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    while socket.write(&[0; 8 * 1024]).is_ok() {}
    assert!(!SocketState::read(&socket).unwrap().sends_rest());
    socket.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(SocketState::read(&socket).unwrap().sends_rest());
    std::io::copy(&mut &unread, &mut std::io::sink()).unwrap();
    sleep(Duration::from_millis(50));
    assert!(!SocketState::read(&socket).unwrap().sends_rest());
}
