use std::cell::RefCell;

use ini::{Ini, ParseOption};

use crate::pair_reader::{Pair, read_pairs};
use crate::{Mistake, Mistakes};

/// A parsed INI file that gathers the mistakes found while it is read.
#[derive(Debug)]
pub struct Document {
    file: String,
    pairs: Vec<Pair>,
    used: RefCell<Vec<bool>>,
    mistakes: RefCell<Vec<Mistake>>,
}

impl Document {
    /// Parses a file.
    ///
    /// # Errors
    /// Returns the mistakes if the bytes are not UTF-8 or not INI.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Document, Mistakes> {
        let mistake = |line, message| {
            let key = String::from("file");
            Mistakes(vec![Mistake { file: file.to_owned(), line, key, message }])
        };
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let line = 1 + bytes[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count();
            mistake(line, String::from("expected UTF-8 text, found other bytes"))
        })?;
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|error| mistake(error.line.max(1), format!("expected INI, {}", error.msg)))?;
        let pairs = read_pairs(&ini, text);
        let used = RefCell::new(vec![false; pairs.len()]);
        Ok(Document { file: file.to_owned(), pairs, used, mistakes: RefCell::default() })
    }

    /// The section with a name; an absent section has no keys.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        Section { document: self, name }
    }

    /// The names of the sections that start with a prefix, in order.
    pub fn sections_with_prefix(&self, prefix: &str) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for pair in &self.pairs {
            if pair.section.starts_with(prefix) && !names.contains(&pair.section.as_str()) {
                names.push(&pair.section);
            }
        }
        names
    }

    /// Ends the reading: adds a mistake for each duplicate and unknown key, and returns the value
    /// only if there was no mistake at all.
    ///
    /// # Errors
    /// Returns every mistake found, in the order of the lines.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Mistakes> {
        self.report_duplicates();
        self.report_unknown();
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|mistake| mistake.line);
        match value {
            Some(value) if mistakes.is_empty() => Ok(value),
            _ => Err(Mistakes(mistakes)),
        }
    }

    fn report_duplicates(&self) {
        for (index, pair) in self.pairs.iter().enumerate() {
            let same = |other: &&Pair| other.section == pair.section && other.key == pair.key;
            if let Some(first) = self.pairs[..index].iter().find(same) {
                self.used.borrow_mut()[index] = true;
                let message = format!("expected one value, found another on line {}", first.line);
                self.add(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }

    fn report_unknown(&self) {
        let used = self.used.borrow().clone();
        for (pair, used) in self.pairs.iter().zip(used) {
            if !used {
                let message = String::from("expected a known key; check the spelling and section");
                self.add(pair.line, format!("{}.{}", pair.section, pair.key), message);
            }
        }
    }

    fn add(&self, line: usize, key: String, message: String) {
        let file = self.file.clone();
        self.mistakes.borrow_mut().push(Mistake { file, line, key, message });
    }
}

/// One section of a [`Document`].
#[derive(Debug, Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    name: &'a str,
}

impl<'a> Section<'a> {
    /// The section's name.
    pub fn name(self) -> &'a str {
        self.name
    }

    /// Whether the section has any key.
    pub fn exists(self) -> bool {
        self.document.pairs.iter().any(|pair| pair.section == self.name)
    }

    /// Reads a value that may be absent.
    ///
    /// A value that is present but wrong is recorded as a mistake.
    pub fn optional<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        let same = |pair: &Pair| pair.section == self.name && pair.key == key;
        let index = self.document.pairs.iter().position(same)?;
        self.document.used.borrow_mut()[index] = true;
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
    pub fn required<T, F>(self, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, String>,
    {
        if !self.has(key) {
            self.report("", key, String::from("expected a value, found none"));
            return None;
        }
        self.optional(key, parse)
    }

    /// Whether the section has this key.
    pub fn has(self, key: &str) -> bool {
        self.document.pairs.iter().any(|pair| pair.section == self.name && pair.key == key)
    }

    /// Records a mistake about this section; the line is that of `at`, or of the section.
    pub fn report(self, at: &str, key: &str, message: String) {
        let in_section = || self.document.pairs.iter().filter(|pair| pair.section == self.name);
        let found = in_section().find(|pair| pair.key == at).or_else(|| in_section().next());
        let line = found.map_or(1, |pair| pair.line);
        self.document.add(line, format!("{}.{key}", self.name), message);
    }
}
