use async_net::TcpStream;
use bay_types::{Incarnation, NodeId};
use bay_wire::{
    ClusterKey, FRAME_HEAD_BYTES, LinkMessage, Opener, Role, Sealer, decode, encode, frame_len,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Sends sealed messages over a TCP connection.
#[derive(Debug)]
pub(crate) struct LinkSender {
    stream: TcpStream,
    sealer: Sealer,
}

/// Receives sealed messages from a TCP connection.
#[derive(Debug)]
pub(crate) struct LinkReceiver {
    stream: TcpStream,
    opener: Opener,
}

/// Splits a connection into its two directions.
pub(crate) fn split(
    stream: TcpStream,
    key: &ClusterKey,
    node: NodeId,
    role: Role,
    incarnation: Incarnation,
) -> (LinkSender, LinkReceiver) {
    let sealer = Sealer::new(key.clone(), node, role, incarnation);
    let sender = LinkSender { stream: stream.clone(), sealer };
    let receiver = LinkReceiver { stream, opener: Opener::new(key.clone()) };
    (sender, receiver)
}

impl LinkSender {
    /// Sends one message; `None` means that the connection is of no more use.
    pub(crate) async fn send(&mut self, message: &LinkMessage) -> Option<()> {
        let sealed = self.sealer.seal(&encode(message).ok()?);
        let head = u32::try_from(sealed.len()).ok()?.to_le_bytes();
        self.stream.write_all(&head).await.ok()?;
        self.stream.write_all(&sealed).await.ok()?;
        self.stream.flush().await.ok()
    }
}

impl LinkReceiver {
    /// Receives one message; `None` means that the connection is of no more use.
    pub(crate) async fn receive(&mut self) -> Option<LinkMessage> {
        let mut head = [0; FRAME_HEAD_BYTES];
        self.stream.read_exact(&mut head).await.ok()?;
        let mut frame = vec![0; frame_len(head).ok()?];
        self.stream.read_exact(&mut frame).await.ok()?;
        let (_, _, payload) = self.opener.open(&frame).ok()?;
        decode(payload).ok()
    }
}
