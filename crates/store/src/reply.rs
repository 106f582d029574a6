use bay_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Change, Host, Object, StoreError};

/// The result of a store request.
pub type StoreResult = Result<StoreReply, StoreError>;

/// A reply of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The requested object, or `None` if it does not exist.
    Object(Option<Object>),
    /// The objects under the requested prefix.
    Objects(ObjectsBody),
    /// The write or delete took effect. The revision is that of the change.
    Written(Revision),
    /// The precondition failed, so the write or delete had no effect. This is the current object,
    /// or `None` if it does not exist.
    Conflict(Option<Object>),
    /// The changes under the watched prefix.
    Changes(ChangesBody),
    /// The platform's host list.
    Hosts(Vec<Host>),
}

/// The objects under a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsBody {
    /// The store revision at which the objects were read.
    pub revision: Revision,
    /// All objects under the prefix.
    pub objects: Vec<Object>,
}

/// The changes under a prefix up to one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesBody {
    /// The store revision up to which the changes are complete.
    pub revision: Revision,
    /// Whether the store has discarded changes since the watcher's revision. The watcher must then
    /// list the objects again.
    pub compacted: bool,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}
