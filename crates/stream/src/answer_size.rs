/// What is known of the length of an answer's body before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSize {
    /// The body has this many bytes.
    Declared(u64),
    /// The body comes in chunks, the last of which marks its end.
    Chunked,
    /// The body ends when the server closes the connection, so a truncated body looks complete.
    UntilClose,
}
