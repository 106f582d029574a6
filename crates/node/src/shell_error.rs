use std::fmt;
use std::net::SocketAddr;

use bay_conf::{ConfigErrors, KeyFileError};

/// Why a process cannot start.
#[derive(Debug)]
pub enum ShellError {
    /// The platform's settings cannot be used.
    Platform(bay_platform::SettingsError),
    /// The settings file cannot be read.
    SettingsUnreadable(String),
    /// The settings have mistakes.
    Settings(ConfigErrors),
    /// The key file gives no secret.
    KeyFile(KeyFileError),
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// A socket for metrics cannot be opened.
    Metrics(std::io::Error),
    /// Signals cannot be received.
    Signals(std::io::Error),
}

impl fmt::Display for ShellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShellError::Platform(error) => write!(f, "{error}"),
            ShellError::SettingsUnreadable(path) => {
                write!(f, "{path}: expected a readable settings file; see --settings")
            }
            ShellError::Settings(mistakes) => write!(f, "{mistakes}"),
            ShellError::KeyFile(error) => write!(f, "{error}"),
            ShellError::Listen(address, error) => {
                write!(f, "expected to listen on {address}: {error}")
            }
            ShellError::Metrics(error) => write!(f, "expected a socket for metrics: {error}"),
            ShellError::Signals(error) => write!(f, "expected to receive signals: {error}"),
        }
    }
}

impl std::error::Error for ShellError {}
