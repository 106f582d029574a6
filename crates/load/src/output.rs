use bay_types::NodeId;
use bay_wire::LoadMessage;

/// A message that a pool wants sent to another gate's pool of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOutput {
    /// The other gate's host.
    pub to: NodeId,
    /// The message.
    pub message: LoadMessage,
}
