use crate::Document;
use crate::line_scan::KeyValue;

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

    /// Returns the section's name, without brackets.
    pub fn name(self) -> &'a str {
        self.name
    }

    /// Returns whether the section appears in the file.
    pub fn exists(self) -> bool {
        self.document.headers.iter().any(|header| header.name == self.name)
    }

    /// Parses the value of an optional key.
    ///
    /// Returns `None` if the key is absent. If its value is invalid, an error is recorded as well.
    pub fn read_optional<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        let same = |pair: &KeyValue| pair.section == self.name && pair.key == key;
        let index = self.document.pairs.iter().position(same)?;
        self.document.mark_pair_used(index);
        let pair = &self.document.pairs[index];
        match parse(&pair.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                let message = format!("expected {expected}, found `{}`", pair.value);
                self.document.record_error(pair.line, format!("{}.{key}", self.name), message);
                None
            }
        }
    }

    /// Parses the value of a required key.
    ///
    /// Returns `None` and records an error if the key is absent or its value is invalid.
    pub fn read_required<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        if !self.has_key(key) {
            self.record_error("", key, String::from("required key is missing"));
            return None;
        }
        self.read_optional(key, parse)
    }

    /// Returns whether the section contains the key, even if its value is empty.
    pub fn has_key(self, key: &str) -> bool {
        self.document.pairs.iter().any(|pair| pair.section == self.name && pair.key == key)
    }

    /// Records an error about `key` on the line of the key `at`. If the section lacks `at`, the
    /// error is on the line of the section.
    pub fn record_error(self, at: &str, key: &str, message: String) {
        let mut pairs = self.document.pairs.iter();
        let found = pairs.find(|pair| pair.section == self.name && pair.key == at);
        let line = found.map_or(self.line(), |pair| pair.line);
        self.document.record_error(line, format!("{}.{key}", self.name), message);
    }

    /// Records an error about the whole section. Its unread keys don't cause further errors.
    pub(crate) fn reject(self, message: String) {
        self.document.record_error(self.line(), self.name.to_owned(), message);
        self.document.mark_section_used(self.name);
    }

    fn line(self) -> usize {
        let header = self.document.headers.iter().find(|header| header.name == self.name);
        header.map_or(1, |header| header.line)
    }
}
