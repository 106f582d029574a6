use std::time::Duration;

/// Behaviour of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Whether the target serves only slices that orders have granted.
    pub is_owner: bool,
    /// Whether the target rejects stale orders and checks fencing tokens.
    pub fenced: bool,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Service time of a request.
    pub service_time: Duration,
    /// Slow phase after each start and restart, if any.
    pub cold_start: Option<ColdStart>,
    /// Content of the load reports in responses.
    pub load_reporting: LoadReporting,
    /// Fault of each response, unless the request's `fake-fault` header names another.
    pub fault: Option<ResponseFault>,
    /// Text in the path of a request that crashes the target.
    pub crash_on: Option<String>,
    /// Whether a crash ends the whole process instead of the target alone.
    pub crash_exits: bool,
    /// Pause before a crashed target restarts; `None` leaves it down.
    pub restart_after: Option<Duration>,
    /// One freeze after the start of the target, if any.
    pub freeze: Option<Freeze>,
    /// Whether the target abandons a request whose deadline passes or whose connection closes.
    pub honours_deadlines: bool,
}

/// A period after a start in which a target has its own number of slots and works more slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time from the start of the target to full speed.
    pub duration: Duration,
    /// Requests that the target runs at once during the cold start.
    pub slots: u32,
    /// Whether refusals name the cold start as the reason instead of shedding.
    pub is_announced: bool,
    /// Factor on the service time.
    pub slowdown: u32,
    /// Concurrent requests, the newest included, at which the target crashes.
    pub crash_threshold: Option<u32>,
}

/// A period in which a target does nothing while its host stays up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freeze {
    /// Time from the start of the target to the freeze.
    pub start_after: Duration,
    /// Duration of the freeze.
    pub duration: Duration,
}

/// Content of a target's load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// Current load.
    Accurate,
    /// Load this long ago.
    Delayed(Duration),
    /// Always no load.
    Idle,
    /// No load report.
    Missing,
}

/// Fault of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection closes in the middle of a body of known length.
    Truncated,
    /// The connection closes before the last chunk of a chunked body.
    CutChunks,
    /// A chunk size is not a number.
    BadChunk,
    /// The body is longer than the declared length.
    OverLong,
    /// The response carries the id of another request.
    Crossed,
    /// The response arrives after the deadline.
    Late,
    /// No response arrives, and the connection stays open.
    Silent,
    /// The head and half of the body arrive, and the connection stays open.
    SilentBody,
    /// The response has neither a length nor chunks; the body ends with the connection.
    Lengthless,
    /// The head declares two lengths.
    TwoLengths,
    /// A header value is not ASCII.
    NotAscii,
    /// An interim response precedes the final one.
    Interim,
    /// The connection closes without a response.
    Closed,
}

impl ResponseFault {
    /// Every fault with its name in `--fault` and the `fake-fault` header.
    pub const ALL: [(&'static str, ResponseFault); 13] = [
        ("truncated", ResponseFault::Truncated),
        ("cut-chunks", ResponseFault::CutChunks),
        ("bad-chunk", ResponseFault::BadChunk),
        ("over-long", ResponseFault::OverLong),
        ("crossed", ResponseFault::Crossed),
        ("late", ResponseFault::Late),
        ("silent", ResponseFault::Silent),
        ("silent-body", ResponseFault::SilentBody),
        ("lengthless", ResponseFault::Lengthless),
        ("two-lengths", ResponseFault::TwoLengths),
        ("not-ascii", ResponseFault::NotAscii),
        ("interim", ResponseFault::Interim),
        ("closed", ResponseFault::Closed),
    ];

    /// Parses the name of a fault.
    pub fn parse(text: &str) -> Option<ResponseFault> {
        ResponseFault::ALL.iter().find(|(name, _)| *name == text).map(|(_, fault)| *fault)
    }
}

impl Default for TargetOptions {
    fn default() -> TargetOptions {
        TargetOptions {
            is_owner: false,
            fenced: true,
            slots: 4,
            service_time: Duration::from_millis(5),
            cold_start: None,
            load_reporting: LoadReporting::Accurate,
            fault: None,
            crash_on: None,
            crash_exits: false,
            restart_after: None,
            freeze: None,
            honours_deadlines: true,
        }
    }
}
