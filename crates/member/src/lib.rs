//! Membership between stewards and the spread of versioned items.
//!
//! [`Peers`] puts [`Membership`] and [`Spread`] together: one datagram carries both.

mod adopted_gates;
mod buckets;
mod counts;
mod held_item;
mod member;
mod membership;
mod packet;
mod peers;
mod peers_output;
mod probe;
mod record;
mod rumor_queue;
mod spread;
mod spread_links;
mod survey;
mod watchers;

pub use adopted_gates::AdoptedGates;
pub use counts::PeerCounts;
pub use member::{Member, MemberConfig, MemberState, Seed};
pub use membership::Membership;
pub use peers::Peers;
pub use peers_output::{LinkHandle, PeersOutput};
pub use spread::{Offered, Spread};
pub use watchers::{candidates, is_watcher, watchers};
