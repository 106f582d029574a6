use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Hands a head that was read and checked to the HTTP library.
///
/// The library never gets to the connection itself, so that it cannot read past the head.
#[derive(Debug, Clone)]
pub(crate) struct HeadBytes {
    bytes: Arc<[u8]>,
    at: usize,
}

impl HeadBytes {
    /// A reader at the start of a head.
    pub(crate) fn new(head: Vec<u8>) -> HeadBytes {
        HeadBytes { bytes: Arc::from(head), at: 0 }
    }
}

impl AsyncRead for HeadBytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.bytes[self.at..];
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.at += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for HeadBytes {
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
