use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_types::NodeId;
use bay_wire::{ClusterKey, KeyVersion, LinkIdentity, LinkMessage, Role};
use futures_lite::future;

use crate::sealed_link::{LinkReceiver, LinkSender, initiate};
use crate::timeout::with_timeout;

/// Delay before a reconnect, and maximum time for a TCP connection to open.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Interval between reports of the item versions that the gate has in force.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a link is closed; both sides send a message at least every 2 s.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_secs(6);

/// Gate's side of the links to its stewards.
pub(crate) trait StewardFollower: Send + Sync + 'static {
    /// Returns the versions of the items that the gate has.
    fn known_versions(&self) -> Vec<KeyVersion>;

    /// Handles a message from a steward and returns the reply, if any.
    fn handle_message(&self, message: LinkMessage) -> Option<LinkMessage>;

    /// Returns the messages of the next periodic report.
    fn reports(&self) -> Vec<LinkMessage>;
}

/// Keeps a link to one steward open until the task is dropped.
pub(crate) async fn follow_steward<F>(
    steward: SocketAddr,
    key: ClusterKey,
    identity: LinkIdentity,
    follower: F,
) where
    F: StewardFollower,
{
    loop {
        // The link is reopened whatever ended it.
        let _ = run_connection(steward, &key, identity, &follower).await;
        Timer::after(RECONNECT_DELAY).await;
    }
}

async fn run_connection<F>(
    steward: SocketAddr,
    key: &ClusterKey,
    identity: LinkIdentity,
    follower: &F,
) -> Option<()>
where
    F: StewardFollower,
{
    let stream =
        with_timeout(RECONNECT_DELAY, async { TcpStream::connect(steward).await.ok() }).await?;
    let (mut sender, receiver) =
        with_timeout(LINK_TIMEOUT, initiate(stream, key, identity)).await?;
    sender.send(&hello(identity.node, follower.known_versions())).await?;
    let (tx, rx) = async_channel::unbounded();
    let read_loop = read_messages(receiver, follower, tx);
    let write_loop = write_messages(sender, follower, rx);
    future::or(read_loop, write_loop).await
}

fn hello(node: NodeId, versions: Vec<KeyVersion>) -> LinkMessage {
    LinkMessage::Hello { node, role: Role::Gate, versions }
}

async fn read_messages<F>(
    mut receiver: LinkReceiver,
    follower: &F,
    tx: async_channel::Sender<LinkMessage>,
) -> Option<()>
where
    F: StewardFollower,
{
    loop {
        let message = with_timeout(LINK_TIMEOUT, receiver.receive()).await?;
        if let Some(reply) = follower.handle_message(message) {
            tx.try_send(reply).ok()?;
        }
    }
}

async fn write_messages<F>(
    mut sender: LinkSender,
    follower: &F,
    rx: async_channel::Receiver<LinkMessage>,
) -> Option<()>
where
    F: StewardFollower,
{
    loop {
        let due = async {
            Timer::after(REPORT_INTERVAL).await;
            None
        };
        let reply = async { rx.recv().await.ok() };
        match future::or(reply, due).await {
            Some(reply) => sender.send(&reply).await?,
            None => {
                for report in follower.reports() {
                    sender.send(&report).await?;
                }
            }
        }
    }
}
