use std::fmt;

use bay_conf::Mistakes;
use bay_store::{Object, StoreError};

/// Why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// A file cannot be read.
    Unreadable(String),
    /// The document has mistakes.
    Mistakes(Mistakes),
    /// The store gave no answer.
    Store(StoreError),
    /// Another operator was first.
    Conflict {
        /// The revision that this operator had read, or `None` for no object.
        read: Option<u64>,
        /// What stands there now.
        current: Option<Object>,
    },
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::Unreadable(path) => write!(f, "{path}: expected a readable file"),
            CtlError::Mistakes(mistakes) => write!(f, "{mistakes}"),
            CtlError::Store(error) => write!(f, "{error}"),
            CtlError::Conflict { read, current } => {
                let read = read.map_or(String::from("none"), |revision| revision.to_string());
                let now = current.as_ref().map(|object| object.revision.0.to_string());
                let now = now.unwrap_or(String::from("none"));
                write!(f, "another operator was first: read version {read}, now version {now}; ")?;
                write!(f, "look at the new version and apply again")
            }
        }
    }
}

impl std::error::Error for CtlError {}
