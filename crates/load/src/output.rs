use bay_types::NodeId;
use bay_wire::LoadMessage;

/// A message for another gate's pool of the same service, to be sent by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOutput {
    /// The host of the receiving gate.
    pub to: NodeId,
    /// The payload, without addressing.
    pub message: LoadMessage,
}
