use bay_types::Revision;

/// Starts the line that `bayctl show` puts above an object and that an edited file may keep.
const VERSION_MARK: &str = "; version ";
/// Starts the line that tells the writes of operators apart.
const NONCE_MARK: &str = "; write ";

/// Takes the version line off a file; returns it and the rest.
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

/// Puts the version line above an object's text.
pub(crate) fn with_version(revision: Revision, body: &str) -> String {
    format!("{VERSION_MARK}{}\n{}", revision.0, without_nonce(body))
}

/// Puts a write's nonce below an object's text, so that the write is known again.
pub(crate) fn with_nonce(body: &str, nonce: u64) -> String {
    let body = without_nonce(body);
    let gap = if body.is_empty() || body.ends_with('\n') { "" } else { "\n" };
    format!("{body}{gap}{NONCE_MARK}{nonce:016x}\n")
}

/// The text without the nonce of the write that made it.
pub(crate) fn without_nonce(body: &str) -> &str {
    let trimmed = body.trim_end_matches('\n');
    let start = trimmed.rfind('\n').map_or(0, |index| index + 1);
    if trimmed[start..].starts_with(NONCE_MARK) { &body[..start] } else { body }
}
