use crate::Document;
use crate::line_scan::Pair;

/// One section of a [`Document`].
#[derive(Debug, Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    name: &'a str,
}

impl<'a> Section<'a> {
    pub(crate) fn new(document: &'a Document, name: &'a str) -> Section<'a> {
        Section { document, name }
    }

    /// The section's name.
    pub fn name(self) -> &'a str {
        self.name
    }

    /// Whether the file has the section.
    pub fn exists(self) -> bool {
        self.document.headers.iter().any(|header| header.name == self.name)
    }

    /// Reads a value that may be absent.
    ///
    /// A value that is present but wrong is recorded as a mistake.
    pub fn read_optional<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        let same = |pair: &Pair| pair.section == self.name && pair.key == key;
        let index = self.document.pairs.iter().position(same)?;
        self.document.use_pair(index);
        let pair = &self.document.pairs[index];
        match parse(&pair.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                let message = format!("expected {expected}, found `{}`", pair.value);
                self.document.add(pair.line, format!("{}.{key}", self.name), message);
                None
            }
        }
    }

    /// Reads a value that must be there; a missing one is recorded as a mistake.
    pub fn read_required<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        if !self.has_key(key) {
            self.record_error("", key, String::from("expected a value, found none"));
            return None;
        }
        self.read_optional(key, parse)
    }

    /// Whether the section has this key.
    pub fn has_key(self, key: &str) -> bool {
        self.document.pairs.iter().any(|pair| pair.section == self.name && pair.key == key)
    }

    /// Records a mistake about a key of this section; the line is that of the key `at`, or of the
    /// section.
    pub fn record_error(self, at: &str, key: &str, message: String) {
        let mut pairs = self.document.pairs.iter();
        let found = pairs.find(|pair| pair.section == self.name && pair.key == at);
        let line = found.map_or(self.line(), |pair| pair.line);
        self.document.add(line, format!("{}.{key}", self.name), message);
    }

    /// Records a mistake about this section as a whole and reads no more of it.
    pub(crate) fn reject(self, message: String) {
        self.document.add(self.line(), self.name.to_owned(), message);
        self.document.use_section(self.name);
    }

    fn line(self) -> usize {
        let header = self.document.headers.iter().find(|header| header.name == self.name);
        header.map_or(1, |header| header.line)
    }
}
