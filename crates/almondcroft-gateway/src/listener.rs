//! Listening sockets.

use crate::connection::Connection;
use crate::runtime::{sleep, spawn};
use async_channel::Receiver;
use futures_lite::future::or;
use smol::Async;
use socket2::{Domain, Protocol, Socket, Type};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Delay after a connection could not be accepted, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens at an address; port 0 selects a free port.
pub(crate) fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Accepts connections until a channel closes; the socket is closed then.
pub(crate) async fn accept_until<F, Served>(
    listener: Async<TcpListener>,
    closed: Receiver<()>,
    serve: F,
) where
    F: Fn(Connection) -> Served,
    Served: Future<Output = ()> + Send + 'static,
{
    let closing = async { while closed.recv().await.is_ok() {} };
    or(closing, accept(listener, serve)).await;
}

/// Accepts connections and serves each in a task of its own.
pub(crate) async fn accept<F, Served>(listener: Async<TcpListener>, serve: F)
where
    F: Fn(Connection) -> Served,
    Served: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(socket, _)| Connection::accepted(socket)) {
            Ok(connection) => spawn(serve(connection)),
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
