use std::time::Duration;

use bay_types::Token;

use crate::KeyRange;

/// Identifies an order among those of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// An order to a server about keys that it owns or owned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantOrder {
    /// Grants keys to the server, or renews its hold.
    Grant {
        /// The keys to hold.
        range: KeyRange,
        /// Fencing token of the grant; servers refuse tokens below the highest they have seen.
        token: Token,
        /// Duration of the hold, from the arrival of the order.
        hold: Duration,
        /// State that the former owner returned with its release, if any.
        handover: Option<String>,
    },
    /// Makes the server give up keys after it has finished its requests for them.
    Release {
        /// The keys to give up.
        range: KeyRange,
        /// Fencing token of the grant that ends.
        token: Token,
    },
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The server holds the keys.
    Granted,
    /// The server no longer holds the keys.
    Released {
        /// State of the keys for the next owner, if any.
        handover: Option<String>,
    },
    /// The server has seen a higher fencing token.
    Outdated,
    /// Another server answered at the address. The addressed one has ended.
    OtherServer,
    /// The server took the order for a request, as one without ownership of keys does. Another server is
    /// likely at the address, but the addressed one is not known to have ended.
    NotAnOrder,
    /// The server refused the order for another reason.
    Rejected,
    /// Nothing listens at the server's address.
    NotListening,
    /// No connection was opened in time; the order was not sent.
    NotSent,
    /// No usable answer arrived. The order may still take effect.
    Unanswered,
}

impl OrderResult {
    /// Returns whether an order with this result may still take effect.
    pub fn may_take_effect(&self) -> bool {
        matches!(self, OrderResult::Unanswered)
    }
}
