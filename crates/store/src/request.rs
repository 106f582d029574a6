use std::time::Duration;

use bay_types::Revision;

use crate::ObjectKey;

/// One call of the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads one object.
    Get {
        /// The object's key.
        key: ObjectKey,
    },
    /// Reads every object whose key starts with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Writes one object if it is still as expected.
    Put {
        /// The object's key.
        key: ObjectKey,
        /// The new text.
        body: String,
        /// What the object must be for the write to take effect.
        precondition: Precondition,
    },
    /// Deletes one object if it is still as expected.
    Delete {
        /// The object's key.
        key: ObjectKey,
        /// What the object must be for the delete to take effect.
        precondition: Precondition,
    },
    /// Waits for changes under a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// The last revision that the watcher knows.
        since: Revision,
        /// How long the store waits for a change.
        wait: Duration,
    },
    /// Reads the platform's list of hosts.
    Hosts,
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object's revision is this one.
    Revision(Revision),
}
