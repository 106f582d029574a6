use std::fmt;
use std::net::SocketAddr;

use bay_conf::{ConfigErrors, KeyFileError};

/// Reason why a process cannot start.
#[derive(Debug)]
pub enum ShellError {
    /// The platform's settings are missing or invalid.
    Platform(bay_platform::SettingsError),
    /// The settings file at this path cannot be read.
    SettingsUnreadable(String),
    /// The settings are invalid.
    Settings(ConfigErrors),
    /// The key file contains no valid secret.
    KeyFile(KeyFileError),
    /// An address cannot be bound.
    Listen(SocketAddr, std::io::Error),
    /// The socket for metrics cannot be opened.
    Metrics(std::io::Error),
    /// The signal handlers cannot be registered.
    Signals(std::io::Error),
}

impl fmt::Display for ShellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShellError::Platform(error) => write!(f, "{error}"),
            ShellError::SettingsUnreadable(path) => {
                write!(f, "{path}: cannot read the settings file; see --settings")
            }
            ShellError::Settings(mistakes) => write!(f, "{mistakes}"),
            ShellError::KeyFile(error) => write!(f, "{error}"),
            ShellError::Listen(address, error) => {
                write!(f, "failed to listen on {address}: {error}")
            }
            ShellError::Metrics(error) => write!(f, "failed to open the metrics socket: {error}"),
            ShellError::Signals(error) => write!(f, "failed to register signal handlers: {error}"),
        }
    }
}

impl std::error::Error for ShellError {}
