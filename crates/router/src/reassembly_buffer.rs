/// The parts of something that is too large for one datagram.
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
    /// Takes a part; returns all once they are complete. Parts of another version are dropped.
    pub fn insert(&mut self, version: V, index: u16, count: u16, part: T) -> Option<Vec<T>> {
        if self.version != Some(version) || self.parts.len() != usize::from(count) {
            self.version = Some(version);
            self.parts = (0..count).map(|_| None).collect();
        }
        if let Some(place) = self.parts.get_mut(usize::from(index)) {
            *place = Some(part);
        }
        if self.parts.is_empty() || self.parts.iter().any(Option::is_none) {
            return None;
        }
        self.version = None;
        Some(std::mem::take(&mut self.parts).into_iter().flatten().collect())
    }
}
