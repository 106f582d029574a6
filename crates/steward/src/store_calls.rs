use std::collections::HashMap;

use bay_own::CallId;

use crate::{StoreCallId, WatchCallId};

/// The part of a steward to which the reply of a store call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The watch of configuration, terms and assignments.
    Watch(WatchCallId),
    /// The owner.
    Owner(CallId),
    /// The periodic read of the platform's host list.
    Hosts,
}

/// The store calls in flight.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    callers: HashMap<StoreCallId, Caller>,
    last_id: u64,
}

impl StoreCalls {
    /// Issues the identifier of a new call and records its caller.
    pub(crate) fn begin(&mut self, caller: Caller) -> StoreCallId {
        self.last_id += 1;
        let id = StoreCallId(self.last_id);
        self.callers.insert(id, caller);
        id
    }

    /// Removes a completed call and returns its caller, or `None` if the call is unknown.
    pub(crate) fn end(&mut self, id: StoreCallId) -> Option<Caller> {
        self.callers.remove(&id)
    }
}
