//! Client side of a connection whose peer gets more time to acknowledge a long request.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A request of more bytes may fill the receive buffer of a peer that is slow to read.
pub const LONG_REQUEST_BYTES: usize = 32 << 10;

/// How long sent data may stay unacknowledged before the connection fails.
#[derive(Clone, Copy, Debug)]
pub struct AckTimeouts {
    /// While the peer's receive buffer surely has room, so that only its host or the path can be at
    /// fault.
    pub short_request: Duration,
    /// After a long request. A peer whose buffer is full acknowledges nothing until it reads on.
    pub long_request: Duration,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    timeouts: AckTimeouts,
    /// Length of the present request as far as it is written.
    request_bytes: usize,
    /// Whether all of it is written, so that the next write begins another one.
    is_written: bool,
}

impl ClientStream {
    /// Wraps a connection that has the timeout for short requests.
    pub fn new(stream: TcpStream, timeouts: AckTimeouts) -> ClientStream {
        ClientStream { stream, timeouts, request_bytes: 0, is_written: false }
    }

    fn begin_write(&mut self) -> io::Result<()> {
        if !std::mem::take(&mut self.is_written) {
            return Ok(());
        }
        let was_long = self.request_bytes > LONG_REQUEST_BYTES;
        self.request_bytes = 0;
        if was_long { self.set_timeout(self.timeouts.short_request) } else { Ok(()) }
    }

    fn end_write(&mut self, count: usize) -> io::Result<usize> {
        let was_long = self.request_bytes > LONG_REQUEST_BYTES;
        self.request_bytes += count;
        if !was_long && self.request_bytes > LONG_REQUEST_BYTES {
            self.set_timeout(self.timeouts.long_request)?;
        }
        Ok(count)
    }

    fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        Poll::Ready(self.end_write(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        Poll::Ready(self.end_write(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.is_written = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
