use std::fmt;

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The section and key, such as `gate.listen`.
    pub key: String,
    /// What was expected and what was found.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// Every mistake found in a file, in the order of its lines.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
