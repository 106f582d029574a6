use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A message between gates about the slots of a service's targets.
///
/// Each target has one home among the gates. The home lends the target's slots to gates for a
/// short time. A time named `asked` is a reading of the borrower's clock; the home returns it
/// unchanged, and the borrower counts a loan's term from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Asks a home for slots.
    Borrow {
        /// When the borrower asked, in nanoseconds on its clock.
        asked: u64,
        /// Slots wanted.
        want: u16,
        /// The only target that will do.
        only: Option<SocketAddr>,
        /// Whether no request waits for the slots yet, so that only spare ones are lent.
        ahead: bool,
    },
    /// Lends slots to a borrower; it may hold fewer loans than wanted, or none.
    Lend {
        /// When the borrower asked.
        asked: u64,
        /// The loans, one a slot.
        loans: Vec<Loan>,
        /// Slots that the home has left to lend.
        spare: u16,
    },
    /// Lists all loans that a borrower holds of a home, to renew them, to have those of an
    /// earlier home taken over, and to free those that a lost message left behind.
    Renew {
        /// When the borrower asked, in nanoseconds on its clock.
        asked: u64,
        /// The borrower holds no loan, and takes none any more, that was asked for before this
        /// time and is not listed.
        settled: u64,
        /// The loans.
        loans: Vec<Loan>,
    },
    /// Answers [`LoadMessage::Renew`].
    Renewed {
        /// When the borrower asked.
        asked: u64,
        /// The loans that run for another term.
        renewed: Vec<LoanId>,
        /// The loans that are not to be used again.
        refused: Vec<LoanId>,
        /// Slots that the home has left to lend.
        spare: u16,
    },
    /// Gives loans back before they run out.
    Return {
        /// The loans.
        loans: Vec<Loan>,
    },
    /// Asks a borrower to give back its loans of a target as soon as they are idle.
    Recall {
        /// The target.
        target: SocketAddr,
    },
    /// Tells a target's home what a gate saw of it.
    ReportCondition {
        /// The target.
        target: SocketAddr,
        /// What was seen.
        condition: TargetCondition,
    },
}

/// The right to run one request at a time on a target, for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan's number.
    pub id: LoanId,
    /// The target.
    pub target: SocketAddr,
    /// Requests that the target can take at once, as its home last knew.
    pub capacity: u32,
    /// Whether it is lent to see if a slow target has become fast again.
    pub trial: bool,
}

/// Numbers the loans of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanId(pub u32);

/// What a gate saw of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetCondition {
    /// It is in a cold start, by its own word, by shedding or by a lost connection.
    Cold,
    /// It answers much later than other targets.
    Slow,
    /// It has answered a trial in good time.
    Fast,
}
