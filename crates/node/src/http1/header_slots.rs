use httparse::{EMPTY_HEADER, Header};

/// Number of headers for which no memory is allocated.
const INLINE_HEADERS: usize = 100;

/// Minimum length of a header line: a name, a colon and the line break.
const MIN_LINE_BYTES: usize = 4;

/// Room for the headers of a parsed head, however many there are. The length of the head bounds their
/// number.
#[derive(Debug)]
pub(crate) struct HeaderSlots<'a> {
    inline: [Header<'a>; INLINE_HEADERS],
    allocated: Vec<Header<'a>>,
}

impl<'a> HeaderSlots<'a> {
    /// Creates the room for the headers of a raw head.
    pub(crate) fn for_head(head: &[u8]) -> HeaderSlots<'a> {
        let mut lines = head.len() / MIN_LINE_BYTES;
        if lines > INLINE_HEADERS {
            lines = head.iter().filter(|byte| **byte == b'\n').count();
        }
        let allocated = match lines > INLINE_HEADERS {
            true => vec![EMPTY_HEADER; lines],
            false => Vec::new(),
        };
        HeaderSlots { inline: [EMPTY_HEADER; INLINE_HEADERS], allocated }
    }

    /// Returns the slots for the parser.
    pub(crate) fn slots(&mut self) -> &mut [Header<'a>] {
        match self.allocated.is_empty() {
            true => &mut self.inline,
            false => &mut self.allocated,
        }
    }
}
