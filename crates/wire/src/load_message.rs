use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A message between gates about the slots of a service's targets.
///
/// Each target has one gate as its home. The home lends the target's slots to other gates for a
/// short time. `asked` is the time at which the borrower sent the request. The home returns it
/// unchanged, and the borrower counts the duration of a loan from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Requests slots from a home.
    Borrow {
        /// Time of the request on the borrower's clock, in nanoseconds.
        asked: u64,
        /// Number of slots requested.
        want: u16,
        /// The target to which the request is restricted, or `None` for any target.
        only: Option<SocketAddr>,
        /// Whether the slots are requested in advance, before a request waits for them. The home
        /// then lends only spare slots.
        ahead: bool,
    },
    /// Answers [`LoadMessage::Borrow`] with as many loans as requested, or fewer, or none.
    Lend {
        /// Time of the request on the borrower's clock, in nanoseconds.
        asked: u64,
        /// The loans, one for each slot.
        loans: Vec<Loan>,
        /// Number of slots that the home can still lend.
        spare: u16,
    },
    /// Lists all loans that a borrower holds from a home.
    ///
    /// The home renews them, adopts those that an earlier home of the target made, and frees
    /// those that the borrower never received because a message was lost.
    Renew {
        /// Time of the request on the borrower's clock, in nanoseconds.
        asked: u64,
        /// A time on the borrower's clock, in nanoseconds. Loans requested earlier that aren't
        /// listed can be freed: the borrower neither holds nor accepts them.
        settled: u64,
        /// All loans that the borrower holds from the home.
        loans: Vec<Loan>,
    },
    /// Answers [`LoadMessage::Renew`].
    Renewed {
        /// Time of the request on the borrower's clock, in nanoseconds.
        asked: u64,
        /// The loans that are extended.
        renewed: Vec<LoanId>,
        /// The loans that the borrower must stop using.
        refused: Vec<LoanId>,
        /// Number of slots that the home can still lend.
        spare: u16,
    },
    /// Returns loans before they expire.
    Return {
        /// The returned loans.
        loans: Vec<Loan>,
    },
    /// Asks a borrower to return its loans of a target as soon as they are idle.
    Recall {
        /// The target whose loans to return.
        target: SocketAddr,
    },
    /// Reports the condition of a target to its home.
    ReportCondition {
        /// The observed target.
        target: SocketAddr,
        /// The condition that the gate observed.
        condition: TargetCondition,
    },
}

/// The right to run one request at a time on a target for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan's number, assigned by the home.
    pub id: LoanId,
    /// The target that runs the requests.
    pub target: SocketAddr,
    /// Number of requests that the target can run at once, by its home's latest estimate.
    pub capacity: u32,
    /// Whether the loan is a trial, which shows if a slow target has recovered.
    pub trial: bool,
}

/// The number of a loan among those of its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanId(pub u32);

/// A condition of a target, as observed by a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetCondition {
    /// The target is in a cold start: it reports one, sheds requests, or lost a connection.
    Cold,
    /// The target's latency is much higher than that of other targets.
    Slow,
    /// The target has answered a trial with normal latency.
    Fast,
}
