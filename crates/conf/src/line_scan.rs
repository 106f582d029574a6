use ini::Ini;

/// The lines of an INI file, of which the library keeps no numbers.
#[derive(Debug)]
pub(crate) struct LineScan {
    /// The text for the library: each line trimmed, malformed ones left empty.
    pub(crate) text: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) malformed: Vec<Malformed>,
    keys: Vec<KeyLine>,
}

/// The line that starts a section.
#[derive(Debug)]
pub(crate) struct Header {
    pub(crate) name: String,
    pub(crate) line: usize,
}

/// A line that is neither empty, a comment, a section nor a pair.
#[derive(Debug)]
pub(crate) struct Malformed {
    pub(crate) line: usize,
    pub(crate) expected: &'static str,
}

/// One key and its value, with the line it stands on.
#[derive(Debug)]
pub(crate) struct Pair {
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

#[derive(Debug)]
struct KeyLine {
    section: String,
    key: String,
    line: usize,
}

impl LineScan {
    /// Scans a file's text.
    pub(crate) fn new(text: &str) -> LineScan {
        let (headers, malformed, keys) = (Vec::new(), Vec::new(), Vec::new());
        let mut scan = LineScan { text: String::new(), headers, malformed, keys };
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (index, line) in text.lines().enumerate() {
            match scan.read_line(line.trim(), index + 1) {
                Ok(Some(line)) => scan.text.push_str(&line),
                Ok(None) => {}
                Err(expected) => scan.malformed.push(Malformed { line: index + 1, expected }),
            }
            scan.text.push('\n');
        }
        scan
    }

    /// Lists the pairs of the parsed text with their lines.
    pub(crate) fn pairs(mut self, ini: &Ini) -> Vec<Pair> {
        let mut pairs = Vec::new();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                let same = |line: &KeyLine| line.section == section && line.key == key;
                let position = self.keys.iter().position(same);
                let line = position.map_or(1, |index| self.keys.remove(index).line);
                let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
                pairs.push(Pair { section, key, value, line });
            }
        }
        pairs.sort_by_key(|pair| pair.line);
        pairs
    }

    /// Reads one line; returns it in its plainest form, or what was expected.
    fn read_line(&mut self, line: &str, number: usize) -> Result<Option<String>, &'static str> {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return Ok(None);
        }
        if line.contains(|c: char| c.is_control() && c != '\t') {
            return Err("expected no control characters");
        }
        if line.starts_with('[') {
            return self.read_header(line, number).map(Some);
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

    fn read_header(&mut self, line: &str, number: usize) -> Result<String, &'static str> {
        let expected = "expected a section such as [service] alone on its line";
        let name = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let name = name.map(str::trim).ok_or(expected)?;
        if name.is_empty() || name.contains(['[', ']']) {
            return Err(expected);
        }
        self.headers.push(Header { name: name.to_owned(), line: number });
        Ok(format!("[{name}]"))
    }
}
