/// Received parts of a message that is too large for one datagram.
///
/// Holds the parts of one version at a time.
#[derive(Debug)]
pub struct ReassemblyBuffer<V, T> {
    version: Option<V>,
    parts: Vec<Option<T>>,
}

impl<V, T> Default for ReassemblyBuffer<V, T> {
    fn default() -> ReassemblyBuffer<V, T> {
        ReassemblyBuffer { version: None, parts: Vec::new() }
    }
}

impl<V, T> ReassemblyBuffer<V, T>
where
    V: Copy + PartialEq,
{
    /// Adds a part; returns all parts in order once they are complete.
    ///
    /// Drops the parts of any other version. A part with an index out of range is ignored.
    pub fn insert(&mut self, version: V, index: u16, count: u16, part: T) -> Option<Vec<T>> {
        if self.version != Some(version) || self.parts.len() != usize::from(count) {
            self.version = Some(version);
            self.parts = (0..count).map(|_| None).collect();
        }
        if let Some(missing) = self.parts.get_mut(usize::from(index)) {
            *missing = Some(part);
        }
        if self.parts.is_empty() || self.parts.iter().any(Option::is_none) {
            return None;
        }
        self.version = None;
        Some(std::mem::take(&mut self.parts).into_iter().flatten().collect())
    }
}
