//! Identifiers, versions and the error kinds that all crates share.

mod error_kind;
mod key_hash;
mod name;
mod node;
mod outcome;
mod slice;
mod version;

pub use error_kind::ErrorKind;
pub use key_hash::KeyHash;
pub use name::{
    AccountName, CustomerName, HostName, Name, NameError, ServerName, ServiceName, ZoneName,
};
pub use node::{Incarnation, NodeId};
pub use outcome::Outcome;
pub use slice::{SliceId, SliceLayout};
pub use version::{Revision, StoreEra, Term, Token};
