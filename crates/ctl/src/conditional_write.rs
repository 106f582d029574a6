use std::time::Duration;

use bay_store::{Expect, Object, ObjectKey, StoreError, StoreReply, StoreRequest, StoreResult};
use bay_types::Revision;

use crate::CtlError;
use crate::object_text::{with_nonce, without_nonce};

/// Most times that a write whose answer was lost is looked at before it is given up as unknown.
const MAX_ATTEMPTS: u32 = 6;
/// First pause before the object is read back; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The version that an operator means to replace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// This version.
    Version(Revision),
    /// No object.
    Absent,
    /// The operator did not say: only a new object is written.
    Unspecified,
    /// Whatever is there when the command starts.
    Current,
}

/// One compare-and-set write of an operator, without I/O.
///
/// After a lost answer, the object is read back: the nonce in it shows
/// whether the write took effect. Only if the object still is at the version to be replaced is the
/// same write sent again, on the same condition, so that at most one of the two takes effect.
#[derive(Debug)]
pub struct ConditionalWrite {
    key: ObjectKey,
    body: Option<String>,
    expected: ExpectedVersion,
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

/// What a [`ConditionalWrite`] needs next.
#[derive(Debug)]
pub enum WriteAction {
    /// Calls the store after a pause and gives the answer to [`ConditionalWrite::handle_result`].
    CallStore {
        /// The pause.
        after: Duration,
        /// What to call.
        request: StoreRequest,
    },
    /// The write has ended.
    Finish(Result<WriteOutcome, CtlError>),
}

/// What a successful write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object is at this new version.
    Changed(Revision),
    /// The object already was as wanted, at this version.
    Unchanged(Revision),
    /// There was no object to delete.
    Absent,
}

impl ConditionalWrite {
    /// A write of a text, or a delete; the nonce must be used once.
    pub fn new(
        key: ObjectKey,
        body: Option<&str>,
        expected: ExpectedVersion,
        nonce: u64,
    ) -> ConditionalWrite {
        let body = body.map(|body| with_nonce(body, nonce));
        ConditionalWrite { key, body, expected, nonce, step: Step::Read, attempts: 0 }
    }

    /// The first call.
    pub fn first_request(&self) -> StoreRequest {
        StoreRequest::Get { key: self.key.clone() }
    }

    /// Takes the answer to the last call.
    pub fn handle_result(&mut self, result: StoreResult) -> WriteAction {
        match (self.step, result) {
            (Step::Read, Ok(StoreReply::Object(current))) => self.compare(current),
            (Step::Read, Err(error)) => WriteAction::Finish(Err(CtlError::Store(error))),
            (Step::Write { .. }, Ok(StoreReply::Written(revision))) => {
                WriteAction::Finish(Ok(WriteOutcome::Changed(revision)))
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
            (_, Ok(_)) => WriteAction::Finish(Err(CtlError::Store(StoreError::Unknown))),
        }
    }

    fn compare(&mut self, current: Option<Object>) -> WriteAction {
        let revision = current.as_ref().map(|object| object.revision);
        if let Some(done) = self.already(current.as_ref()) {
            return WriteAction::Finish(Ok(done));
        }
        let fits = match self.expected {
            ExpectedVersion::Version(expected) => revision == Some(expected),
            ExpectedVersion::Absent | ExpectedVersion::Unspecified => revision.is_none(),
            ExpectedVersion::Current => true,
        };
        match (fits, current) {
            (true, _) => self.write(revision, Duration::ZERO),
            (false, Some(current)) if self.expected == ExpectedVersion::Unspecified => {
                WriteAction::Finish(Err(CtlError::VersionRequired { current }))
            }
            (false, current) => self.conflict(current),
        }
    }

    /// Whether the object already is as wanted.
    fn already(&self, current: Option<&Object>) -> Option<WriteOutcome> {
        match (&self.body, current) {
            (None, None) => Some(WriteOutcome::Absent),
            (Some(body), Some(object)) => {
                let same = without_nonce(body) == without_nonce(&object.body);
                let meant = match self.expected {
                    ExpectedVersion::Version(expected) => expected == object.revision,
                    ExpectedVersion::Absent => false,
                    ExpectedVersion::Unspecified | ExpectedVersion::Current => true,
                };
                (same && meant).then_some(WriteOutcome::Unchanged(object.revision))
            }
            _ => None,
        }
    }

    fn write(&mut self, over: Option<Revision>, after: Duration) -> WriteAction {
        self.step = Step::Write { over };
        self.attempts += 1;
        let key = self.key.clone();
        let expect = over.map_or(Expect::Absent, Expect::Revision);
        let request = match &self.body {
            Some(body) => StoreRequest::Put { key, body: body.clone(), expect },
            None => StoreRequest::Delete { key, expect },
        };
        WriteAction::CallStore { after, request }
    }

    fn after_error(&mut self, over: Option<Revision>, error: StoreError) -> WriteAction {
        if !error.may_have_taken_effect() && self.attempts == 1 {
            return WriteAction::Finish(Err(CtlError::Store(error)));
        }
        self.read_back(over)
    }

    fn read_back(&mut self, over: Option<Revision>) -> WriteAction {
        if self.attempts >= MAX_ATTEMPTS {
            return WriteAction::Finish(Err(CtlError::UnknownOutcome { nonce: self.nonce }));
        }
        let after = FIRST_PAUSE * (1 << self.attempts.min(MAX_ATTEMPTS));
        self.attempts += 1;
        self.step = Step::ReadBack { over };
        WriteAction::CallStore { after, request: StoreRequest::Get { key: self.key.clone() } }
    }

    /// Finds out from what stands there whether the write took effect.
    fn settle(&mut self, over: Option<Revision>, current: Option<Object>) -> WriteAction {
        let revision = current.as_ref().map(|object| object.revision);
        let object = current.as_ref();
        let ours = match (&self.body, object) {
            (Some(body), Some(object)) => object.body == *body,
            _ => false,
        };
        match (ours, revision) {
            (true, Some(revision)) => WriteAction::Finish(Ok(WriteOutcome::Changed(revision))),
            _ if self.body.is_none() && revision.is_none() => {
                WriteAction::Finish(Ok(WriteOutcome::Absent))
            }
            _ if revision == over => {
                if self.attempts >= MAX_ATTEMPTS {
                    return WriteAction::Finish(Err(CtlError::UnknownOutcome {
                        nonce: self.nonce,
                    }));
                }
                self.write(over, FIRST_PAUSE)
            }
            _ => self.conflict(current),
        }
    }

    fn conflict(&self, current: Option<Object>) -> WriteAction {
        let read = match (self.step, self.expected) {
            (Step::Write { over } | Step::ReadBack { over }, _) => over,
            (Step::Read, ExpectedVersion::Version(expected)) => Some(expected),
            (Step::Read, _) => None,
        };
        // After a lost answer the write may have been in force for a moment.
        let had_no_effect = self.attempts <= 1;
        WriteAction::Finish(Err(CtlError::Conflict {
            read_version: read.map(|read| read.0),
            current,
            had_no_effect,
        }))
    }
}
