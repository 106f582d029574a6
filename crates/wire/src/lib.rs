//! Messages between processes, their framing and their authentication.
//!
//! Messages are encoded with `postcard`, which identifies fields and enum variants by position.
//! Orders to servers and the cluster status are JSON.

mod auth;
mod frame;
mod handshake;
mod item;
mod link;
mod load_message;
mod order;
mod peer_message;
mod rates;
mod routes;
mod seal;
mod status;

pub use auth::{AuthError, ClusterKey};
pub use frame::{
    FRAME_HEADER_BYTES, FrameError, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES, decode, encode, frame_len,
    frame_len_within,
};
pub use handshake::{
    AcceptedLink, LinkIdentity, LinkInitiator, LinkOpener, LinkSealer, MAX_FIRST_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES, NONCE_BYTES, SecuredLink,
};
pub use item::{Item, ItemKey, ItemVersion};
pub use link::{GateAddress, KeyVersion, LinkMessage, NodeVersions, Role};
pub use load_message::{LoadMessage, Loan, LoanId, TargetCondition};
pub use order::{LeaseProof, Order, OrderReply, OrderRole, OrderVerdict, SliceGrant};
pub use peer_message::{ClaimVerdict, PeerMessage, QuarantineNotice, QuarantineUpdate};
pub use rates::{HotKeyRate, ServiceRates};
pub use routes::{HotKey, RouteRow, Routes};
pub use seal::{Opener, Sealer};
pub use status::{
    ClusterStatus, ItemStatus, LaggingItem, LaggingProcess, MemberStatus, TermStatus,
};
