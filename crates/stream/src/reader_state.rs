use crate::ReaderPace;

/// What is known of the reader of an answer before its first byte is sent.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReaderState {
    /// Pace at which it has read earlier answers on its connection.
    pub pace: ReaderPace,
    /// Whether it gets the answers to earlier requests first, so that a streamed answer would keep
    /// its server waiting.
    pub is_behind_others: bool,
}
