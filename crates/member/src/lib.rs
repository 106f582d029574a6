//! Gossip membership of stewards and replication of versioned items.
//!
//! [`Peers`] combines [`Membership`] and [`ItemTable`]; one datagram carries updates of both.

mod adopted_gates;
mod bucket_hashes;
mod counts;
mod gate_links;
mod held_item;
mod item_table;
mod member;
mod membership;
mod packet;
mod peers;
mod peers_output;
mod probe;
mod record;
mod rumor_queue;
mod survey;
mod watchers;

pub use adopted_gates::AdoptedGates;
pub use counts::PeerCounts;
pub use item_table::{ItemTable, OfferResult};
pub use member::{Member, MemberConfig, MemberState, SeedNode};
pub use membership::Membership;
pub use peers::Peers;
pub use peers_output::{LinkHandle, PeersOutput};
pub use watchers::{candidates, is_watcher, watchers};
