use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, Item, LinkMessage, Role};

use crate::framed::split;

/// Pause before a lost steward is connected to again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Receives items from one steward for as long as the task lives.
pub(crate) async fn follow_steward<F>(
    steward: SocketAddr,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
    apply: Arc<F>,
) where
    F: Fn(Vec<Item>) + Send + Sync + 'static,
{
    loop {
        if let Ok(stream) = TcpStream::connect(steward).await {
            let (mut sender, mut receiver) = split(stream, &key, node, Role::Gate, incarnation);
            let hello = LinkMessage::Hello { node, role: Role::Gate, have: Vec::new() };
            if sender.send(&hello).await.is_some() {
                while let Some(message) = receiver.receive().await {
                    if let LinkMessage::Items(items) = message {
                        apply(items);
                    }
                }
            }
        }
        Timer::after(RECONNECT_PAUSE).await;
    }
}
