//! Server side of a connection that is closed with a lingering close.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

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
}

impl LingeringStream {
    pub fn new(stream: TcpStream) -> LingeringStream {
        LingeringStream { stream, timeout: None }
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

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
