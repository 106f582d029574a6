//! Messages between the system's processes and their framing.

mod auth;
mod frame;
mod item;
mod link;
mod load_message;
mod order;
mod peer_message;
mod routes;

pub use auth::{AuthError, ClusterKey, Opener, Sealer};
pub use frame::{FRAME_HEAD_BYTES, FrameError, MAX_FRAME_BYTES, decode, encode, frame_len};
pub use item::{Item, ItemKey, ItemVersion};
pub use link::{GateAddress, Interest, LinkMessage, Role};
pub use load_message::LoadMessage;
pub use order::{LeaseProof, Order, OrderReply, OrderRole, OrderVerdict, SliceGrant};
pub use peer_message::PeerMessage;
pub use routes::{HotKey, RouteRow, Routes};
