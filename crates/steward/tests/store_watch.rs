//! The store watch with a store that is down, slow, rolled back or compacted.

use std::collections::BTreeMap;
use std::time::Duration;

use bay_fakes::{MemStore, StoreFault};
use bay_steward::{StoreWatch, WatchCallId, WatchOutput};
use bay_store::{Expect, ObjectKey, StoreError, StoreReply, StoreRequest};
use bay_time::Time;
use bay_types::Revision;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(10);
const PREFIXES: &[&str] = &[ObjectKey::SERVICES, ObjectKey::ZONES];

struct Waiting {
    id: WatchCallId,
    request: StoreRequest,
    until: Time,
}

/// One store watch and one store on virtual time.
struct Run {
    now: Time,
    watch: StoreWatch,
    store: MemStore,
    waiting: Vec<Waiting>,
    /// Time that a reply takes.
    latency: Duration,
    late: Vec<(Time, WatchCallId, Result<StoreReply, StoreError>)>,
    seen: BTreeMap<ObjectKey, (Revision, Option<String>)>,
    calls: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let now = Time::from_millis(1_000);
        Run {
            now,
            watch: StoreWatch::new(PREFIXES, seed, now),
            store: MemStore::new(),
            waiting: Vec::new(),
            latency: Duration::from_millis(3),
            late: Vec::new(),
            seen: BTreeMap::new(),
            calls: 0,
        }
    }

    fn watching(seed: u64) -> Run {
        let mut run = Run::new(seed);
        for prefix in PREFIXES {
            run.watch.set_watching(run.now, prefix, true);
        }
        run
    }

    fn put(&mut self, name: &str, body: &str) -> Revision {
        let key = ObjectKey::new(name).unwrap();
        let read = self.store.call(StoreRequest::Get { key: key.clone() });
        let Ok(StoreReply::Object(read)) = read else { panic!("{read:?}") };
        let expect = read.map_or(Expect::Absent, |object| Expect::Revision(object.revision));
        let put = StoreRequest::Put { key, body: body.to_owned(), expect };
        let Ok(StoreReply::Written(revision)) = self.store.call(put) else { panic!("not written") };
        revision
    }

    fn delete(&mut self, name: &str, revision: Revision) {
        let key = ObjectKey::new(name).unwrap();
        let delete = StoreRequest::Delete { key, expect: Expect::Revision(revision) };
        assert!(matches!(self.store.call(delete), Ok(StoreReply::Written(_))));
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let mut out = Vec::new();
            self.watch.tick(self.now, &mut out);
            self.answer_waiting();
            let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, id, result) in due {
                self.watch.handle_reply(self.now, id, result, &mut out);
            }
            for output in out {
                self.perform(output);
            }
        }
    }

    fn perform(&mut self, output: WatchOutput) {
        match output {
            WatchOutput::Call { id, request } => {
                self.calls += 1;
                let wait = match &request {
                    StoreRequest::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                self.waiting.push(Waiting { id, request, until: self.now + wait });
            }
            WatchOutput::Changed(change) => {
                let before = self.seen.insert(change.key, (change.revision, change.body));
                assert!(before.is_none_or(|before| before.0 < change.revision), "reverted");
            }
        }
    }

    fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let result = self.store.call(waiting.request.clone());
            let empty = match &result {
                Ok(StoreReply::Changes(body)) => body.changes.is_empty() && !body.compacted,
                _ => false,
            };
            if empty && self.now < waiting.until {
                self.waiting.push(waiting);
            } else {
                self.late.push((self.now + self.latency, waiting.id, result));
            }
        }
    }

    fn body(&self, name: &str) -> Option<&str> {
        self.seen.get(&ObjectKey::new(name).unwrap())?.1.as_deref()
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_change_is_seen_within_a_fifth_of_a_second(seed: u64) {
    let mut run = Run::watching(seed);
    run.put("service/jobs", "one");
    run.run(Duration::from_secs(1));
    assert_eq!(run.body("service/jobs"), Some("one"));
    for round in 0..20 {
        let body = format!("body {round}");
        run.put("service/jobs", &body);
        run.run(Duration::from_millis(200));
        assert_eq!(run.body("service/jobs"), Some(body.as_str()));
    }
}

#[test]
fn an_idle_watch_makes_few_calls() {
    let mut run = Run::watching(1);
    run.put("service/jobs", "one");
    run.run(Duration::from_secs(600));
    // One call every 20 s for each of two prefixes, and the first lists.
    assert!(run.calls <= 64, "{} calls", run.calls);
}

#[test]
fn a_delete_and_a_new_creation_are_seen_in_order() {
    let mut run = Run::watching(1);
    let first = run.put("service/jobs", "one");
    run.run(Duration::from_secs(1));
    run.delete("service/jobs", first);
    run.run(Duration::from_secs(1));
    assert_eq!(run.body("service/jobs"), None);
    run.put("service/jobs", "two");
    run.run(Duration::from_secs(1));
    assert_eq!(run.body("service/jobs"), Some("two"));
}

#[test]
fn a_delete_that_nobody_watched_is_found() {
    let mut run = Run::new(1);
    let revision = run.put("service/jobs", "one");
    // The watch knows the object only from a peer.
    run.watch.record_peer_object(&ObjectKey::new("service/jobs").unwrap(), revision, true);
    run.delete("service/jobs", revision);
    run.watch.set_watching(run.now, ObjectKey::SERVICES, true);
    run.run(Duration::from_secs(1));
    let (revision, body) = &run.seen[&ObjectKey::new("service/jobs").unwrap()];
    assert_eq!((revision.0, body.as_deref()), (2, None));
}

#[test]
fn a_store_that_forgot_the_changes_is_listed_again() {
    let mut run = Run::watching(1);
    run.put("service/jobs", "one");
    run.run(Duration::from_secs(1));
    run.store.set_fault(StoreFault::Down);
    run.run(Duration::from_secs(1));
    run.store.set_fault(StoreFault::None);
    for _ in 0..5_000 {
        run.put("term/jobs/a", "x");
    }
    run.put("service/jobs", "two");
    run.run(Duration::from_secs(10));
    assert_eq!(run.body("service/jobs"), Some("two"));
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_store_that_returns_with_an_older_answer_reverts_nothing(seed: u64) {
    let mut run = Run::watching(seed);
    run.put("service/photos", "kept");
    run.put("service/jobs", "one");
    run.put("service/jobs", "two");
    run.run(Duration::from_secs(1));
    let newest = std::mem::take(&mut run.store);
    run.store.set_fault(StoreFault::Down);
    run.run(Duration::from_secs(60));
    run.store.set_fault(StoreFault::None);
    run.put("service/jobs", "older");
    run.run(Duration::from_secs(60));
    assert_eq!(run.body("service/jobs"), Some("two"));
    assert_eq!(run.body("service/photos"), Some("kept"));
    assert!(run.watch.stale_count() > 0);
    run.store = newest;
    run.put("service/jobs", "three");
    run.run(Duration::from_secs(10));
    assert_eq!(run.body("service/jobs"), Some("three"));
}

#[test_case(StoreFault::Down)]
#[test_case(StoreFault::AnswersLost)]
fn a_long_outage_costs_few_calls_and_ends_soon(fault: StoreFault) {
    let mut run = Run::watching(1);
    run.put("service/jobs", "one");
    run.run(Duration::from_secs(1));
    run.put("service/jobs", "two");
    run.store.set_fault(fault);
    let before = run.calls;
    run.run(Duration::from_secs(600));
    let calls = run.calls - before;
    assert!(calls < 400, "{calls} calls");
    run.store.set_fault(StoreFault::None);
    run.run(Duration::from_secs(7));
    assert_eq!(run.body("service/jobs"), Some("two"));
}

#[test]
fn answers_that_come_too_late_change_nothing() {
    let mut run = Run::watching(1);
    run.put("service/jobs", "one");
    run.latency = Duration::from_secs(15);
    run.run(Duration::from_secs(60));
    assert_eq!(run.body("service/jobs"), None);
    run.latency = Duration::from_millis(3);
    run.run(Duration::from_secs(60));
    assert_eq!(run.body("service/jobs"), Some("one"));
}

#[test]
fn a_node_that_does_not_watch_reads_only_when_its_peers_are_silent() {
    let mut run = Run::new(1);
    run.put("service/jobs", "one");
    for _ in 0..60 {
        run.watch.record_peer_contact(run.now);
        run.run(Duration::from_secs(1));
    }
    assert_eq!((run.calls, run.body("service/jobs")), (0, None));
    run.run(Duration::from_secs(60));
    assert_eq!(run.body("service/jobs"), Some("one"));
    assert!(run.calls <= 2 * 12, "{} calls", run.calls);
}

#[test]
fn an_older_list_does_not_bring_back_what_was_deleted_unseen() {
    let mut older = MemStore::new();
    let key = ObjectKey::new("service/gone").unwrap();
    let put = StoreRequest::Put { key, body: "gone".to_owned(), expect: Expect::Absent };
    older.call(put).unwrap();
    let mut run = Run::new(1);
    let gone = run.put("service/gone", "gone");
    run.delete("service/gone", gone);
    run.put("service/jobs", "kept");
    run.watch.set_watching(run.now, ObjectKey::SERVICES, true);
    run.run(Duration::from_secs(1));
    assert_eq!(run.body("service/jobs"), Some("kept"));
    run.store = older;
    run.watch.set_watching(run.now, ObjectKey::SERVICES, false);
    run.watch.set_watching(run.now, ObjectKey::SERVICES, true);
    run.run(Duration::from_secs(30));
    assert_eq!(run.body("service/gone"), None);
    assert!(run.watch.stale_count() > 0);
}

#[test]
fn an_object_known_newer_from_a_peer_is_not_taken_from_the_store() {
    let mut run = Run::new(1);
    run.put("service/jobs", "older");
    run.watch.record_peer_object(&ObjectKey::new("service/jobs").unwrap(), Revision(7), true);
    run.watch.set_watching(run.now, ObjectKey::SERVICES, true);
    run.run(Duration::from_secs(10));
    assert!(run.seen.is_empty());
    assert!(run.watch.stale_count() > 0);
}
