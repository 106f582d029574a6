use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_types::NodeId;
use bay_wire::{ClusterKey, KeyVersion, LinkIdentity, LinkMessage, Role};
use futures_lite::future;

use crate::framed::{LinkReceiver, LinkSender, initiate};
use crate::within::within;

/// Pause before a lost steward is connected to again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);
/// Time between two reports of what the gate has in force.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Longest silence of a peer whose connection is kept; both sides send a sign of life every 2 s.
pub(crate) const LINK_SILENCE: Duration = Duration::from_secs(6);

/// What a gate does with the messages of its stewards.
pub(crate) trait FollowSteward: Send + Sync + 'static {
    /// The versions that the gate has.
    fn have(&self) -> Vec<KeyVersion>;

    /// Takes a message and returns what to answer.
    fn take(&self, message: LinkMessage) -> Option<LinkMessage>;

    /// What the gate reports from time to time.
    fn reports(&self) -> Vec<LinkMessage>;
}

/// Follows one steward for as long as the task lives.
pub(crate) async fn follow_steward<F>(
    steward: SocketAddr,
    key: ClusterKey,
    identity: LinkIdentity,
    follower: F,
) where
    F: FollowSteward,
{
    loop {
        // A connection that ends, for whatever reason, is opened anew.
        let _ = follow_once(steward, &key, identity, &follower).await;
        Timer::after(RECONNECT_PAUSE).await;
    }
}

async fn follow_once<F>(
    steward: SocketAddr,
    key: &ClusterKey,
    identity: LinkIdentity,
    follower: &F,
) -> Option<()>
where
    F: FollowSteward,
{
    let stream = within(RECONNECT_PAUSE, async { TcpStream::connect(steward).await.ok() }).await?;
    let (mut sender, receiver) = within(LINK_SILENCE, initiate(stream, key, identity)).await?;
    sender.send(&hello(identity.node, follower.have())).await?;
    let (tx, rx) = async_channel::unbounded();
    let reading = read(receiver, follower, tx);
    let writing = write(sender, follower, rx);
    future::or(reading, writing).await
}

fn hello(node: NodeId, versions: Vec<KeyVersion>) -> LinkMessage {
    LinkMessage::Hello { node, role: Role::Gate, versions }
}

async fn read<F>(
    mut receiver: LinkReceiver,
    follower: &F,
    tx: async_channel::Sender<LinkMessage>,
) -> Option<()>
where
    F: FollowSteward,
{
    loop {
        let message = within(LINK_SILENCE, receiver.receive()).await?;
        if let Some(answer) = follower.take(message) {
            tx.try_send(answer).ok()?;
        }
    }
}

async fn write<F>(
    mut sender: LinkSender,
    follower: &F,
    rx: async_channel::Receiver<LinkMessage>,
) -> Option<()>
where
    F: FollowSteward,
{
    loop {
        let due = async {
            Timer::after(REPORT_PERIOD).await;
            None
        };
        let answer = async { rx.recv().await.ok() };
        match future::or(answer, due).await {
            Some(answer) => sender.send(&answer).await?,
            None => {
                for report in follower.reports() {
                    sender.send(&report).await?;
                }
            }
        }
    }
}
