use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, GateAddress, Item, LinkMessage, Role};

use crate::framed::split;

/// Pause before a lost steward is connected to again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Receives items from one steward for as long as the task lives.
pub(crate) async fn follow_steward<F, G>(
    steward: SocketAddr,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
    apply: Arc<F>,
    take_gates: Arc<G>,
) where
    F: Fn(Vec<Item>) + Send + Sync + 'static,
    G: Fn(Vec<GateAddress>) + Send + Sync + 'static,
{
    loop {
        if let Ok(stream) = TcpStream::connect(steward).await {
            let (mut sender, mut receiver) = split(stream, &key, node, Role::Gate, incarnation);
            let hello = LinkMessage::Hello { node, role: Role::Gate, have: Vec::new() };
            if sender.send(&hello).await.is_some() {
                while let Some(message) = receiver.receive().await {
                    match message {
                        LinkMessage::Items(items) => apply(items),
                        LinkMessage::Gates(gates) => take_gates(gates),
                        _ => {}
                    }
                }
            }
        }
        Timer::after(RECONNECT_PAUSE).await;
    }
}
