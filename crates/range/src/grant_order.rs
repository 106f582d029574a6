use std::time::Duration;

use bay_types::Token;

use crate::KeyRange;

/// Identifies an order within one granter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// An order to a server that owns keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantOrder {
    /// Gives keys to the server, or renews the hold on them.
    Grant {
        /// The keys.
        range: KeyRange,
        /// The fencing token.
        token: Token,
        /// How long the server holds the keys, from the arrival of the order.
        hold: Duration,
        /// What the former owner handed over, if it did.
        handover: Option<String>,
    },
    /// Takes keys from the server once the work on them has ended.
    Release {
        /// The keys.
        range: KeyRange,
        /// The fencing token of the grant.
        token: Token,
    },
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The server holds the keys.
    Granted,
    /// The server holds the keys no longer.
    Released {
        /// Hands the keys' state to the next owner.
        handover: Option<String>,
    },
    /// The server has seen a higher fencing token.
    Outdated,
    /// Another server is at the address, so that the server has ended.
    OtherServer,
    /// The server does not know the order.
    Rejected,
    /// Nothing listens at the server's address.
    NotListening,
    /// No connection could be opened in time; nothing was sent.
    NotSent,
    /// The order was not answered; it may take effect later.
    Unanswered,
}

impl OrderResult {
    /// Whether an order that ended so may still take effect.
    pub fn may_take_effect(&self) -> bool {
        matches!(self, OrderResult::Unanswered)
    }
}
