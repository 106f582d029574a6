use bay_types::ErrorKind;

macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident $name:literal;)*) => {
        /// Something that a gate counts, besides its refusals.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter {
            $($(#[$doc])* $counter,)*
        }

        impl Counter {
            /// Every counter.
            pub const ALL: &[Counter] = &[$(Counter::$counter,)*];

            /// The counter's name.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$counter => $name,)*
                }
            }
        }
    };
}

counters! {
    /// Requests taken.
    Requests "call.begun";
    /// Answers of targets that were passed on whole.
    Completed "outcome.done";
    /// Answers of targets that broke off while they were passed on.
    Aborted "outcome.aborted";
    /// Callers that closed the connection before they had their answer.
    CallerGone "outcome.caller-gone";
    /// Attempts started.
    Attempts "attempt.started";
    /// Attempts cancelled.
    Cancelled "attempt.cancelled";
    /// Events of attempts that had already ended.
    LateEvents "attempt.late-event";
    /// Retries because the server did not own the slice.
    RetryNotOwner "retry.not-owner";
    /// Retries because the target shed the request.
    RetryShed "retry.shed";
    /// Retries because the target was in a cold start.
    RetryCold "retry.cold";
    /// Retries because the target was about to leave.
    RetryDraining "retry.draining";
    /// Retries because no connection was made.
    RetryNotConnected "retry.not-connected";
    /// Retries because the connection was lost.
    RetryLost "retry.lost";
    /// Retries because the connection went silent.
    RetrySilent "retry.silent";
    /// Retries because the answer was malformed or another request's.
    RetryBadAnswer "retry.bad-answer";
    /// Retries because the answer was cut short.
    RetryCut "retry.cut";
    /// Retries that the service's budget did not allow.
    RetryDenied "retry.denied";
    /// Requests sent to a second target while the first was slow.
    Hedges "hedge.started";
    /// Hedges whose answer came first.
    HedgeWins "hedge.won";
    /// Requests that waited for a key's next owner.
    WaitsForOwner "wait.owner";
    /// Requests that waited for room at a target.
    WaitsForTarget "wait.target";
    /// Claims of idempotency keys sent to other gates.
    ClaimsSent "claim.sent";
    /// Fingerprints that came under suspicion of crashing targets.
    Suspected "quarantine.suspected";
    /// Suspected fingerprints that ran to the end.
    Cleared "quarantine.cleared";
    /// Fingerprints quarantined by this gate.
    Quarantined "quarantine.started";
    /// Items dropped because a newer one was in force.
    StaleItems "item.stale";
    /// Items that could not be read.
    InvalidItems "item.invalid";
    /// Datagrams from hosts that are not gates.
    UnknownPeers "peer.unknown";
}

/// The name of a counter: one of the gate's own or one of its refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterName {
    /// A counter of the gate.
    Counter(Counter),
    /// Answers with an error of this kind.
    Refused(ErrorKind),
}

impl CounterName {
    /// The name as sent to the metrics service.
    pub fn as_str(self) -> &'static str {
        match self {
            CounterName::Counter(counter) => counter.as_str(),
            CounterName::Refused(kind) => kind.counter(),
        }
    }
}

/// How often something happened since the counts were last taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// What happened.
    pub name: CounterName,
    /// How often.
    pub count: u64,
}
