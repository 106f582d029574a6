use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

/// Minimum length of a secret, in bytes. Equals `ClusterKey::MIN_SECRET_BYTES` of the wire crate.
const MIN_SECRET_BYTES: usize = 32;

/// Reads the secret shared by all processes of the cluster. Whitespace around it is removed.
///
/// # Errors
/// Returns an error if the file cannot be read or the secret is too short.
pub fn read_cluster_secret(path: &Path) -> Result<Vec<u8>, KeyFileError> {
    let bytes = fs::read(path).map_err(|_| KeyFileError::Unreadable(path.to_owned()))?;
    let secret = bytes.trim_ascii();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(KeyFileError::TooShort(path.to_owned()));
    }
    Ok(secret.to_owned())
}

/// The reason why no secret could be read from a key file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyFileError {
    /// The file cannot be read.
    Unreadable(PathBuf),
    /// The secret is shorter than 32 bytes.
    TooShort(PathBuf),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyFileError::Unreadable(path) => {
                write!(f, "{}: cannot read the key file", path.display())
            }
            KeyFileError::TooShort(path) => {
                write!(f, "{}: secret is too short, expected at least 32 bytes", path.display())
            }
        }
    }
}

impl std::error::Error for KeyFileError {}
