//! Routing by keys and owners, zones, and the application of documents and routes.

use std::time::Duration;

use bay_call::NotRunReason;
use bay_gate::ApplyResult;
use bay_types::{ErrorKind, Token};
use bay_wire::ItemKey;

use crate::support::{GateHarness, address, document, service, zone};

const MS: Duration = Duration::from_millis(1);

#[test]
fn routes_that_arrive_before_their_document_are_applied_with_it() {
    let mut harness = GateHarness::with_gate_list(1);
    assert_eq!(harness.assign_slices(Some(2), 7), ApplyResult::Applied);
    harness.apply(ItemKey::Document(service()), document("keyed", 3).into_bytes());
    harness.get("/jobs/1");
    let sent = harness.expect_attempt();
    assert_eq!((sent.to, sent.token), (address(2), Some(Token(7))));
}

#[test]
fn a_request_waits_for_an_owner_and_starts_as_soon_as_there_is_one() {
    let mut harness = GateHarness::with_service("keyed", 3);
    let call = harness.get("/jobs/1");
    harness.advance(MS * 100);
    assert!(harness.drain_attempts().is_empty());
    harness.assign_slices(Some(2), 7);
    assert_eq!(harness.expect_attempt().call, call);
}

#[test]
fn the_wait_for_an_owner_is_bounded_and_ends_with_a_retry_after() {
    let mut harness = GateHarness::with_service("keyed", 3);
    let call = harness.post("/jobs/1");
    harness.advance(MS * 500);
    assert_eq!(harness.refusal(call), Some(ErrorKind::NoOwner));
    let retry = harness
        .out
        .iter()
        .any(|action| matches!(action, bay_call::Action::Refuse { retry_after: Some(_), .. }));
    assert!(retry);
}

#[test]
fn a_not_owner_rejection_is_retried_at_the_owner_of_a_newer_token() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(1), 7);
    harness.post("/jobs/1");
    let first = harness.expect_attempt();
    harness.may_send(first);
    harness.answer(first, Some(NotRunReason::NotOwner));
    assert!(
        harness.drain_attempts().is_empty(),
        "expected a delay before the same owner is tried again"
    );
    harness.assign_slices(Some(2), 8);
    let second = harness.expect_attempt();
    assert_eq!((second.to, second.token), (address(2), Some(Token(8))));
}

#[test]
fn repeated_not_owner_rejections_end_the_request_after_bounded_attempts() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(1), 7);
    let call = harness.post("/jobs/1");
    let mut attempts = 0;
    for _ in 0..500 {
        for sent in harness.drain_attempts() {
            attempts += 1;
            harness.may_send(sent);
            harness.answer(sent, Some(NotRunReason::NotOwner));
        }
        harness.advance(MS);
    }
    assert_eq!(harness.refusal(call), Some(ErrorKind::NoOwner));
    assert!(attempts <= 8, "{attempts}");
}

#[test]
fn no_new_requests_go_to_targets_in_a_zone_that_is_out() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.set_zone(2, "out");
    for _ in 0..50 {
        harness.get("/");
    }
    assert!(harness.drain_attempts().iter().all(|sent| sent.to != address(2)));
    harness.set_zone(2, "in");
    for _ in 0..50 {
        harness.get("/");
    }
    assert!(harness.drain_attempts().iter().any(|sent| sent.to == address(2)));
}

#[test]
fn an_owner_in_a_zone_that_is_out_receives_requests_only_during_the_grace_time() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(2), 7);
    harness.set_zone(2, "out");
    let call = harness.get("/jobs/1");
    assert_eq!(
        harness.expect_attempt().call,
        call,
        "the owner still receives requests while its keys move"
    );
    harness.advance(MS * 5_000);
    let call = harness.get("/jobs/1");
    harness.advance(MS * 500);
    assert!(harness.drain_attempts().is_empty());
    assert_eq!(harness.refusal(call), Some(ErrorKind::NoOwner));
}

#[test]
fn a_leaving_target_receives_no_new_requests() {
    let mut harness = GateHarness::with_service("pooled", 2);
    let text = document("pooled", 2).replace("[server s1]\n", "[server s1]\nleaving = yes\n");
    harness.apply(ItemKey::Document(service()), text.into_bytes());
    for _ in 0..20 {
        harness.get("/");
    }
    assert!(harness.drain_attempts().iter().all(|sent| sent.to == address(2)));
}

#[test]
fn an_item_is_applied_only_if_its_version_is_newer() {
    let mut harness = GateHarness::with_service("pooled", 3);
    let key = ItemKey::Document(service());
    let body = |servers| document("pooled", servers).into_bytes();
    assert_eq!(harness.apply_version(key, body(2), 50), ApplyResult::Applied);
    assert_eq!(harness.apply_version(key, body(3), 49), ApplyResult::Stale);
    assert_eq!(harness.apply_version(key, Vec::new(), 49), ApplyResult::Stale);
    assert_eq!(
        harness.apply_version(key, b"[service]\nname = jobs\n".to_vec(), 60),
        ApplyResult::Invalid
    );
    assert_eq!(harness.gate.versions()[&key].major, 50);
    assert_eq!(harness.apply_version(key, Vec::new(), 61), ApplyResult::Applied);
    assert!(!harness.gate.is_ready());
    assert_eq!(
        harness.apply_version(key, body(3), 60),
        ApplyResult::Stale,
        "the version must be newer than the deletion"
    );
}

#[test]
fn live_attempts_survive_the_replacement_and_deletion_of_their_document() {
    let mut harness = GateHarness::with_service("pooled", 3);
    let running = harness.get("/");
    let sent = harness.expect_attempt();
    harness.apply(ItemKey::Document(service()), document("pooled", 2).into_bytes());
    harness.may_send(sent);
    harness.apply(ItemKey::Document(service()), Vec::new());
    harness.answer(sent, None);
    assert!(
        harness.out.contains(&bay_call::Action::Forward { call: running, attempt: sent.attempt })
    );
    let late = harness.get("/");
    assert_eq!(harness.refusal(late), Some(ErrorKind::NotReady));
}

#[test]
fn new_slot_limits_count_live_attempts() {
    let text = |slots: u32| {
        let slots = format!("slots = {slots}\ncold_slots = {slots}\nconnections = 110\n");
        document("pooled", 1)
            .replace("slots = 64\nconnections = 110\ncold_slots = 64\n", &slots)
            .into_bytes()
    };
    let mut harness = GateHarness::with_gate_list(1);
    harness.apply(ItemKey::Document(service()), text(2));
    let calls: Vec<_> = (0..4).map(|_| harness.post("/")).collect();
    assert_eq!(harness.drain_attempts().len(), 2);
    harness.apply(ItemKey::Document(service()), text(3));
    harness.advance(MS * 20);
    assert_eq!(harness.drain_attempts().len(), 1, "two of three slots were in use");
    assert!(calls.iter().all(|call| harness.refusal(*call).is_none()));
}

#[test]
fn waiting_requests_are_refused_when_their_service_is_deleted() {
    let mut harness = GateHarness::with_service("keyed", 3);
    let call = harness.get("/jobs/1");
    harness.apply(ItemKey::Document(service()), Vec::new());
    assert_eq!(harness.refusal(call), Some(ErrorKind::UnknownHost));
}

#[test]
fn a_host_name_of_two_services_goes_to_the_first_by_name_in_any_order_of_arrival() {
    for order in [["jobs", "attic"], ["attic", "jobs"]] {
        let mut harness = GateHarness::with_gate_list(1);
        for name in order {
            let text = document("pooled", 3).replace("name = jobs", &format!("name = {name}"));
            let text = text.replace("10.0.0.1:", &format!("10.0.{}.1:", name.len()));
            let key = ItemKey::Document(bay_types::ServiceName::new(name).unwrap());
            harness.apply(key, text.into_bytes());
        }
        let attic = ItemKey::Document(bay_types::ServiceName::new("attic").unwrap());
        (0..40).for_each(|_| {
            harness.get("/");
        });
        assert!(harness.drain_attempts().iter().all(|sent| sent.to != address_of("10.0.4.1:80")));
        harness.apply(attic, Vec::new());
        harness.get("/");
        assert_eq!(
            harness.drain_attempts().len(),
            1,
            "the host name must go to the remaining service"
        );
    }
}

fn address_of(text: &str) -> std::net::SocketAddr {
    text.parse().unwrap()
}

#[test]
fn a_new_layout_drops_the_routes_of_the_old_one() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(2), 7);
    let text = document("keyed", 3).replace("slices = 64", "slices = 128");
    harness.apply(ItemKey::Document(service()), text.into_bytes());
    harness.get("/jobs/1");
    assert!(harness.drain_attempts().is_empty());
}

#[test]
fn a_delta_to_an_unknown_version_is_a_gap() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(2), 7);
    let version = bay_wire::ItemVersion { major: 90, minor: 0 };
    let base = Some(bay_wire::ItemVersion { major: 89, minor: 0 });
    let body = bay_wire::encode(&bay_wire::Routes::default()).unwrap();
    let key = ItemKey::Routes(service(), zone(1));
    let item = bay_wire::Item { key, version, base, body };
    assert_eq!(harness.gate.apply(harness.now, &item, &mut harness.out), ApplyResult::Gap);
    assert_ne!(harness.gate.versions()[&key], version);
}
