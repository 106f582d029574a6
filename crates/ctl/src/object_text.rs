use bay_types::Revision;

/// Prefix of the version line. `bayctl show` prints it above an object, and `bayctl apply` reads it
/// from an edited file as the version to replace.
const VERSION_MARK: &str = "; version ";
/// Prefix of the last line of an object, with a nonce that identifies the write.
const NONCE_MARK: &str = "; write ";

/// Splits the version line from a text. Returns the version, if there is one, and the rest.
pub(crate) fn split_version(text: &str) -> (Option<Revision>, &str) {
    let Some(rest) = text.strip_prefix(VERSION_MARK) else {
        return (None, text);
    };
    let (number, body) = rest.split_once('\n').unwrap_or((rest, ""));
    match number.trim().parse() {
        Ok(number) => (Some(Revision(number)), body),
        Err(_) => (None, text),
    }
}

/// Returns an object's text with a version line above it and without the nonce.
pub(crate) fn with_version(revision: Revision, body: &str) -> String {
    format!("{VERSION_MARK}{}\n{}", revision.0, without_nonce(body))
}

/// Returns an object's text with a write's nonce below it. The nonce identifies the write if its
/// reply is lost.
pub(crate) fn with_nonce(body: &str, nonce: u64) -> String {
    let body = without_nonce(body);
    let gap = if body.is_empty() || body.ends_with('\n') { "" } else { "\n" };
    format!("{body}{gap}{NONCE_MARK}{nonce:016x}\n")
}

/// Returns an object's text without its nonce line, if it has one.
pub(crate) fn without_nonce(body: &str) -> &str {
    let trimmed = body.trim_end_matches('\n');
    let start = trimmed.rfind('\n').map_or(0, |index| index + 1);
    if trimmed[start..].starts_with(NONCE_MARK) { &body[..start] } else { body }
}
