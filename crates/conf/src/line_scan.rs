use ini::Ini;

/// A scan of an INI file that finds line numbers, which the INI library does not provide.
#[derive(Debug)]
pub(crate) struct LineScan {
    /// Text for the INI library: lines are trimmed, malformed lines and comments are empty.
    pub(crate) text: String,
    pub(crate) headers: Vec<SectionHeader>,
    pub(crate) malformed: Vec<MalformedLine>,
    keys: Vec<KeyLine>,
}

/// A line such as `[gate]` that starts a section.
#[derive(Debug)]
pub(crate) struct SectionHeader {
    pub(crate) name: String,
    pub(crate) line: usize,
}

/// A line that is not empty and not a comment, section header or key with a value.
#[derive(Debug)]
pub(crate) struct MalformedLine {
    pub(crate) line: usize,
    pub(crate) message: &'static str,
}

/// A key and its value, with their section and line number.
#[derive(Debug)]
pub(crate) struct KeyValue {
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// The line number of a key within a section.
#[derive(Debug)]
struct KeyLine {
    section: String,
    key: String,
    line: usize,
}

impl LineScan {
    /// Scans the text of a file. A byte order mark at its start is ignored.
    pub(crate) fn new(text: &str) -> LineScan {
        let (headers, malformed, keys) = (Vec::new(), Vec::new(), Vec::new());
        let mut scan = LineScan { text: String::new(), headers, malformed, keys };
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (index, line) in text.lines().enumerate() {
            match scan.parse_line(line.trim(), index + 1) {
                Ok(Some(line)) => scan.text.push_str(&line),
                Ok(None) => {}
                Err(message) => scan.malformed.push(MalformedLine { line: index + 1, message }),
            }
            scan.text.push('\n');
        }
        scan
    }

    /// Combines the pairs that the INI library parsed with their line numbers, ordered by line.
    pub(crate) fn into_pairs(mut self, ini: &Ini) -> Vec<KeyValue> {
        let mut pairs = Vec::new();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                let same = |line: &KeyLine| line.section == section && line.key == key;
                let position = self.keys.iter().position(same);
                let line = position.map_or(1, |index| self.keys.remove(index).line);
                let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
                pairs.push(KeyValue { section, key, value, line });
            }
        }
        pairs.sort_by_key(|pair| pair.line);
        pairs
    }

    /// Parses one trimmed line. Returns it in normal form for the INI library, `None` for an empty
    /// line or a comment, or an error message.
    fn parse_line(&mut self, line: &str, number: usize) -> Result<Option<String>, &'static str> {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return Ok(None);
        }
        if line.contains(|c: char| c.is_control() && c != '\t') {
            return Err("control characters are not allowed");
        }
        if line.starts_with('[') {
            return self.parse_section_header(line, number).map(Some);
        }
        let expected = "expected `key = value`";
        let (key, value) = line.split_once('=').ok_or(expected)?;
        let (key, value) = (key.trim(), value.trim());
        let key_byte = |b: u8| b.is_ascii_alphanumeric() || b"_-.".contains(&b);
        if key.is_empty() || !key.bytes().all(key_byte) {
            return Err(expected);
        }
        let section = self.headers.last().map(|header| header.name.clone()).unwrap_or_default();
        self.keys.push(KeyLine { section, key: key.to_owned(), line: number });
        Ok(Some(format!("{key}={value}")))
    }

    fn parse_section_header(&mut self, line: &str, number: usize) -> Result<String, &'static str> {
        let expected = "expected a section header such as [service] alone on its line";
        let name = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let name = name.map(str::trim).ok_or(expected)?;
        if name.is_empty() || name.contains(['[', ']']) {
            return Err(expected);
        }
        self.headers.push(SectionHeader { name: name.to_owned(), line: number });
        Ok(format!("[{name}]"))
    }
}
