use bay_types::ErrorKind;

macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident $name:literal;)*) => {
        /// A counter of a gate; refusals are counted by error kind instead.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter {
            $($(#[$doc])* $counter,)*
        }

        impl Counter {
            /// Every counter.
            pub const ALL: &[Counter] = &[$(Counter::$counter,)*];

            /// Returns the counter's name in the metrics.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$counter => $name,)*
                }
            }
        }
    };
}

counters! {
    /// Requests received.
    Requests "call.begun";
    /// Answers of targets that were forwarded whole.
    Completed "outcome.done";
    /// Answers of targets that broke off while they were being forwarded.
    Aborted "outcome.aborted";
    /// Callers that closed the connection before the whole answer was forwarded.
    CallerGone "outcome.caller-gone";
    /// Attempts started.
    Attempts "attempt.started";
    /// Attempts cancelled.
    Cancelled "attempt.cancelled";
    /// Events that were ignored, as their attempt or request had ended or another answer was being
    /// forwarded.
    LateEvents "attempt.late-event";
    /// Retries because the server did not own the slice.
    RetryNotOwner "retry.not-owner";
    /// Retries because the target shed the request.
    RetryShed "retry.shed";
    /// Retries because the target was in a cold start.
    RetryCold "retry.cold";
    /// Retries because the target was draining.
    RetryDraining "retry.draining";
    /// Retries because the request could not be sent.
    RetryNotConnected "retry.not-connected";
    /// Retries because the connection was lost.
    RetryLost "retry.lost";
    /// Retries because the connection timed out.
    RetrySilent "retry.silent";
    /// Retries because the answer was malformed or belonged to another request.
    RetryBadAnswer "retry.bad-answer";
    /// Retries because the answer was cut short.
    RetryCut "retry.cut";
    /// Retries denied by the service's retry budget.
    RetryDenied "retry.denied";
    /// Hedges: second attempts started while the first was slow.
    Hedges "hedge.started";
    /// Hedges whose answer arrived first.
    HedgeWins "hedge.won";
    /// Waits of requests for an owner of their key.
    WaitsForOwner "wait.owner";
    /// Waits of requests for a free target or for the delay before a retry.
    WaitsForTarget "wait.target";
    /// Claims of idempotency keys sent to other gates.
    ClaimsSent "claim.sent";
    /// Fingerprints newly suspected of crashing targets.
    Suspected "quarantine.suspected";
    /// Suspected fingerprints cleared by a run that completed.
    Cleared "quarantine.cleared";
    /// Fingerprints quarantined by this gate.
    Quarantined "quarantine.started";
    /// Items dropped because the same version or a later one was in force.
    StaleItems "item.stale";
    /// Items that were invalid, or early routes for which there was no room.
    InvalidItems "item.invalid";
    /// Datagrams from hosts that are not known as other gates.
    UnknownPeers "peer.unknown";
}

/// Name of a counter: an event counter or the counter of one kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterName {
    /// An event counter.
    Counter(Counter),
    /// Answers with an error of this kind.
    Refused(ErrorKind),
}

impl CounterName {
    /// Returns the name as sent to the metrics service.
    pub fn as_str(self) -> &'static str {
        match self {
            CounterName::Counter(counter) => counter.as_str(),
            CounterName::Refused(kind) => kind.counter(),
        }
    }
}

/// A counter's increase since the counts were last drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// The counter.
    pub name: CounterName,
    /// The increase.
    pub count: u64,
}
