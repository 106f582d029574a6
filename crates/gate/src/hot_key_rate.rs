use bay_types::KeyHash;

/// A key and how often a gate sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests a second, at most this.
    pub rate: f64,
}
