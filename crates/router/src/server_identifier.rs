use std::sync::Arc;

use bay_types::ServerName;

/// Identifier of a server as the server has chosen it.
///
/// Routers use the server's name, which is a digest of the identifier where that is no valid name. Only
/// the server itself is told the identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerIdentifier {
    name: ServerName,
    /// The identifier, if it differs from the name.
    text: Option<Arc<str>>,
}

impl ServerIdentifier {
    /// Maximum length, in bytes. A head with it stays below the 8 KB that HTTP servers commonly accept.
    pub const MAX_BYTES: usize = 2 * 1024;

    /// Creates an identifier; `None` if it cannot be the value of a header, or had bytes that are no text,
    /// which have been replaced.
    pub fn new(text: &str) -> Option<ServerIdentifier> {
        let is_too_long = text.len() > ServerIdentifier::MAX_BYTES;
        if is_too_long || !is_header_value(text) || text.contains(char::REPLACEMENT_CHARACTER) {
            return None;
        }
        let name = ServerName::of(text);
        Some(ServerIdentifier { name, text: name.is_digest().then(|| Arc::from(text)) })
    }

    /// Returns the identifier that is the name itself; `None` for the digest of another identifier.
    pub(crate) fn from_name(name: ServerName) -> Option<ServerIdentifier> {
        (!name.is_digest()).then_some(ServerIdentifier { name, text: None })
    }

    /// Returns the name that stands for the identifier.
    pub fn name(&self) -> ServerName {
        self.name
    }

    /// Returns the identifier.
    pub fn as_str(&self) -> &str {
        self.text.as_deref().unwrap_or(self.name.as_str())
    }
}

/// Returns whether a header can have this value: the recipient would drop spaces at its ends.
pub fn is_header_value(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && !text.contains(char::is_control)
}
