use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Stream that feeds a checked head to the HTTP library.
///
/// The library has no access to the connection, so it cannot read past the head.
#[derive(Debug, Clone)]
pub(crate) struct HeadStream {
    bytes: Arc<[u8]>,
    position: usize,
}

impl HeadStream {
    /// Creates a stream at the start of a head.
    pub(crate) fn new(head: Vec<u8>) -> HeadStream {
        HeadStream { bytes: Arc::from(head), position: 0 }
    }
}

impl AsyncRead for HeadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.bytes[self.position..];
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for HeadStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::Unsupported.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
