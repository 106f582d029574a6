use ini::Ini;

/// One key and its value, with the line it stands on.
#[derive(Debug)]
pub(crate) struct Pair {
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// Lists the pairs of a parsed file and looks up their lines, which the library does not keep.
pub(crate) fn read_pairs(ini: &Ini, text: &str) -> Vec<Pair> {
    let mut lines = key_lines(text);
    let mut pairs = Vec::new();
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or_default();
        for (key, value) in properties.iter() {
            let same = |line: &KeyLine<'_>| line.section == section && line.key == key;
            let position = lines.iter().position(same);
            let line = position.map_or(1, |index| lines.remove(index).line);
            let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
            pairs.push(Pair { section, key, value, line });
        }
    }
    pairs.sort_by_key(|pair| pair.line);
    pairs
}

struct KeyLine<'a> {
    section: &'a str,
    key: &'a str,
    line: usize,
}

fn key_lines(text: &str) -> Vec<KeyLine<'_>> {
    let mut section = "";
    let mut found = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(rest) = line.strip_prefix('[') {
            section = rest.split(']').next().unwrap_or_default().trim();
        } else if !line.starts_with(['#', ';'])
            && let Some((key, _)) = line.split_once(['=', ':'])
        {
            found.push(KeyLine { section, key: key.trim(), line: index + 1 });
        }
    }
    found
}
