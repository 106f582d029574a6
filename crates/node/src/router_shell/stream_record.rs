use std::time::Duration;

use bay_router::{AttemptResult, RequestState};
use bay_time::{BootClock, Clock};
use bay_types::ErrorKind;

use super::request::AttemptGuard;

/// Records the result of an attempt whose answer is streamed. Dropping it only records that the
/// attempt has ended: the caller is gone, which says nothing about the server.
#[derive(Debug)]
pub(crate) struct StreamRecord {
    guard: AttemptGuard,
    request: RequestState,
    status: u16,
    /// Time up to the head. The rest of the time is also the reader's.
    elapsed: Duration,
}

impl StreamRecord {
    /// Creates the record of an attempt whose head has just arrived.
    pub(crate) fn new(
        guard: AttemptGuard,
        request: RequestState,
        status: u16,
        elapsed: Duration,
    ) -> StreamRecord {
        StreamRecord { guard, request, status, elapsed }
    }

    /// Records that the whole answer has arrived.
    pub(crate) fn complete(self) {
        let status = self.status;
        self.finish(AttemptResult::Answered { status, not_run: false });
    }

    /// Records that the rest of the answer was lost.
    pub(crate) fn fail(self, kind: ErrorKind) {
        self.finish(AttemptResult::Lost(kind));
    }

    fn finish(self, result: AttemptResult) {
        let StreamRecord { guard, request, elapsed, .. } = self;
        let AttemptGuard { shell, selected } = &guard;
        let (shell, selected) = (std::rc::Rc::clone(shell), *selected);
        drop(guard);
        let now = BootClock.now();
        shell.router.borrow_mut().record_streamed(now, &request, &selected, result, elapsed);
    }
}
