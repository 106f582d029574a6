use std::fmt;

/// An error at one place of a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The file's name, or the key of the stored object.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// The section and key, such as `gate.listen`.
    pub key: String,
    /// What is wrong or was expected, and what was found.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All errors found in a file, ordered by line.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
