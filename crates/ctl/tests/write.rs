//! Compare-and-set writes of operators: races, lost replies, stale reads.

use std::time::Duration;

use bay_ctl::{ConditionalWrite, CtlError, ExpectedVersion, WriteAction, WriteOutcome};
use bay_fakes::MemStore;
use bay_store::{ObjectKey, StoreError, StoreReply, StoreRequest, StoreResult};
use bay_types::Revision;
use proptest::prelude::*;
use test_case::test_case;

fn key() -> ObjectKey {
    ObjectKey::new("service/jobs").unwrap()
}

fn put(body: &str, expected: ExpectedVersion, nonce: u64) -> ConditionalWrite {
    ConditionalWrite::new(key(), Some(body), expected, nonce)
}

/// Runs a write to its end. If `fault` returns a result for a request, that result replaces the
/// store's reply.
fn finish<F>(
    store: &mut MemStore,
    write: &mut ConditionalWrite,
    mut fault: F,
) -> Result<WriteOutcome, CtlError>
where
    F: FnMut(&mut MemStore, &StoreRequest) -> Option<StoreResult>,
{
    let mut request = write.first_request();
    loop {
        let result = fault(store, &request).unwrap_or_else(|| store.call(request));
        match write.handle_result(result) {
            WriteAction::Finish(result) => return result,
            WriteAction::CallStore { request: next, .. } => request = next,
        }
    }
}

fn run(store: &mut MemStore, mut write: ConditionalWrite) -> Result<WriteOutcome, CtlError> {
    finish(store, &mut write, |_, _| None)
}

fn body(store: &mut MemStore) -> Option<String> {
    match store.call(StoreRequest::Get { key: key() }) {
        Ok(StoreReply::Object(object)) => object.map(|object| object.body),
        other => panic!("{other:?}"),
    }
}

fn is_write(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Put { .. } | StoreRequest::Delete { .. })
}

#[test]
fn only_the_first_write_of_an_object_needs_no_version() {
    let mut store = MemStore::new();
    let first = run(&mut store, put("one", ExpectedVersion::Unspecified, 1));
    assert!(matches!(first, Ok(WriteOutcome::Changed(Revision(1)))));
    let second = run(&mut store, put("two", ExpectedVersion::Unspecified, 2));
    assert!(
        matches!(second, Err(CtlError::VersionRequired { current }) if current.revision.0 == 1)
    );
    let third = run(&mut store, put("two", ExpectedVersion::Version(Revision(1)), 3));
    assert!(matches!(third, Ok(WriteOutcome::Changed(Revision(2)))));
    let same = run(&mut store, put("two", ExpectedVersion::Unspecified, 4));
    assert!(matches!(same, Ok(WriteOutcome::Unchanged(Revision(2)))));
}

#[test]
fn a_write_over_an_older_version_reports_both_versions() {
    let mut store = MemStore::new();
    run(&mut store, put("one", ExpectedVersion::Absent, 1)).unwrap();
    run(&mut store, put("two", ExpectedVersion::Version(Revision(1)), 2)).unwrap();
    let late = run(&mut store, put("three", ExpectedVersion::Version(Revision(1)), 3));
    let Err(error @ CtlError::Conflict { read_version: Some(1), had_no_effect: true, .. }) = late
    else {
        panic!("{late:?}")
    };
    let text = error.to_string();
    assert!(
        text.contains("conflict with another write: read version 1, current version 2"),
        "{text}"
    );
    assert!(text.contains("\ntwo\n"), "{text}");
    assert!(body(&mut store).unwrap().starts_with("two"));
}

#[test]
fn a_write_between_read_and_write_is_not_overwritten() {
    let mut store = MemStore::new();
    run(&mut store, put("one", ExpectedVersion::Absent, 1)).unwrap();
    let mut write = put("mine", ExpectedVersion::Current, 2);
    let mut raced = false;
    let result = finish(&mut store, &mut write, |store, request| {
        if is_write(request) && !raced {
            raced = true;
            run(store, put("theirs", ExpectedVersion::Current, 3)).unwrap();
        }
        None
    });
    assert!(matches!(
        result,
        Err(CtlError::Conflict { read_version: Some(1), had_no_effect: true, .. })
    ));
    assert!(body(&mut store).unwrap().starts_with("theirs"));
}

#[test]
fn a_stale_read_ends_in_a_conflict() {
    let mut store = MemStore::new();
    run(&mut store, put("one", ExpectedVersion::Absent, 1)).unwrap();
    let old = store.call(StoreRequest::Get { key: key() });
    run(&mut store, put("two", ExpectedVersion::Current, 2)).unwrap();
    let mut write = put("three", ExpectedVersion::Current, 3);
    let result = finish(&mut store, &mut write, |_, request| {
        matches!(request, StoreRequest::Get { .. }).then(|| old.clone())
    });
    assert!(matches!(result, Err(CtlError::Conflict { .. })), "{result:?}");
    assert!(body(&mut store).unwrap().starts_with("two"));
}

#[test_case(true; "the write took effect")]
#[test_case(false; "the write was lost as well")]
fn a_lost_reply_is_resolved_by_reading_back(took_effect: bool) {
    let mut store = MemStore::new();
    let mut write = put("one", ExpectedVersion::Absent, 1);
    let mut lost = false;
    let result = finish(&mut store, &mut write, |store, request| {
        if lost || !is_write(request) {
            return None;
        }
        lost = true;
        if took_effect {
            store.call(request.clone()).unwrap();
        }
        Some(Err(StoreError::Unknown))
    });
    assert!(matches!(result, Ok(WriteOutcome::Changed(Revision(1)))), "{result:?}");
    assert_eq!(store.revision(), Revision(1));
}

#[test]
fn a_delayed_copy_of_a_write_has_no_effect() {
    let mut store = MemStore::new();
    let mut write = put("one", ExpectedVersion::Absent, 1);
    let mut delayed = None;
    finish(&mut store, &mut write, |_, request| {
        let first = is_write(request) && delayed.is_none();
        first.then(|| {
            delayed = Some(request.clone());
            Err(StoreError::Unknown)
        })
    })
    .unwrap();
    let late = store.call(delayed.unwrap());
    assert!(matches!(late, Ok(StoreReply::Conflict(_))));
    assert_eq!(store.revision(), Revision(1));
}

#[test]
fn a_lost_reply_before_a_newer_write_is_reported_as_uncertain() {
    let mut store = MemStore::new();
    let mut write = put("one", ExpectedVersion::Absent, 1);
    let mut lost = false;
    let result = finish(&mut store, &mut write, |store, request| {
        if lost || !is_write(request) {
            return None;
        }
        lost = true;
        store.call(request.clone()).unwrap();
        run(store, put("two", ExpectedVersion::Current, 2)).unwrap();
        Some(Err(StoreError::Unknown))
    });
    assert!(matches!(result, Err(CtlError::Conflict { had_no_effect: false, .. })), "{result:?}");
    assert!(body(&mut store).unwrap().starts_with("two"));
}

#[test]
fn a_store_that_never_replies_ends_the_write_with_an_unknown_outcome() {
    let mut store = MemStore::new();
    let mut write = put("one", ExpectedVersion::Absent, 1);
    let mut waited = Duration::ZERO;
    let mut result = store.call(write.first_request());
    let end = loop {
        match write.handle_result(result) {
            WriteAction::Finish(end) => break end,
            WriteAction::CallStore { delay, .. } => waited += delay,
        }
        result = Err(StoreError::Unknown);
    };
    assert!(matches!(end, Err(CtlError::UnknownOutcome { nonce: 1 })), "{end:?}");
    assert!(waited < Duration::from_secs(30));
}

#[test_case(ExpectedVersion::Version(Revision(1)), true; "the current version")]
#[test_case(ExpectedVersion::Version(Revision(7)), false; "another version")]
#[test_case(ExpectedVersion::Unspecified, false; "no version")]
fn a_delete_needs_the_current_version(expected: ExpectedVersion, deleted: bool) {
    let mut store = MemStore::new();
    run(&mut store, put("one", ExpectedVersion::Absent, 1)).unwrap();
    let result = run(&mut store, ConditionalWrite::new(key(), None, expected, 2));
    assert_eq!(matches!(result, Ok(WriteOutcome::Changed(Revision(2)))), deleted);
    assert_eq!(body(&mut store).is_none(), deleted);
}

/// Faults of successive store calls: 1 loses the reply, 2 loses the request, and other values let
/// the call succeed.
fn faults() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(0..4u8, 0..40)
}

proptest! {
    #[test]
    fn interleaved_writes_never_overwrite_an_unread_version(
        order in prop::collection::vec(0..2usize, 1..60),
        faults in faults(),
    ) {
        let mut store = MemStore::new();
        run(&mut store, put("start", ExpectedVersion::Absent, 9)).unwrap();
        let base = ExpectedVersion::Version(Revision(1));
        let mut writes = [put("left", base, 1), put("right", base, 2)];
        let mut requests = [Some(writes[0].first_request()), Some(writes[1].first_request())];
        let mut results = [None, None];
        let mut faults = faults.into_iter().chain(std::iter::repeat(0));
        let rest = (0..60).map(|turn| turn % 2);
        for writer in order.into_iter().chain(rest) {
            let Some(request) = requests[writer].take() else { continue };
            let result = match faults.next() {
                Some(1) => store.call(request).and(Err(StoreError::Unknown)),
                Some(2) => Err(StoreError::Unknown),
                _ => store.call(request),
            };
            match writes[writer].handle_result(result) {
                WriteAction::Finish(end) => results[writer] = Some(end),
                WriteAction::CallStore { request, .. } => requests[writer] = Some(request),
            }
        }
        // Both writes replace version 1, so at most one of them can take effect.
        prop_assert!(store.revision() <= Revision(2));
        let changed =
            results.iter().flatten().filter(|end| matches!(end, Ok(WriteOutcome::Changed(_))));
        prop_assert!(changed.count() <= 1);
        for (writer, end) in results.iter().enumerate() {
            if let Some(Ok(WriteOutcome::Changed(_))) = end {
                let name = ["left", "right"][writer];
                prop_assert!(body(&mut store).unwrap().starts_with(name));
            }
        }
    }
}
