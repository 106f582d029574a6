use std::time::Duration;

/// How a target behaves.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Whether it owns keys and takes orders.
    pub owner: bool,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// What it can take after each start, if it starts cold.
    pub cold_start: Option<ColdStart>,
    /// What it says of its load.
    pub report: LoadReporting,
    /// What is wrong with its answers, unless a request asks for something else.
    pub fault: Option<AnswerFault>,
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
    pub length: Duration,
    /// Requests that the target runs at once meanwhile.
    pub slots: u32,
    /// Whether its refusals name the reason; otherwise it just sheds.
    pub announced: bool,
    /// How much longer a request takes meanwhile.
    pub slowdown: u32,
    /// Requests at once, refused ones included, under which it crashes.
    pub crashes_at: Option<u32>,
}

/// A time in which a target does nothing while its host stays up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freeze {
    /// When it begins, counted from the target's start.
    pub after: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// The load at the moment.
    True,
    /// The load as it was this long ago.
    Late(Duration),
    /// Always that it is idle.
    Idle,
    /// Nothing.
    Missing,
}

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
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

impl AnswerFault {
    /// Every fault with its name.
    pub const ALL: [(&'static str, AnswerFault); 13] = [
        ("truncated", AnswerFault::Truncated),
        ("cut-chunks", AnswerFault::CutChunks),
        ("bad-chunk", AnswerFault::BadChunk),
        ("over-long", AnswerFault::OverLong),
        ("crossed", AnswerFault::Crossed),
        ("late", AnswerFault::Late),
        ("silent", AnswerFault::Silent),
        ("silent-body", AnswerFault::SilentBody),
        ("lengthless", AnswerFault::Lengthless),
        ("two-lengths", AnswerFault::TwoLengths),
        ("not-ascii", AnswerFault::NotAscii),
        ("interim", AnswerFault::Interim),
        ("closed", AnswerFault::Closed),
    ];

    /// Reads a fault's name.
    pub fn parse(text: &str) -> Option<AnswerFault> {
        AnswerFault::ALL.iter().find(|(name, _)| *name == text).map(|(_, fault)| *fault)
    }
}

impl Default for TargetOptions {
    fn default() -> TargetOptions {
        TargetOptions {
            owner: false,
            fenced: true,
            slots: 4,
            service_time: Duration::from_millis(5),
            cold_start: None,
            report: LoadReporting::True,
            fault: None,
            crash_on: None,
            crash_exits: false,
            restart_after: None,
            freeze: None,
            honours_deadlines: true,
        }
    }
}
