use std::cell::RefCell;

use ini::{Ini, ParseOption};

use crate::line_scan::{Header, LineScan, Pair};
use crate::{ConfigError, ConfigErrors, Section};

/// A parsed INI file that gathers the mistakes found while it is read.
#[derive(Debug)]
pub struct Document {
    file: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) pairs: Vec<Pair>,
    known_sections: RefCell<Vec<String>>,
    used: RefCell<Vec<bool>>,
    mistakes: RefCell<Vec<ConfigError>>,
}

impl Document {
    /// Parses a file. Lines that are not INI are mistakes that [`Document::finish`] reports with
    /// the others.
    ///
    /// # Errors
    /// Returns the mistake if the bytes are not UTF-8.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Document, ConfigErrors> {
        let mistake = |line, message| {
            let key = String::from("file");
            ConfigErrors(vec![ConfigError { file: file.to_owned(), line, key, message }])
        };
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let line = 1 + bytes[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count();
            mistake(line, String::from("expected UTF-8 text, found other bytes"))
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
            mistake(line, format!("expected INI, {}", error.msg))
        })?;
        let headers = std::mem::take(&mut scan.headers);
        let malformed = std::mem::take(&mut scan.malformed);
        let pairs = scan.pairs(&ini);
        let document = Document {
            file: file.to_owned(),
            headers,
            used: RefCell::new(vec![false; pairs.len()]),
            pairs,
            known_sections: RefCell::default(),
            mistakes: RefCell::default(),
        };
        for line in malformed {
            document.add(line.line, String::from("line"), line.expected.to_owned());
        }
        Ok(document)
    }

    /// The section with a name, which is known from now on; an absent section has no keys.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        self.known_sections.borrow_mut().push(name.to_owned());
        Section::new(self, name)
    }

    /// The names of the sections that start with a prefix, in order.
    pub fn sections_with_prefix(&self, prefix: &str) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for header in &self.headers {
            if header.name.starts_with(prefix) && !names.contains(&header.name.as_str()) {
                names.push(&header.name);
            }
        }
        names
    }

    /// Records a mistake about the file as a whole.
    pub(crate) fn report(&self, key: &str, message: String) {
        self.add(1, key.to_owned(), message);
    }

    /// Ends the reading: adds a mistake for each duplicate and unknown section and key, and
    /// returns the value only if there was no mistake at all.
    ///
    /// # Errors
    /// Returns every mistake found, in the order of the lines.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        self.report_sections();
        self.report_duplicates();
        self.report_unknown();
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|mistake| mistake.line);
        match value {
            Some(value) if mistakes.is_empty() => Ok(value),
            _ => Err(ConfigErrors(mistakes)),
        }
    }

    /// Marks a section's keys as read.
    pub(crate) fn use_section(&self, name: &str) {
        let mut used = self.used.borrow_mut();
        for (index, pair) in self.pairs.iter().enumerate() {
            if pair.section == name {
                used[index] = true;
            }
        }
    }

    pub(crate) fn use_pair(&self, index: usize) {
        self.used.borrow_mut()[index] = true;
    }

    pub(crate) fn add(&self, line: usize, key: String, message: String) {
        let file = self.file.clone();
        self.mistakes.borrow_mut().push(ConfigError { file, line, key, message });
    }

    fn report_sections(&self) {
        let known = self.known_sections.borrow();
        for (index, header) in self.headers.iter().enumerate() {
            let name = &header.name;
            if let Some(first) = self.headers[..index].iter().find(|other| other.name == *name) {
                let line = first.line;
                let message =
                    format!("expected one section `{name}`, found another on line {line}");
                self.add(header.line, name.clone(), message);
            } else if !known.contains(name) {
                let message = String::from("expected a known section; check the spelling");
                self.add(header.line, name.clone(), message);
                self.use_section(name);
            }
        }
    }

    fn report_duplicates(&self) {
        for (index, pair) in self.pairs.iter().enumerate() {
            let same = |other: &&Pair| other.section == pair.section && other.key == pair.key;
            if let Some(first) = self.pairs[..index].iter().find(same) {
                self.use_pair(index);
                let message = format!("expected one value, found another on line {}", first.line);
                self.add(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }

    fn report_unknown(&self) {
        let used = self.used.borrow().clone();
        for (pair, used) in self.pairs.iter().zip(used) {
            if pair.section.is_empty() {
                let message = String::from("expected a section before the first key");
                self.add(pair.line, pair.key.clone(), message);
            } else if !used {
                let message = String::from("expected a known key; check the spelling and section");
                self.add(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }
}
