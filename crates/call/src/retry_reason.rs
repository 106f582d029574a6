use bay_types::ErrorKind;

use crate::{AttemptFailure, Counter, NotRunReason};

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The target reported that it did not run the request.
    NotRun(NotRunReason),
    /// The previous attempt failed.
    Failed(AttemptFailure),
}

impl RetryReason {
    /// Returns the error to answer with if the request cannot be sent again.
    pub fn error_kind(self) -> ErrorKind {
        match self {
            RetryReason::NotRun(NotRunReason::NotOwner) => ErrorKind::NoOwner,
            RetryReason::NotRun(NotRunReason::Shed | NotRunReason::Cold) => {
                ErrorKind::ServiceOverloaded
            }
            RetryReason::NotRun(NotRunReason::Draining) => ErrorKind::NoTarget,
            RetryReason::Failed(AttemptFailure::NotConnected) => ErrorKind::Unreachable,
            RetryReason::Failed(AttemptFailure::Lost | AttemptFailure::Silent) => {
                ErrorKind::ConnectionLost
            }
            RetryReason::Failed(AttemptFailure::BadAnswer) => ErrorKind::BadAnswer,
            RetryReason::Failed(AttemptFailure::Cut) => ErrorKind::AnswerCut,
        }
    }

    /// Returns the counter of retries for this reason.
    pub fn counter(self) -> Counter {
        match self {
            RetryReason::NotRun(NotRunReason::NotOwner) => Counter::RetryNotOwner,
            RetryReason::NotRun(NotRunReason::Shed) => Counter::RetryShed,
            RetryReason::NotRun(NotRunReason::Cold) => Counter::RetryCold,
            RetryReason::NotRun(NotRunReason::Draining) => Counter::RetryDraining,
            RetryReason::Failed(AttemptFailure::NotConnected) => Counter::RetryNotConnected,
            RetryReason::Failed(AttemptFailure::Lost) => Counter::RetryLost,
            RetryReason::Failed(AttemptFailure::Silent) => Counter::RetrySilent,
            RetryReason::Failed(AttemptFailure::BadAnswer) => Counter::RetryBadAnswer,
            RetryReason::Failed(AttemptFailure::Cut) => Counter::RetryCut,
        }
    }
}
