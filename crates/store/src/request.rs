use std::time::Duration;

use bay_types::Revision;

use crate::ObjectKey;

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads an object.
    Get {
        /// The object's key.
        key: ObjectKey,
    },
    /// Reads all objects whose keys start with a prefix.
    List {
        /// The common prefix of the keys.
        prefix: String,
    },
    /// Writes an object if the precondition holds.
    Put {
        /// The object's key.
        key: ObjectKey,
        /// The object's new content.
        body: String,
        /// The state that the object must have for the write to take effect.
        precondition: Precondition,
    },
    /// Deletes an object if the precondition holds.
    Delete {
        /// The object's key.
        key: ObjectKey,
        /// The state that the object must have for the delete to take effect.
        precondition: Precondition,
    },
    /// Waits for changes under a prefix that are later than a revision.
    Watch {
        /// The common prefix of the keys.
        prefix: String,
        /// The latest revision that the watcher knows.
        since: Revision,
        /// Time after which the store replies without a change.
        wait: Duration,
    },
    /// Reads the platform's host list.
    Hosts,
}

/// The precondition of a write or delete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must have this revision.
    Revision(Revision),
}
