use bay_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Change, Host, Object, StoreError};

/// What a call of the object API comes to.
pub type StoreResult = Result<StoreReply, StoreError>;

/// An answer of the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read, or `None` if there is none.
    Object(Option<Object>),
    /// Every object under the prefix.
    Objects(ObjectsBody),
    /// The write or delete took effect at this revision.
    Written(Revision),
    /// The write or delete did not take effect; this is what stands there.
    Conflict(Option<Object>),
    /// The changes under a prefix.
    Changes(ChangesBody),
    /// The platform's list of hosts.
    Hosts(Vec<Host>),
}

/// The objects under a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsBody {
    /// The store's revision when it read the objects.
    pub revision: Revision,
    /// The objects.
    pub objects: Vec<Object>,
}

/// The changes under a prefix up to one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesBody {
    /// The revision up to which the changes are whole.
    pub revision: Revision,
    /// Whether the store no longer has all changes since the watcher's revision, so that the
    /// watcher has to list again.
    pub compacted: bool,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}
