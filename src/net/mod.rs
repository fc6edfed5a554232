//! TCP connections with a timeout for unacknowledged data.

pub mod body_memory;
pub mod client_stream;
pub mod http;
pub mod lingering_stream;
pub mod request_body;
pub mod response_head;
pub mod text_server;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval of keep-alive probes; the shortest that the operating system takes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections and passes each to `handle`. Never returns.
pub async fn for_each_connection(listener: TcpListener, handle: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(error) => pause_after_failed_accept(&error).await,
        }
    }
}

/// Logs a failure to accept a connection, and waits before the next try.
pub async fn pause_after_failed_accept(error: &io::Error) {
    log::warn!("event=accept_failed reason={:?}", error.to_string());
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Opens a connection within `timeout`, and sets its `ack_timeout`.
///
/// # Errors
/// `TimedOut`, and errors of the operating system.
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

/// Whether a connection could not be opened since this process or its host lacks descriptors, memory or local
/// ports, which tells nothing of the peer and the path to it.
pub fn lacks_local_resources(error: &io::Error) -> bool {
    let lacking = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|errno| lacking.contains(&errno))
}

/// Whether a connection could not be opened since this process or its host has no descriptor left.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| [Errno::MFILE, Errno::NFILE].contains(&errno))
}

/// Whether an address actively refuses connections. Returns false if there is no response.
pub async fn refuses_connections(host: &str, port: u16, timeout: Duration) -> bool {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect((host, port)));
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connecting.await.is_ok_and(|connected| connected.is_err_and(refused))
}

/// Disables Nagle's algorithm, and makes the connection fail once sent data stays unacknowledged for
/// `ack_timeout`.
///
/// # Errors
/// Errors of the operating system.
pub fn set_ack_timeout(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ack_timeout))
}

/// Makes an idle connection fail once its peer has been out of reach for its `ack_timeout`, which decides how many
/// probes may stay unanswered.
///
/// # Errors
/// Errors of the operating system.
pub fn set_keep_alive(stream: &TcpStream) -> io::Result<()> {
    let probes =
        TcpKeepalive::new().with_time(KEEP_ALIVE_INTERVAL).with_interval(KEEP_ALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}
