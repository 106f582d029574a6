use std::time::Duration;

/// How a target behaves.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Whether it owns keys and takes orders.
    pub is_owner: bool,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// What it can take after each start, if it starts cold.
    pub cold_start: Option<ColdStart>,
    /// What it says of its load.
    pub load_reporting: LoadReporting,
    /// What is wrong with its answers, unless a request asks for something else.
    pub fault: Option<ResponseFault>,
    /// Which requests crash it: those whose path contains this.
    pub crash_on: Option<String>,
    /// Whether a crash ends the process instead of the target alone.
    pub crash_exits: bool,
    /// Time after which a crashed target starts again, if it does.
    pub restart_after: Option<Duration>,
    /// When it freezes, counted from its start, and for how long.
    pub freeze: Option<Freeze>,
    /// Whether it gives up requests whose deadline has passed or whose caller is gone.
    pub honours_deadlines: bool,
}

/// A cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How long it lasts.
    pub duration: Duration,
    /// Requests that the target runs at once meanwhile.
    pub slots: u32,
    /// Whether its refusals name the reason; otherwise it just sheds.
    pub is_announced: bool,
    /// How much longer a request takes meanwhile.
    pub slowdown: u32,
    /// Requests at once, refused ones included, under which it crashes.
    pub crash_threshold: Option<u32>,
}

/// A time in which a target does nothing while its host stays up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freeze {
    /// When it begins, counted from the target's start.
    pub start_after: Duration,
    /// How long it lasts.
    pub duration: Duration,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// The load at the moment.
    Accurate,
    /// The load as it was this long ago.
    Delayed(Duration),
    /// Always that it is idle.
    Idle,
    /// Nothing.
    Missing,
}

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection ends in the middle of the body.
    Truncated,
    /// The connection ends in the middle of a body in chunks.
    CutChunks,
    /// A chunk's size is not a number.
    BadChunk,
    /// More bytes come than the length says.
    OverLong,
    /// The answer is another request's.
    Crossed,
    /// The answer comes after the deadline.
    Late,
    /// No answer comes, and the connection stays open.
    Silent,
    /// The head comes and nothing after it.
    SilentBody,
    /// Neither a length nor chunks tell where the body ends.
    Lengthless,
    /// The head names two lengths.
    TwoLengths,
    /// A header's value is not ASCII.
    NotAscii,
    /// An interim answer comes first.
    Interim,
    /// The connection ends without an answer.
    Closed,
}

impl ResponseFault {
    /// Every fault with its name.
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

    /// Reads a fault's name.
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
