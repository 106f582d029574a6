use std::fmt;

use crate::Outcome;

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal $status:literal $outcome:ident $retry:ident;)*) => {
        /// The kind of an error with which a gate or router answers a request itself.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        /// The properties of each kind, in the order of the kinds.
        const PROPERTIES: &[ErrorProperties] = &[$(ErrorProperties {
            kind: ErrorKind::$kind,
            name: $name,
            counter: concat!("refused.", $name),
            status: $status,
            outcome: Outcome::$outcome,
            retry: RetryHint::$retry,
        },)*];

        impl ErrorKind {
            /// All kinds, in the order of the table in the documentation for callers.
            pub const ALL: [ErrorKind; PROPERTIES.len()] = [$(ErrorKind::$kind,)*];
        }
    };
}

/// The properties of an error kind.
#[derive(Debug)]
struct ErrorProperties {
    kind: ErrorKind,
    name: &'static str,
    counter: &'static str,
    status: u16,
    outcome: Outcome,
    retry: RetryHint,
}

/// Whether an error response has a `Retry-After` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryHint {
    Later,
    Never,
}

error_kinds! {
    /// The request is malformed, or unsafe to forward.
    BadRequest "bad-request" 400 NotRun Never;
    /// The request's head exceeds the size limit.
    HeadTooLarge "head-too-large" 431 NotRun Never;
    /// The request's body exceeds the size limit of the service.
    BodyTooLarge "body-too-large" 413 NotRun Never;
    /// The caller sent its request too slowly.
    SlowCaller "slow-caller" 408 NotRun Never;
    /// The caller has too many open connections.
    TooManyConnections "too-many-connections" 429 NotRun Later;
    /// No service is configured for the request's host name.
    UnknownHost "unknown-host" 421 NotRun Never;
    /// No route matches the request's host name and path.
    NoRoute "no-route" 404 NotRun Never;
    /// The request's method is not one that is forwarded.
    MethodNotAllowed "method-not-allowed" 405 NotRun Never;
    /// The service is keyed, and the request has no key.
    KeyMissing "key-missing" 400 NotRun Never;
    /// The caller's deadline leaves too little time.
    DeadlineTooShort "deadline-too-short" 504 NotRun Never;
    /// The gate has reached its own limits.
    GateOverloaded "gate-overloaded" 503 NotRun Later;
    /// The service's targets are saturated.
    ServiceOverloaded "service-overloaded" 503 NotRun Later;
    /// The customer has exceeded its share while the service is saturated.
    CustomerOverShare "customer-over-share" 429 NotRun Later;
    /// The key currently has no owner.
    NoOwner "no-owner" 503 NotRun Later;
    /// No target of the service currently accepts requests.
    NoTarget "no-target" 503 NotRun Later;
    /// No attempt reached a target before the deadline.
    Unreachable "unreachable" 503 NotRun Later;
    /// A request with the same idempotency key is in flight and may have run.
    DuplicateInFlight "duplicate-in-flight" 409 Unknown Later;
    /// The gates that track claims to the idempotency key did not answer.
    ClaimUnanswered "claim-unanswered" 503 NotRun Later;
    /// Equal requests have crashed the targets that ran them.
    Quarantined "quarantined" 422 NotRun Later;
    /// The gate has no configuration yet or is shutting down.
    NotReady "not-ready" 503 NotRun Later;
    /// The deadline passed after a target may have run the request.
    DeadlineUnknown "deadline-unknown" 504 Unknown Never;
    /// The connection was lost after a target may have run the request.
    ConnectionLost "connection-lost" 502 Unknown Never;
    /// The target's response is malformed or belongs to another request.
    BadAnswer "bad-answer" 502 Unknown Never;
    /// The target's response ended before it was complete.
    AnswerCut "answer-cut" 502 Unknown Never;
    /// The caller's request ended early, after a target may have run it.
    RequestCut "request-cut" 400 Unknown Never;
    /// The request has no API key, or one that no client account holds.
    UnknownApiKey "unknown-api-key" 401 NotRun Never;
    /// The client account has used up its quota.
    QuotaExceeded "quota-exceeded" 429 NotRun Later;
    /// The router cannot prove that the request's API key has not been withdrawn.
    KeysOutdated "keys-outdated" 503 NotRun Later;
}

impl ErrorKind {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        self.properties().status
    }

    /// Returns what the response guarantees about the request's execution.
    pub fn outcome(self) -> Outcome {
        self.properties().outcome
    }

    /// Returns whether the response has a `Retry-After` header.
    pub fn has_retry_after(self) -> bool {
        self.properties().retry == RetryHint::Later
    }

    /// Returns the name in the `Bay-Error` header and in logs.
    pub fn as_str(self) -> &'static str {
        self.properties().name
    }

    /// Returns the name of the counter for responses of this kind.
    pub fn counter(self) -> &'static str {
        self.properties().counter
    }

    fn properties(self) -> &'static ErrorProperties {
        let properties = &PROPERTIES[self as usize];
        debug_assert_eq!(properties.kind, self);
        properties
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
