use std::fmt;

use bay_conf::ConfigErrors;
use bay_store::{Object, StoreError};

use crate::object_text::without_nonce;

/// Why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// A file cannot be read.
    UnreadableFile(String),
    /// The document has mistakes.
    InvalidDocument(ConfigErrors),
    /// The store gave no answer.
    Store(StoreError),
    /// There is no such object.
    NotFound(String),
    /// No host and no service has this zone.
    UnknownZone {
        /// The zone.
        zone: String,
        /// The zones that there are.
        known: Vec<String>,
    },
    /// The document changes how the keys of a service in use are divided.
    SlicesChanged {
        /// The slices of the document that is there.
        current: u32,
        /// The slices of the new document.
        found: u32,
    },
    /// The object exists and the operator did not say which version to replace.
    VersionRequired {
        /// What stands there.
        current: Object,
    },
    /// Another operator was first.
    Conflict {
        /// The version that this operator had read, or `None` for no object.
        read_version: Option<u64>,
        /// What stands there now.
        current: Option<Object>,
        /// Whether it is sure that this operator's write took no effect.
        had_no_effect: bool,
    },
    /// The store's answers were lost for so long that it is not known whether the write took
    /// effect.
    UnknownOutcome {
        /// The nonce in the write.
        nonce: u64,
    },
    /// The steward gave no answer.
    Steward(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::UnreadableFile(path) => write!(f, "{path}: expected a readable file"),
            CtlError::InvalidDocument(mistakes) => write!(f, "{mistakes}"),
            CtlError::Store(error) => write!(f, "{error}"),
            CtlError::NotFound(key) => write!(f, "{key}: expected an object, found none"),
            CtlError::SlicesChanged { current, found } => {
                write!(f, "expected {current} slices, found {found}: ")?;
                write!(f, "owners are assigned by slice; make a new service to change them")
            }
            CtlError::UnknownZone { zone, known } => {
                let known = known.join(", ");
                write!(f, "{zone}: expected the zone of a host or server; there are: {known}")
            }
            CtlError::VersionRequired { current } => {
                let version = current.revision.0;
                write!(f, "{} exists at version {version}; look at it with `show`, ", current.key)?;
                write!(f, "then name the version to replace: --expect {version}")
            }
            CtlError::Conflict { read_version, current, had_no_effect } => {
                write_conflict(f, *read_version, current.as_ref(), *had_no_effect)
            }
            CtlError::UnknownOutcome { nonce } => {
                write!(f, "the store's answers were lost; the write may have taken effect: ")?;
                write!(f, "look for `; write {nonce:016x}` with `show --raw`")
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
        "another operator was first: read version {}, now version {now}",
        name(read_version)
    )?;
    if !had_no_effect {
        writeln!(f, "this write's answer was lost: it may have been in force before that")?;
    }
    if let Some(object) = current {
        writeln!(f, "version {now} is:")?;
        writeln!(f, "{}", without_nonce(&object.body).trim_end())?;
    }
    write!(f, "look at it with `show` and apply again with --expect")
}
