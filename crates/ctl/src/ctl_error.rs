use std::fmt;

use bay_conf::ConfigErrors;
use bay_store::{Object, StoreError};

use crate::object_text::without_nonce;

/// The reason why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// The file at this path cannot be read.
    UnreadableFile(String),
    /// The document has errors.
    InvalidDocument(ConfigErrors),
    /// A request to the store failed.
    Store(StoreError),
    /// No object is stored under this key or name.
    NotFound(String),
    /// No host and no server is in the zone.
    UnknownZone {
        /// The unknown zone.
        zone: String,
        /// Zones of all hosts and servers.
        known: Vec<String>,
    },
    /// The document changes the number of slices of a stored service.
    SlicesChanged {
        /// Number of slices in the stored document.
        current: u32,
        /// Number of slices in the new document.
        found: u32,
    },
    /// The object exists, and the operator did not specify the version to replace.
    VersionRequired {
        /// The stored object.
        current: Object,
    },
    /// The stored version is not the one that the operator read.
    Conflict {
        /// Version that this operator read, or `None` for no object.
        read_version: Option<u64>,
        /// The stored object, if any.
        current: Option<Object>,
        /// Whether this operator's write is known to have had no effect.
        had_no_effect: bool,
    },
    /// Too many replies of the store were lost to find out whether the write took effect.
    UnknownOutcome {
        /// Nonce in the last line of the written object.
        nonce: u64,
    },
    /// The steward sent no valid status; the text says why.
    Steward(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::UnreadableFile(path) => write!(f, "{path}: cannot read the file"),
            CtlError::InvalidDocument(errors) => write!(f, "{errors}"),
            CtlError::Store(error) => write!(f, "{error}"),
            CtlError::NotFound(key) => write!(f, "{key}: object not found"),
            CtlError::SlicesChanged { current, found } => {
                write!(f, "cannot change the number of slices from {current} to {found}: ")?;
                write!(f, "owners are assigned by slice; create a new service instead")
            }
            CtlError::UnknownZone { zone, known } => {
                let known = known.join(", ");
                write!(f, "{zone}: no host or server is in this zone; known zones: {known}")
            }
            CtlError::VersionRequired { current } => {
                let version = current.revision.0;
                write!(
                    f,
                    "{} already exists at version {version}; read it with `show`, ",
                    current.key
                )?;
                write!(f, "then pass the version to replace: --expect {version}")
            }
            CtlError::Conflict { read_version, current, had_no_effect } => {
                write_conflict(f, *read_version, current.as_ref(), *had_no_effect)
            }
            CtlError::UnknownOutcome { nonce } => {
                write!(f, "the store's replies were lost; the write may have taken effect: ")?;
                write!(f, "look for `; write {nonce:016x}` in the output of `show --raw`")
            }
            CtlError::Steward(reason) => write!(f, "{reason}"),
        }
    }
}

impl std::error::Error for CtlError {}

fn write_conflict(
    f: &mut fmt::Formatter<'_>,
    read_version: Option<u64>,
    current: Option<&Object>,
    had_no_effect: bool,
) -> fmt::Result {
    let name = |version: Option<u64>| version.map_or(String::from("none"), |v| v.to_string());
    let now = name(current.map(|object| object.revision.0));
    writeln!(
        f,
        "conflict with another write: read version {}, current version {now}",
        name(read_version)
    )?;
    if !had_no_effect {
        writeln!(
            f,
            "the reply to this write was lost: it may have been in force before the other one"
        )?;
    }
    if let Some(object) = current {
        writeln!(f, "version {now} is:")?;
        writeln!(f, "{}", without_nonce(&object.body).trim_end())?;
    }
    write!(f, "read the object with `show`, then repeat the command with --expect")
}
