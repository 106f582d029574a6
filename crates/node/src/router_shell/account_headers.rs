use std::fmt;

use super::request_head::append_header;

/// Header lines of a caller about its client account, with the API key among them.
#[derive(Default)]
pub(crate) struct AccountHeaders(Vec<u8>);

impl AccountHeaders {
    /// Appends a header line with its line break.
    pub(crate) fn append(&mut self, name: &str, value: &[u8]) {
        append_header(&mut self.0, name, value);
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for AccountHeaders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountHeaders(..)")
    }
}
