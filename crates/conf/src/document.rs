use std::cell::RefCell;

use ini::{Ini, ParseOption};

use crate::line_scan::{KeyValue, LineScan, SectionHeader};
use crate::{ConfigError, ConfigErrors, Section};

/// A parsed INI file that collects the errors found while its sections are read.
#[derive(Debug)]
pub struct Document {
    file: String,
    pub(crate) headers: Vec<SectionHeader>,
    pub(crate) pairs: Vec<KeyValue>,
    /// Names of the sections that the caller has asked for.
    known_sections: RefCell<Vec<String>>,
    /// For each of `pairs`, whether it was read.
    used_pairs: RefCell<Vec<bool>>,
    errors: RefCell<Vec<ConfigError>>,
}

impl Document {
    /// Parses a file.
    ///
    /// Malformed lines don't stop the parser: [`Document::finish`] returns their errors together
    /// with all others.
    ///
    /// # Errors
    /// Returns an error if the bytes are not UTF-8 or the INI library fails.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Document, ConfigErrors> {
        let file_error = |line, message| {
            let key = String::from("file");
            ConfigErrors(vec![ConfigError { file: file.to_owned(), line, key, message }])
        };
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let line = 1 + bytes[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count();
            file_error(line, String::from("expected UTF-8 text, found an invalid byte"))
        })?;
        let mut scan = LineScan::new(text);
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            enabled_indented_mutiline_value: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(&scan.text, option).map_err(|error| {
            let line = error.line.clamp(1, text.lines().count().max(1));
            file_error(line, format!("invalid INI: {}", error.msg))
        })?;
        let headers = std::mem::take(&mut scan.headers);
        let malformed = std::mem::take(&mut scan.malformed);
        let pairs = scan.into_pairs(&ini);
        let document = Document {
            file: file.to_owned(),
            headers,
            used_pairs: RefCell::new(vec![false; pairs.len()]),
            pairs,
            known_sections: RefCell::default(),
            errors: RefCell::default(),
        };
        for line in malformed {
            document.record_error(line.line, String::from("line"), line.message.to_owned());
        }
        Ok(document)
    }

    /// Returns a section and marks its name as known. A section that the file lacks has no keys.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        self.known_sections.borrow_mut().push(name.to_owned());
        Section::new(self, name)
    }

    /// Returns the distinct section names that start with `prefix`, in file order.
    pub fn sections_with_prefix(&self, prefix: &str) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for header in &self.headers {
            if header.name.starts_with(prefix) && !names.contains(&header.name.as_str()) {
                names.push(&header.name);
            }
        }
        names
    }

    /// Records an error about the whole file, on line 1.
    pub(crate) fn record_file_error(&self, key: &str, message: String) {
        self.record_error(1, key.to_owned(), message);
    }

    /// Checks for duplicate and unknown sections and keys, and returns `value` if the whole file
    /// is free of errors.
    ///
    /// # Errors
    /// Returns all errors found, ordered by line.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        self.check_sections();
        self.check_duplicate_keys();
        self.check_unknown_keys();
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors(errors)),
        }
    }

    /// Marks all keys of a section as read, so that they are not reported as unknown.
    pub(crate) fn mark_section_used(&self, name: &str) {
        let mut used = self.used_pairs.borrow_mut();
        for (index, pair) in self.pairs.iter().enumerate() {
            if pair.section == name {
                used[index] = true;
            }
        }
    }

    pub(crate) fn mark_pair_used(&self, index: usize) {
        self.used_pairs.borrow_mut()[index] = true;
    }

    pub(crate) fn record_error(&self, line: usize, key: String, message: String) {
        let file = self.file.clone();
        self.errors.borrow_mut().push(ConfigError { file, line, key, message });
    }

    fn check_sections(&self) {
        let known = self.known_sections.borrow();
        for (index, header) in self.headers.iter().enumerate() {
            let name = &header.name;
            if let Some(first) = self.headers[..index].iter().find(|other| other.name == *name) {
                let line = first.line;
                let message = format!("duplicate section `{name}`, first defined on line {line}");
                self.record_error(header.line, name.clone(), message);
            } else if !known.contains(name) {
                let message = String::from("unknown section; check the spelling");
                self.record_error(header.line, name.clone(), message);
                self.mark_section_used(name);
            }
        }
    }

    fn check_duplicate_keys(&self) {
        for (index, pair) in self.pairs.iter().enumerate() {
            let same = |other: &&KeyValue| other.section == pair.section && other.key == pair.key;
            if let Some(first) = self.pairs[..index].iter().find(same) {
                self.mark_pair_used(index);
                let message = format!("duplicate key, first set on line {}", first.line);
                self.record_error(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }

    fn check_unknown_keys(&self) {
        let used = self.used_pairs.borrow().clone();
        for (pair, used) in self.pairs.iter().zip(used) {
            if pair.section.is_empty() {
                let message = String::from("expected a section header before the first key");
                self.record_error(pair.line, pair.key.clone(), message);
            } else if !used {
                let message = String::from("unknown key; check the spelling and the section");
                self.record_error(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }
}
