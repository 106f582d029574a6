use async_net::TcpStream;
use bay_wire::{
    AcceptedLink, ClusterKey, FRAME_HEADER_BYTES, LinkIdentity, LinkInitiator, LinkMessage,
    LinkOpener, LinkSealer, MAX_HANDSHAKE_BYTES, NONCE_BYTES, SecuredLink, decode, encode,
    frame_len_within,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Sends sealed messages over a TCP connection.
#[derive(Debug)]
pub(crate) struct LinkSender {
    stream: TcpStream,
    sealer: LinkSealer,
}

/// Receives sealed messages from a TCP connection.
#[derive(Debug)]
pub(crate) struct LinkReceiver {
    stream: TcpStream,
    opener: LinkOpener,
}

/// Runs the initiator's side of the handshake on a new connection; `None` means that it failed.
pub(crate) async fn initiate(
    mut stream: TcpStream,
    key: &ClusterKey,
    identity: LinkIdentity,
) -> Option<(LinkSender, LinkReceiver)> {
    let initiator = LinkInitiator::new(key.clone(), identity, nonce());
    write_frame(&mut stream, initiator.hello()).await?;
    let challenge = read_frame(&mut stream, MAX_HANDSHAKE_BYTES).await?;
    let link = initiator.finish(&challenge).ok()?;
    Some(split_link(stream, link))
}

/// Runs the acceptor's side of the handshake on a new connection; `None` means that it failed.
pub(crate) async fn accept(
    mut stream: TcpStream,
    key: &ClusterKey,
    identity: LinkIdentity,
) -> Option<(LinkSender, LinkReceiver)> {
    let hello = read_frame(&mut stream, MAX_HANDSHAKE_BYTES).await?;
    let accepted = AcceptedLink::new(key, identity, nonce(), &hello).ok()?;
    write_frame(&mut stream, &accepted.challenge).await?;
    Some(split_link(stream, accepted.link))
}

fn split_link(stream: TcpStream, link: SecuredLink) -> (LinkSender, LinkReceiver) {
    let sender = LinkSender { stream: stream.clone(), sealer: link.sealer };
    (sender, LinkReceiver { stream, opener: link.opener })
}

fn nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}

impl LinkSender {
    /// Sends one message; `None` means that the connection is no longer usable.
    pub(crate) async fn send(&mut self, message: &LinkMessage) -> Option<()> {
        let sealed = self.sealer.seal(encode(message).ok()?);
        write_frame(&mut self.stream, &sealed).await
    }
}

impl LinkReceiver {
    /// Receives one message; `None` means that the connection is no longer usable.
    pub(crate) async fn receive(&mut self) -> Option<LinkMessage> {
        let frame = read_frame(&mut self.stream, self.opener.max_frame_bytes()).await?;
        decode(self.opener.open(&frame).ok()?).ok()
    }
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> Option<()> {
    let head = u32::try_from(frame.len()).ok()?.to_le_bytes();
    stream.write_all(&head).await.ok()?;
    stream.write_all(frame).await.ok()?;
    stream.flush().await.ok()
}

async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> Option<Vec<u8>> {
    let mut head = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut head).await.ok()?;
    let mut frame = vec![0; frame_len_within(head, max_bytes).ok()?];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}
