use std::collections::HashMap;

use bay_own::CallId;

use crate::{StoreCallId, WatchCallId};

/// The part of a steward that waits for an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The watch of configuration, terms and assignments.
    Watch(WatchCallId),
    /// Ownership.
    Own(CallId),
    /// The reading of the platform's list of hosts.
    Hosts,
}

/// The calls of the store that are under way.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    callers: HashMap<StoreCallId, Caller>,
    last: u64,
}

impl StoreCalls {
    /// Numbers a call and notes who waits for its answer.
    pub(crate) fn begin(&mut self, caller: Caller) -> StoreCallId {
        self.last += 1;
        let id = StoreCallId(self.last);
        self.callers.insert(id, caller);
        id
    }

    /// Who waits for the answer to a call.
    pub(crate) fn end(&mut self, id: StoreCallId) -> Option<Caller> {
        self.callers.remove(&id)
    }
}
