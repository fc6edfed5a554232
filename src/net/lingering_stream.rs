//! Server side of a connection that is closed with a lingering close.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long a closed connection waits for the peer to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the reads whose bytes are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A connection whose shutdown first ends the sending side, then reads and discards what the peer
/// still sends.
///
/// Closing a socket with unread bytes resets the connection, and the peer may then lose the end of
/// the last response. Bytes remain unread if a request is answered before its body is complete, or
/// if further requests are pipelined behind the last one that is served.
#[derive(Debug)]
pub struct LingeringStream {
    stream: TcpStream,
    /// Ends the wait for the peer; `None` until the sending side is closed.
    timeout: Option<Pin<Box<Sleep>>>,
    /// Whether the connection is reset if it is dropped without a shutdown.
    resets_on_drop: Arc<AtomicBool>,
    /// Number of bytes received until the shutdown.
    received_bytes: Arc<AtomicU64>,
}

impl LingeringStream {
    pub fn new(stream: TcpStream) -> LingeringStream {
        LingeringStream {
            stream,
            timeout: None,
            resets_on_drop: Arc::default(),
            received_bytes: Arc::default(),
        }
    }

    /// The number of bytes received until the shutdown, which goes on counting.
    pub fn received_bytes(&self) -> Arc<AtomicU64> {
        self.received_bytes.clone()
    }

    /// The flag that makes the connection end with a reset if it is dropped without a shutdown. To be
    /// set while a response is sent whose end the peer only knows by the close of the connection.
    pub fn resets_on_drop(&self) -> Arc<AtomicBool> {
        self.resets_on_drop.clone()
    }

    /// Discards received bytes until the peer closes its side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let result = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if result.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for LingeringStream {
    fn drop(&mut self) {
        let is_shut_down = self.timeout.is_some();
        if is_shut_down || !self.resets_on_drop.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("event=connection_not_reset reason={:?}", error.to_string());
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let received = buffer.filled().len() - before;
        self.received_bytes.fetch_add(received as u64, Ordering::Relaxed);
        Poll::Ready(result)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.timeout.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        let timeout =
            self.timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        if timeout.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(context).map(Ok)
    }
}
