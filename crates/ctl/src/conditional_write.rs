use std::time::Duration;

use bay_store::{
    Object, ObjectKey, Precondition, StoreError, StoreReply, StoreRequest, StoreResult,
};
use bay_types::Revision;

use crate::CtlError;
use crate::object_text::{with_nonce, without_nonce};

/// Maximum number of writes and read-backs together. After them, the outcome is reported as
/// unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before a repeated write. The delay before a read-back is twice this after the first
/// attempt and doubles with each further attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// The stored version on which a write depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// The object must be at this version.
    Version(Revision),
    /// The object must not exist.
    Absent,
    /// The operator specified no version. The object must not exist or already have the wanted
    /// text; an object that exists is not deleted.
    Unspecified,
    /// The version that is stored when the command starts, or no object.
    Current,
}

/// A compare-and-set write or delete of one object, as a state machine without I/O.
///
/// If the reply to the write is lost, the object is read back. The nonce in the object shows
/// whether the write took effect. If the object is still at the version to replace, the same write
/// is sent again with the same precondition. At most one of the two copies can take effect.
#[derive(Debug)]
pub struct ConditionalWrite {
    key: ObjectKey,
    body: Option<String>,
    expected: ExpectedVersion,
    nonce: u64,
    phase: WritePhase,
    /// Writes and read-backs so far.
    attempts: u32,
}

/// The call whose result a write waits for. `base` is the version to replace, or `None` for no
/// object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WritePhase {
    Read,
    Write { base: Option<Revision> },
    ReadBack { base: Option<Revision> },
}

/// The next action of the caller of a [`ConditionalWrite`].
#[derive(Debug)]
pub enum WriteAction {
    /// Call the store after a delay and pass the result to [`ConditionalWrite::handle_result`].
    CallStore {
        /// Time to wait before the call; zero for the first write.
        delay: Duration,
        /// Request to send to the store.
        request: StoreRequest,
    },
    /// Return this result; the write has ended.
    Finish(Result<WriteOutcome, CtlError>),
}

/// The outcome of a successful write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write or delete took effect and has this revision.
    Changed(Revision),
    /// The object already had the wanted text, at this version.
    Unchanged(Revision),
    /// The object to delete does not exist.
    Absent,
}

impl ConditionalWrite {
    /// Creates a write of `body`, or a delete if it is `None`. Each write needs a new random nonce.
    pub fn new(
        key: ObjectKey,
        body: Option<&str>,
        expected: ExpectedVersion,
        nonce: u64,
    ) -> ConditionalWrite {
        let body = body.map(|body| with_nonce(body, nonce));
        ConditionalWrite { key, body, expected, nonce, phase: WritePhase::Read, attempts: 0 }
    }

    /// Returns the first request, which reads the object.
    pub fn first_request(&self) -> StoreRequest {
        StoreRequest::Get { key: self.key.clone() }
    }

    /// Handles the result of the last call and returns the next action.
    pub fn handle_result(&mut self, result: StoreResult) -> WriteAction {
        match (self.phase, result) {
            (WritePhase::Read, Ok(StoreReply::Object(current))) => self.check_version(current),
            (WritePhase::Read, Err(error)) => WriteAction::Finish(Err(CtlError::Store(error))),
            (WritePhase::Write { .. }, Ok(StoreReply::Written(revision))) => {
                WriteAction::Finish(Ok(WriteOutcome::Changed(revision)))
            }
            (WritePhase::Write { base }, Ok(StoreReply::Conflict(current))) => {
                // An earlier copy of this write may have taken effect.
                self.resolve_lost_reply(base, current)
            }
            (WritePhase::Write { base }, Err(error)) => self.handle_write_error(base, error),
            (WritePhase::ReadBack { base }, Ok(StoreReply::Object(current))) => {
                self.resolve_lost_reply(base, current)
            }
            (WritePhase::ReadBack { base }, Err(_)) => self.read_back(base),
            (_, Ok(_)) => WriteAction::Finish(Err(CtlError::Store(StoreError::Unknown))),
        }
    }

    fn check_version(&mut self, current: Option<Object>) -> WriteAction {
        let revision = current.as_ref().map(|object| object.revision);
        if let Some(done) = self.find_unchanged(current.as_ref()) {
            return WriteAction::Finish(Ok(done));
        }
        let matches_expected = match self.expected {
            ExpectedVersion::Version(expected) => revision == Some(expected),
            ExpectedVersion::Absent | ExpectedVersion::Unspecified => revision.is_none(),
            ExpectedVersion::Current => true,
        };
        match (matches_expected, current) {
            (true, _) => self.send_write(revision, Duration::ZERO),
            (false, Some(current)) if self.expected == ExpectedVersion::Unspecified => {
                WriteAction::Finish(Err(CtlError::VersionRequired { current }))
            }
            (false, current) => self.finish_with_conflict(current),
        }
    }

    /// Returns the outcome if the object already is as wanted and nothing needs to be written.
    fn find_unchanged(&self, current: Option<&Object>) -> Option<WriteOutcome> {
        match (&self.body, current) {
            (None, None) => Some(WriteOutcome::Absent),
            (Some(body), Some(object)) => {
                let same = without_nonce(body) == without_nonce(&object.body);
                let is_allowed = match self.expected {
                    ExpectedVersion::Version(expected) => expected == object.revision,
                    ExpectedVersion::Absent => false,
                    ExpectedVersion::Unspecified | ExpectedVersion::Current => true,
                };
                (same && is_allowed).then_some(WriteOutcome::Unchanged(object.revision))
            }
            _ => None,
        }
    }

    fn send_write(&mut self, base: Option<Revision>, delay: Duration) -> WriteAction {
        self.phase = WritePhase::Write { base };
        self.attempts += 1;
        let key = self.key.clone();
        let precondition = base.map_or(Precondition::Absent, Precondition::Revision);
        let request = match &self.body {
            Some(body) => StoreRequest::Put { key, body: body.clone(), precondition },
            None => StoreRequest::Delete { key, precondition },
        };
        WriteAction::CallStore { delay, request }
    }

    /// Returns the error if the first write certainly had no effect. In all other cases, this write
    /// or an earlier copy may have taken effect, so the object is read back.
    fn handle_write_error(&mut self, base: Option<Revision>, error: StoreError) -> WriteAction {
        if !error.may_have_taken_effect() && self.attempts == 1 {
            return WriteAction::Finish(Err(CtlError::Store(error)));
        }
        self.read_back(base)
    }

    fn read_back(&mut self, base: Option<Revision>) -> WriteAction {
        if self.attempts >= MAX_ATTEMPTS {
            return WriteAction::Finish(Err(CtlError::UnknownOutcome { nonce: self.nonce }));
        }
        let delay = BACKOFF_BASE * (1 << self.attempts.min(MAX_ATTEMPTS));
        self.attempts += 1;
        self.phase = WritePhase::ReadBack { base };
        WriteAction::CallStore { delay, request: StoreRequest::Get { key: self.key.clone() } }
    }

    /// Determines from the stored object whether the write took effect. Sends the write again if
    /// the object is still at the version to replace.
    fn resolve_lost_reply(
        &mut self,
        base: Option<Revision>,
        current: Option<Object>,
    ) -> WriteAction {
        let revision = current.as_ref().map(|object| object.revision);
        let object = current.as_ref();
        let is_own_write = match (&self.body, object) {
            (Some(body), Some(object)) => object.body == *body,
            _ => false,
        };
        match (is_own_write, revision) {
            (true, Some(revision)) => WriteAction::Finish(Ok(WriteOutcome::Changed(revision))),
            _ if self.body.is_none() && revision.is_none() => {
                WriteAction::Finish(Ok(WriteOutcome::Absent))
            }
            _ if revision == base => {
                if self.attempts >= MAX_ATTEMPTS {
                    return WriteAction::Finish(Err(CtlError::UnknownOutcome {
                        nonce: self.nonce,
                    }));
                }
                self.send_write(base, BACKOFF_BASE)
            }
            _ => self.finish_with_conflict(current),
        }
    }

    fn finish_with_conflict(&self, current: Option<Object>) -> WriteAction {
        let read = match (self.phase, self.expected) {
            (WritePhase::Write { base } | WritePhase::ReadBack { base }, _) => base,
            (WritePhase::Read, ExpectedVersion::Version(expected)) => Some(expected),
            (WritePhase::Read, _) => None,
        };
        // After a lost reply, the write may have been in force until another write replaced it.
        let had_no_effect = self.attempts <= 1;
        WriteAction::Finish(Err(CtlError::Conflict {
            read_version: read.map(|read| read.0),
            current,
            had_no_effect,
        }))
    }
}
