use std::time::Duration;

use bay_store::{
    Object, ObjectKey, Precondition, StoreError, StoreReply, StoreRequest, StoreResult,
};
use bay_types::Revision;

use crate::CtlError;
use crate::object_text::{with_nonce, without_nonce};

/// Most times that a write whose answer was lost is looked at before it is given up as unknown.
const MAX_ATTEMPTS: u32 = 6;
/// First pause before the object is read back; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The version that an operator means to replace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// This version.
    Version(Revision),
    /// No object.
    Absent,
    /// The operator did not say: only a new object is written.
    Unstated,
    /// Whatever is there when the command starts.
    Current,
}

/// One compare-and-set write of an operator, without I/O.
///
/// A write whose answer was lost is settled by reading the object back: the nonce in it shows
/// whether the write took effect. Only if the object still is at the version to be replaced is the
/// same write sent again, on the same condition, so that at most one of the two takes effect.
#[derive(Debug)]
pub struct Write {
    key: ObjectKey,
    body: Option<String>,
    expected: Expected,
    nonce: u64,
    step: Step,
    attempts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Write { over: Option<Revision> },
    ReadBack { over: Option<Revision> },
}

/// What a [`Write`] needs next.
#[derive(Debug)]
pub enum Next {
    /// Calls the store after a pause and gives the answer to [`Write::on_result`].
    Call {
        /// The pause.
        after: Duration,
        /// What to call.
        request: StoreRequest,
    },
    /// The write has ended.
    Done(Result<Written, CtlError>),
}

/// What a successful write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The object is at this new version.
    Changed(Revision),
    /// The object already was as wanted, at this version.
    Unchanged(Revision),
    /// There was no object to delete.
    Absent,
}

impl Write {
    /// A write of a text, or a delete; the nonce must be used once.
    pub fn new(key: ObjectKey, body: Option<&str>, expected: Expected, nonce: u64) -> Write {
        let body = body.map(|body| with_nonce(body, nonce));
        Write { key, body, expected, nonce, step: Step::Read, attempts: 0 }
    }

    /// The first call.
    pub fn start(&self) -> StoreRequest {
        StoreRequest::Get { key: self.key.clone() }
    }

    /// Takes the answer to the last call.
    pub fn on_result(&mut self, result: StoreResult) -> Next {
        match (self.step, result) {
            (Step::Read, Ok(StoreReply::Object(current))) => self.compare(current),
            (Step::Read, Err(error)) => Next::Done(Err(CtlError::Store(error))),
            (Step::Write { .. }, Ok(StoreReply::Written(revision))) => {
                Next::Done(Ok(Written::Changed(revision)))
            }
            (Step::Write { over }, Ok(StoreReply::Conflict(current))) => {
                // An earlier copy of this write may have taken effect.
                self.settle(over, current)
            }
            (Step::Write { over }, Err(error)) => self.after_error(over, error),
            (Step::ReadBack { over }, Ok(StoreReply::Object(current))) => {
                self.settle(over, current)
            }
            (Step::ReadBack { over }, Err(_)) => self.read_back(over),
            (_, Ok(_)) => Next::Done(Err(CtlError::Store(StoreError::Unknown))),
        }
    }

    fn compare(&mut self, current: Option<Object>) -> Next {
        let revision = current.as_ref().map(|object| object.revision);
        if let Some(done) = self.already(current.as_ref()) {
            return Next::Done(Ok(done));
        }
        let fits = match self.expected {
            Expected::Version(expected) => revision == Some(expected),
            Expected::Absent | Expected::Unstated => revision.is_none(),
            Expected::Current => true,
        };
        match (fits, current) {
            (true, _) => self.write(revision, Duration::ZERO),
            (false, Some(current)) if self.expected == Expected::Unstated => {
                Next::Done(Err(CtlError::Unstated { current }))
            }
            (false, current) => self.conflict(current),
        }
    }

    /// Whether the object already is as wanted.
    fn already(&self, current: Option<&Object>) -> Option<Written> {
        match (&self.body, current) {
            (None, None) => Some(Written::Absent),
            (Some(body), Some(object)) => {
                let same = without_nonce(body) == without_nonce(&object.body);
                let meant = match self.expected {
                    Expected::Version(expected) => expected == object.revision,
                    Expected::Absent => false,
                    Expected::Unstated | Expected::Current => true,
                };
                (same && meant).then_some(Written::Unchanged(object.revision))
            }
            _ => None,
        }
    }

    fn write(&mut self, over: Option<Revision>, after: Duration) -> Next {
        self.step = Step::Write { over };
        self.attempts += 1;
        let key = self.key.clone();
        let precondition = over.map_or(Precondition::Absent, Precondition::Revision);
        let request = match &self.body {
            Some(body) => StoreRequest::Put { key, body: body.clone(), precondition },
            None => StoreRequest::Delete { key, precondition },
        };
        Next::Call { after, request }
    }

    fn after_error(&mut self, over: Option<Revision>, error: StoreError) -> Next {
        if !error.may_have_taken_effect() && self.attempts == 1 {
            return Next::Done(Err(CtlError::Store(error)));
        }
        self.read_back(over)
    }

    fn read_back(&mut self, over: Option<Revision>) -> Next {
        if self.attempts >= MAX_ATTEMPTS {
            return Next::Done(Err(CtlError::Unsettled { nonce: self.nonce }));
        }
        let after = FIRST_PAUSE * (1 << self.attempts.min(MAX_ATTEMPTS));
        self.attempts += 1;
        self.step = Step::ReadBack { over };
        Next::Call { after, request: StoreRequest::Get { key: self.key.clone() } }
    }

    /// Finds out from what stands there whether the write took effect.
    fn settle(&mut self, over: Option<Revision>, current: Option<Object>) -> Next {
        let revision = current.as_ref().map(|object| object.revision);
        let object = current.as_ref();
        let ours = match (&self.body, object) {
            (Some(body), Some(object)) => object.body == *body,
            _ => false,
        };
        match (ours, revision) {
            (true, Some(revision)) => Next::Done(Ok(Written::Changed(revision))),
            _ if self.body.is_none() && revision.is_none() => Next::Done(Ok(Written::Absent)),
            _ if revision == over => {
                if self.attempts >= MAX_ATTEMPTS {
                    return Next::Done(Err(CtlError::Unsettled { nonce: self.nonce }));
                }
                self.write(over, FIRST_PAUSE)
            }
            _ => self.conflict(current),
        }
    }

    fn conflict(&self, current: Option<Object>) -> Next {
        let read = match (self.step, self.expected) {
            (Step::Write { over } | Step::ReadBack { over }, _) => over,
            (Step::Read, Expected::Version(expected)) => Some(expected),
            (Step::Read, _) => None,
        };
        // After a lost answer the write may have been in force for a moment.
        let settled = self.attempts <= 1;
        Next::Done(Err(CtlError::Conflict { read: read.map(|read| read.0), current, settled }))
    }
}
