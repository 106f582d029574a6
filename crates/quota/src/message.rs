use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::AccountId;

/// A router's use by account, for the granter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Hash of the router's host name.
    pub router: u32,
    /// Identifies the start of the router's process; the totals of an earlier one do not continue.
    pub incarnation: u32,
    /// Term of the granter that the report is for.
    pub term: u64,
    /// Time of the report on the router's own clock, in milliseconds. It tells the order of reports
    /// and the time between two of them, which their arrival does not.
    pub sent_ms: u64,
    /// Accounts whose totals have changed.
    pub entries: Vec<UsageEntry>,
}

/// A router's use of one account.
///
/// Totals instead of differences keep the sum right after a report was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// The account.
    pub account: AccountId,
    /// Requests admitted since the start of the process, less those refunded; wraps around.
    pub admitted: u32,
    /// Requests refused since the start of the process; wraps around.
    pub refused: u32,
    /// Requests admitted within the window.
    pub in_window: u32,
    /// Requests admitted within each part of the window, the earliest first, for a granter that does
    /// not know an earlier total; empty in later reports.
    pub history: Vec<u32>,
}

impl UsageEntry {
    /// Number of parts of the window in [`UsageEntry::history`].
    pub const PARTS: u32 = 10;
}

/// Shares of the accounts that are near their limit, from the granter to every router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaShares {
    /// Term of the granter.
    pub term: u64,
    /// Number of the message within the term.
    pub sequence: u32,
    /// Number of routers among which a router without recent shares divides the limits.
    pub routers: u32,
    /// Milliseconds for which the message is valid; afterwards each router falls back.
    pub valid_ms: u16,
    /// Accounts near their limit; those that are missing may be used freely.
    pub entries: Vec<AccountShare>,
}

impl QuotaShares {
    /// Shortest time to a message that is sent before it is due.
    const MIN_INTERVAL: Duration = Duration::from_millis(100);
    /// Additional time for each account. It keeps urgent messages, with 8 to 11 bytes an account,
    /// below 7.4 KB/s whatever their number.
    const INTERVAL_PER_ENTRY: Duration = Duration::from_micros(1_500);

    /// Returns the time after this message before which no urgent one is sent.
    pub fn min_interval(&self) -> Duration {
        QuotaShares::MIN_INTERVAL + QuotaShares::INTERVAL_PER_ENTRY * self.entries.len() as u32
    }
}

/// Share of an account's requests that every router admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// The account.
    pub account: AccountId,
    /// Admitted share in 1/65,535.
    pub share: u16,
    /// Requests that all routers have admitted within the window, as estimated for the arrival of the
    /// message.
    pub used: u32,
}

impl AccountShare {
    /// Value of [`AccountShare::share`] with which all requests are admitted.
    pub const ALL: u16 = u16::MAX;

    /// Returns the admitted share as a part of 1.
    pub fn part(&self) -> f64 {
        f64::from(self.share) / f64::from(AccountShare::ALL)
    }
}
