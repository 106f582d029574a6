use std::fmt;

/// What a response guarantees about the execution of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No target ran the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// A target ran the request, and the response is complete.
    Done,
}

impl Outcome {
    /// Returns the value of the `Bay-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Done => "done",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
