//! TCP connections: accepted ones, and ones that notice a peer that has gone silent.

pub mod http;
pub mod text_server;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept: descriptors may be short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Hands out each connection that comes, for as long as the process lives.
pub async fn for_each_connection(listener: TcpListener, handle: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(error) => {
                log::warn!("event=accept_failed reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Opens a connection within `timeout`. It fails once bytes stay unacknowledged for
/// `ack_timeout`.
///
/// # Errors
/// Those of the operating system, and `TimedOut`.
pub async fn connect(
    to: SocketAddr,
    timeout: Duration,
    ack_timeout: Duration,
) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(to));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    set_ack_timeout(&stream, ack_timeout)?;
    Ok(stream)
}

/// Whether nothing listens at an address. One that does not answer may still listen.
pub async fn refuses_connections(host: &str, port: u16, timeout: Duration) -> bool {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect((host, port)));
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connecting.await.is_ok_and(|connected| connected.is_err_and(refused))
}

/// Sends small writes at once, and fails once bytes stay unacknowledged for that long.
///
/// # Errors
/// Those of the operating system.
pub fn set_ack_timeout(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ack_timeout))
}
