//! The store watch with a store that is down, slow, rolled back or compacted.

use std::collections::BTreeMap;
use std::time::Duration;

use bay_fakes::{MemStore, StoreFault};
use bay_steward::{StoreWatch, WatchCallId, WatchOutput};
use bay_store::{ObjectKey, Precondition, StoreError, StoreReply, StoreRequest};
use bay_time::Time;
use bay_types::Revision;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(10);
const PREFIXES: &[&str] = &[ObjectKey::SERVICES, ObjectKey::ZONES];

struct OpenCall {
    id: WatchCallId,
    request: StoreRequest,
    until: Time,
}

/// One store watch and one store on virtual time.
struct Simulation {
    now: Time,
    watch: StoreWatch,
    store: MemStore,
    open_calls: Vec<OpenCall>,
    /// Time that a reply takes.
    latency: Duration,
    replies: Vec<(Time, WatchCallId, Result<StoreReply, StoreError>)>,
    seen: BTreeMap<ObjectKey, (Revision, Option<String>)>,
    calls: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let now = Time::from_millis(1_000);
        Simulation {
            now,
            watch: StoreWatch::new(PREFIXES, seed, now),
            store: MemStore::new(),
            open_calls: Vec::new(),
            latency: Duration::from_millis(3),
            replies: Vec::new(),
            seen: BTreeMap::new(),
            calls: 0,
        }
    }

    fn watching(seed: u64) -> Simulation {
        let mut sim = Simulation::new(seed);
        for prefix in PREFIXES {
            sim.watch.set_watching(sim.now, prefix, true);
        }
        sim
    }

    fn put(&mut self, name: &str, body: &str) -> Revision {
        let key = ObjectKey::new(name).unwrap();
        let read = self.store.call(StoreRequest::Get { key: key.clone() });
        let Ok(StoreReply::Object(read)) = read else { panic!("{read:?}") };
        let precondition =
            read.map_or(Precondition::Absent, |object| Precondition::Revision(object.revision));
        let put = StoreRequest::Put { key, body: body.to_owned(), precondition };
        let Ok(StoreReply::Written(revision)) = self.store.call(put) else { panic!("not written") };
        revision
    }

    fn delete(&mut self, name: &str, revision: Revision) {
        let key = ObjectKey::new(name).unwrap();
        let delete = StoreRequest::Delete { key, precondition: Precondition::Revision(revision) };
        assert!(matches!(self.store.call(delete), Ok(StoreReply::Written(_))));
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let mut out = Vec::new();
            self.watch.tick(self.now, &mut out);
            self.answer_open_calls();
            let due: Vec<_> = self.replies.extract_if(.., |(at, ..)| *at <= self.now).collect();
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
                self.open_calls.push(OpenCall { id, request, until: self.now + wait });
            }
            WatchOutput::Changed(change) => {
                let before = self.seen.insert(change.key, (change.revision, change.body));
                assert!(before.is_none_or(|before| before.0 < change.revision), "reverted");
            }
        }
    }

    fn answer_open_calls(&mut self) {
        for call in std::mem::take(&mut self.open_calls) {
            let result = self.store.call(call.request.clone());
            let empty = match &result {
                Ok(StoreReply::Changes(body)) => body.changes.is_empty() && !body.compacted,
                _ => false,
            };
            if empty && self.now < call.until {
                self.open_calls.push(call);
            } else {
                self.replies.push((self.now + self.latency, call.id, result));
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
    let mut sim = Simulation::watching(seed);
    sim.put("service/jobs", "one");
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.body("service/jobs"), Some("one"));
    for round in 0..20 {
        let body = format!("body {round}");
        sim.put("service/jobs", &body);
        sim.run_for(Duration::from_millis(200));
        assert_eq!(sim.body("service/jobs"), Some(body.as_str()));
    }
}

#[test]
fn an_idle_watch_makes_few_calls() {
    let mut sim = Simulation::watching(1);
    sim.put("service/jobs", "one");
    sim.run_for(Duration::from_secs(600));
    // One call every 20 s for each of two prefixes, and the first lists.
    assert!(sim.calls <= 64, "{} calls", sim.calls);
}

#[test]
fn a_delete_and_a_new_creation_are_seen_in_order() {
    let mut sim = Simulation::watching(1);
    let first = sim.put("service/jobs", "one");
    sim.run_for(Duration::from_secs(1));
    sim.delete("service/jobs", first);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.body("service/jobs"), None);
    sim.put("service/jobs", "two");
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.body("service/jobs"), Some("two"));
}

#[test]
fn a_delete_before_the_watch_starts_is_reported() {
    let mut sim = Simulation::new(1);
    let revision = sim.put("service/jobs", "one");
    // The watch knows the object only from a peer.
    sim.watch.record_peer_object(&ObjectKey::new("service/jobs").unwrap(), revision, true);
    sim.delete("service/jobs", revision);
    sim.watch.set_watching(sim.now, ObjectKey::SERVICES, true);
    sim.run_for(Duration::from_secs(1));
    let (revision, body) = &sim.seen[&ObjectKey::new("service/jobs").unwrap()];
    assert_eq!((revision.0, body.as_deref()), (2, None));
}

#[test]
fn a_compacted_store_is_listed_again() {
    let mut sim = Simulation::watching(1);
    sim.put("service/jobs", "one");
    sim.run_for(Duration::from_secs(1));
    sim.store.set_fault(StoreFault::Down);
    sim.run_for(Duration::from_secs(1));
    sim.store.set_fault(StoreFault::None);
    for _ in 0..5_000 {
        sim.put("term/jobs/a", "x");
    }
    sim.put("service/jobs", "two");
    sim.run_for(Duration::from_secs(10));
    assert_eq!(sim.body("service/jobs"), Some("two"));
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_store_with_older_revisions_reverts_nothing(seed: u64) {
    let mut sim = Simulation::watching(seed);
    sim.put("service/photos", "kept");
    sim.put("service/jobs", "one");
    sim.put("service/jobs", "two");
    sim.run_for(Duration::from_secs(1));
    let newest = std::mem::take(&mut sim.store);
    sim.store.set_fault(StoreFault::Down);
    sim.run_for(Duration::from_secs(60));
    sim.store.set_fault(StoreFault::None);
    sim.put("service/jobs", "older");
    sim.run_for(Duration::from_secs(60));
    assert_eq!(sim.body("service/jobs"), Some("two"));
    assert_eq!(sim.body("service/photos"), Some("kept"));
    assert!(sim.watch.stale_count() > 0);
    sim.store = newest;
    sim.put("service/jobs", "three");
    sim.run_for(Duration::from_secs(10));
    assert_eq!(sim.body("service/jobs"), Some("three"));
}

#[test_case(StoreFault::Down)]
#[test_case(StoreFault::RepliesLost)]
fn calls_back_off_in_a_long_outage_and_recover_within_seven_seconds(fault: StoreFault) {
    let mut sim = Simulation::watching(1);
    sim.put("service/jobs", "one");
    sim.run_for(Duration::from_secs(1));
    sim.put("service/jobs", "two");
    sim.store.set_fault(fault);
    let before = sim.calls;
    sim.run_for(Duration::from_secs(600));
    let calls = sim.calls - before;
    assert!(calls < 400, "{calls} calls");
    sim.store.set_fault(StoreFault::None);
    sim.run_for(Duration::from_secs(7));
    assert_eq!(sim.body("service/jobs"), Some("two"));
}

#[test]
fn replies_after_the_timeout_are_ignored() {
    let mut sim = Simulation::watching(1);
    sim.put("service/jobs", "one");
    sim.latency = Duration::from_secs(15);
    sim.run_for(Duration::from_secs(60));
    assert_eq!(sim.body("service/jobs"), None);
    sim.latency = Duration::from_millis(3);
    sim.run_for(Duration::from_secs(60));
    assert_eq!(sim.body("service/jobs"), Some("one"));
}

#[test]
fn a_node_that_does_not_watch_reads_only_when_its_peers_are_silent() {
    let mut sim = Simulation::new(1);
    sim.put("service/jobs", "one");
    for _ in 0..60 {
        sim.watch.record_peer_contact(sim.now);
        sim.run_for(Duration::from_secs(1));
    }
    assert_eq!((sim.calls, sim.body("service/jobs")), (0, None));
    sim.run_for(Duration::from_secs(60));
    assert_eq!(sim.body("service/jobs"), Some("one"));
    assert!(sim.calls <= 2 * 12, "{} calls", sim.calls);
}

#[test]
fn an_older_list_does_not_restore_an_object_deleted_before_the_watch() {
    let mut older = MemStore::new();
    let key = ObjectKey::new("service/gone").unwrap();
    let put =
        StoreRequest::Put { key, body: "gone".to_owned(), precondition: Precondition::Absent };
    older.call(put).unwrap();
    let mut sim = Simulation::new(1);
    let gone = sim.put("service/gone", "gone");
    sim.delete("service/gone", gone);
    sim.put("service/jobs", "kept");
    sim.watch.set_watching(sim.now, ObjectKey::SERVICES, true);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.body("service/jobs"), Some("kept"));
    sim.store = older;
    sim.watch.set_watching(sim.now, ObjectKey::SERVICES, false);
    sim.watch.set_watching(sim.now, ObjectKey::SERVICES, true);
    sim.run_for(Duration::from_secs(30));
    assert_eq!(sim.body("service/gone"), None);
    assert!(sim.watch.stale_count() > 0);
}

#[test]
fn an_object_older_than_a_peers_version_is_ignored() {
    let mut sim = Simulation::new(1);
    sim.put("service/jobs", "older");
    sim.watch.record_peer_object(&ObjectKey::new("service/jobs").unwrap(), Revision(7), true);
    sim.watch.set_watching(sim.now, ObjectKey::SERVICES, true);
    sim.run_for(Duration::from_secs(10));
    assert!(sim.seen.is_empty());
    assert!(sim.watch.stale_count() > 0);
}
