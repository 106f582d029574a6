use std::collections::{BTreeMap, VecDeque};

use bay_store::{
    Change, ChangesBody, Host, Object, ObjectKey, ObjectsBody, Precondition, StoreError,
    StoreReply, StoreRequest, StoreResult,
};
use bay_types::Revision;

/// Limit of an object body, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Limit of kept changes; a watch that lags further is compacted.
const MAX_KEPT_CHANGES: usize = 4_096;

/// The object API of the platform, in memory and without I/O.
#[derive(Debug, Default)]
pub struct MemStore {
    objects: BTreeMap<ObjectKey, Object>,
    changes: VecDeque<Change>,
    /// Revision of the latest change that was dropped.
    dropped_revision: Revision,
    revision: Revision,
    hosts: Vec<Host>,
    fault: StoreFault,
    calls: u64,
}

/// Fault of a store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Rejects each call as unavailable.
    Down,
    /// Applies each call, but loses its reply.
    RepliesLost,
}

impl MemStore {
    /// Creates an empty store.
    pub fn new() -> MemStore {
        MemStore::default()
    }

    /// Sets the fault of all later calls.
    pub fn set_fault(&mut self, fault: StoreFault) {
        self.fault = fault;
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&mut self, hosts: Vec<Host>) {
        self.hosts = hosts;
    }

    /// Returns the number of calls so far, failed ones included.
    pub fn call_count(&self) -> u64 {
        self.calls
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Handles one call.
    ///
    /// A watch returns at once with the changes so far; the caller repeats it.
    ///
    /// # Errors
    /// Returns an error if a written body is too long or the store has a fault. A failed
    /// precondition is a `StoreReply::Conflict`, not an error.
    pub fn call(&mut self, request: StoreRequest) -> StoreResult {
        self.calls += 1;
        if self.fault == StoreFault::Down {
            return Err(StoreError::Unavailable);
        }
        let result = self.handle_request(request);
        if self.fault == StoreFault::RepliesLost {
            return Err(StoreError::Unknown);
        }
        result
    }

    fn handle_request(&mut self, request: StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get { key } => Ok(StoreReply::Object(self.objects.get(&key).cloned())),
            StoreRequest::List { prefix } => Ok(StoreReply::Objects(self.list(&prefix))),
            StoreRequest::Put { key, body, precondition } => self.put(key, body, precondition),
            StoreRequest::Delete { key, precondition } => self.delete(key, precondition),
            StoreRequest::Watch { prefix, since, .. } => {
                Ok(StoreReply::Changes(self.changes_since(&prefix, since)))
            }
            StoreRequest::Hosts => Ok(StoreReply::Hosts(self.hosts.clone())),
        }
    }

    fn list(&self, prefix: &str) -> ObjectsBody {
        let objects =
            self.objects.values().filter(|object| object.key.as_str().starts_with(prefix));
        ObjectsBody { revision: self.revision, objects: objects.cloned().collect() }
    }

    fn put(&mut self, key: ObjectKey, body: String, precondition: Precondition) -> StoreResult {
        if body.len() > MAX_VALUE_BYTES {
            return Err(StoreError::Rejected);
        }
        if let Some(conflict) = self.conflict(&key, precondition) {
            return conflict;
        }
        self.revision.0 += 1;
        let revision = self.revision;
        let object = Object { key: key.clone(), revision, body: body.clone() };
        self.objects.insert(key.clone(), object);
        self.record_change(Change { key, revision, body: Some(body) });
        Ok(StoreReply::Written(revision))
    }

    fn delete(&mut self, key: ObjectKey, precondition: Precondition) -> StoreResult {
        if let Some(conflict) = self.conflict(&key, precondition) {
            return conflict;
        }
        self.revision.0 += 1;
        self.objects.remove(&key);
        self.record_change(Change { key, revision: self.revision, body: None });
        Ok(StoreReply::Written(self.revision))
    }

    /// Returns the reply to a write whose precondition fails, or `None` if it holds.
    fn conflict(&self, key: &ObjectKey, precondition: Precondition) -> Option<StoreResult> {
        let current = self.objects.get(key);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => {
                current.is_some_and(|object| object.revision == revision)
            }
        };
        (!holds).then(|| Ok(StoreReply::Conflict(current.cloned())))
    }

    fn record_change(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_KEPT_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.dropped_revision = oldest.revision;
        }
    }

    fn changes_since(&self, prefix: &str, since: Revision) -> ChangesBody {
        let is_wanted =
            |change: &&Change| change.revision > since && change.key.as_str().starts_with(prefix);
        let changes = self.changes.iter().filter(is_wanted).cloned().collect();
        ChangesBody { revision: self.revision, compacted: since < self.dropped_revision, changes }
    }
}
