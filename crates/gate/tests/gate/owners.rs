//! Keys, owners, zones and documents.

use std::time::Duration;

use bay_call::NotRunReason;
use bay_gate::ApplyResult;
use bay_types::{ErrorKind, Token};
use bay_wire::ItemKey;

use crate::support::{Bed, address, document, service, zone};

const MS: Duration = Duration::from_millis(1);

#[test]
fn routes_that_come_before_their_document_are_kept() {
    let mut bed = Bed::new(1);
    assert_eq!(bed.route(Some(2), 7), ApplyResult::Applied);
    bed.apply(ItemKey::Document(service()), document("keyed", 3).into_bytes());
    bed.get("/jobs/1");
    let sent = bed.attempt();
    assert_eq!((sent.to, sent.token), (address(2), Some(Token(7))));
}

#[test]
fn a_request_waits_for_a_moving_key_and_goes_on_at_once() {
    let mut bed = Bed::with("keyed", 3);
    let call = bed.get("/jobs/1");
    bed.pass(MS * 100);
    assert!(bed.attempts().is_empty());
    bed.route(Some(2), 7);
    assert_eq!(bed.attempt().call, call);
}

#[test]
fn the_wait_for_an_owner_is_short_and_ends_with_a_time_to_come_back() {
    let mut bed = Bed::with("keyed", 3);
    let call = bed.post("/jobs/1");
    bed.pass(MS * 500);
    assert_eq!(bed.refusal(call), Some(ErrorKind::NoOwner));
    let retry = bed
        .out
        .iter()
        .any(|action| matches!(action, bay_call::Action::Refuse { retry_after: Some(_), .. }));
    assert!(retry);
}

#[test]
fn a_server_that_is_not_the_owner_leads_to_the_newer_route() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(1), 7);
    bed.post("/jobs/1");
    let first = bed.attempt();
    bed.may_send(first);
    bed.answer(first, Some(NotRunReason::NotOwner));
    assert!(bed.attempts().is_empty(), "the same owner does not get it again at once");
    bed.route(Some(2), 8);
    let second = bed.attempt();
    assert_eq!((second.to, second.token), (address(2), Some(Token(8))));
}

#[test]
fn a_server_that_goes_on_refusing_ends_the_request_in_time() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(1), 7);
    let call = bed.post("/jobs/1");
    let mut attempts = 0;
    for _ in 0..500 {
        for sent in bed.attempts() {
            attempts += 1;
            bed.may_send(sent);
            bed.answer(sent, Some(NotRunReason::NotOwner));
        }
        bed.pass(MS);
    }
    assert_eq!(bed.refusal(call), Some(ErrorKind::NoOwner));
    assert!(attempts <= 8, "{attempts}");
}

#[test]
fn a_pool_sends_no_new_work_to_a_zone_that_is_out() {
    let mut bed = Bed::with("pooled", 3);
    bed.set_zone(2, "out");
    for _ in 0..50 {
        bed.get("/");
    }
    assert!(bed.attempts().iter().all(|sent| sent.to != address(2)));
    bed.set_zone(2, "in");
    for _ in 0..50 {
        bed.get("/");
    }
    assert!(bed.attempts().iter().any(|sent| sent.to == address(2)));
}

#[test]
fn an_owner_in_a_zone_that_is_out_gets_no_new_work_after_a_few_seconds() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(2), 7);
    bed.set_zone(2, "out");
    let call = bed.get("/jobs/1");
    assert_eq!(bed.attempt().call, call, "the key has yet to move");
    bed.pass(MS * 5_000);
    let call = bed.get("/jobs/1");
    bed.pass(MS * 500);
    assert!(bed.attempts().is_empty());
    assert_eq!(bed.refusal(call), Some(ErrorKind::NoOwner));
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut bed = Bed::with("pooled", 2);
    let text = document("pooled", 2).replace("[server s1]\n", "[server s1]\nleaving = yes\n");
    bed.apply(ItemKey::Document(service()), text.into_bytes());
    for _ in 0..20 {
        bed.get("/");
    }
    assert!(bed.attempts().iter().all(|sent| sent.to == address(2)));
}

#[test]
fn versions_never_go_back() {
    let mut bed = Bed::with("pooled", 3);
    let key = ItemKey::Document(service());
    let body = |servers| document("pooled", servers).into_bytes();
    assert_eq!(bed.apply_version(key, body(2), 50), ApplyResult::Applied);
    assert_eq!(bed.apply_version(key, body(3), 49), ApplyResult::Stale);
    assert_eq!(bed.apply_version(key, Vec::new(), 49), ApplyResult::Stale);
    assert_eq!(
        bed.apply_version(key, b"[service]\nname = jobs\n".to_vec(), 60),
        ApplyResult::Invalid
    );
    assert_eq!(bed.gate.versions()[&key].major, 50);
    assert_eq!(bed.apply_version(key, Vec::new(), 61), ApplyResult::Applied);
    assert!(!bed.gate.is_ready());
    assert_eq!(bed.apply_version(key, body(3), 60), ApplyResult::Stale, "older than its deletion");
}

#[test]
fn a_document_replaced_or_deleted_lets_running_requests_end() {
    let mut bed = Bed::with("pooled", 3);
    let running = bed.get("/");
    let sent = bed.attempt();
    bed.apply(ItemKey::Document(service()), document("pooled", 2).into_bytes());
    bed.may_send(sent);
    bed.apply(ItemKey::Document(service()), Vec::new());
    bed.answer(sent, None);
    assert!(bed.out.contains(&bay_call::Action::Forward { call: running, attempt: sent.attempt }));
    let late = bed.get("/");
    assert_eq!(bed.refusal(late), Some(ErrorKind::NotReady));
}

#[test]
fn new_limits_count_the_requests_that_run_already() {
    let text = |slots: u32| {
        let slots = format!("slots = {slots}\ncold_slots = {slots}\nconnections = 110\n");
        document("pooled", 1)
            .replace("slots = 64\nconnections = 110\ncold_slots = 64\n", &slots)
            .into_bytes()
    };
    let mut bed = Bed::new(1);
    bed.apply(ItemKey::Document(service()), text(2));
    let calls: Vec<_> = (0..4).map(|_| bed.post("/")).collect();
    assert_eq!(bed.attempts().len(), 2);
    bed.apply(ItemKey::Document(service()), text(3));
    bed.pass(MS * 20);
    assert_eq!(bed.attempts().len(), 1, "two of three slots are in use");
    assert!(calls.iter().all(|call| bed.refusal(*call).is_none()));
}

#[test]
fn requests_that_wait_as_their_service_is_deleted_are_refused_at_once() {
    let mut bed = Bed::with("keyed", 3);
    let call = bed.get("/jobs/1");
    bed.apply(ItemKey::Document(service()), Vec::new());
    assert_eq!(bed.refusal(call), Some(ErrorKind::UnknownHost));
}

#[test]
fn a_host_name_of_two_services_goes_to_the_first_by_name_in_any_order() {
    for order in [["jobs", "attic"], ["attic", "jobs"]] {
        let mut bed = Bed::new(1);
        for name in order {
            let text = document("pooled", 3).replace("name = jobs", &format!("name = {name}"));
            let text = text.replace("10.0.0.1:", &format!("10.0.{}.1:", name.len()));
            let key = ItemKey::Document(bay_types::ServiceName::new(name).unwrap());
            bed.apply(key, text.into_bytes());
        }
        let attic = ItemKey::Document(bay_types::ServiceName::new("attic").unwrap());
        (0..40).for_each(|_| {
            bed.get("/");
        });
        assert!(bed.attempts().iter().all(|sent| sent.to != address_of("10.0.4.1:80")));
        bed.apply(attic, Vec::new());
        bed.get("/");
        assert_eq!(bed.attempts().len(), 1, "the other service answers for it now");
    }
}

fn address_of(text: &str) -> std::net::SocketAddr {
    text.parse().unwrap()
}

#[test]
fn a_new_layout_drops_the_routes_of_the_old_one() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(2), 7);
    let text = document("keyed", 3).replace("slices = 64", "slices = 128");
    bed.apply(ItemKey::Document(service()), text.into_bytes());
    bed.get("/jobs/1");
    assert!(bed.attempts().is_empty());
}

#[test]
fn a_difference_on_an_unknown_version_is_a_gap() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(2), 7);
    let version = bay_wire::ItemVersion { major: 90, minor: 0 };
    let base = Some(bay_wire::ItemVersion { major: 89, minor: 0 });
    let body = bay_wire::encode(&bay_wire::Routes::default()).unwrap();
    let key = ItemKey::Routes(service(), zone(1));
    let item = bay_wire::Item { key, version, base, body };
    assert_eq!(bed.gate.apply(bed.now, &item, &mut bed.out), ApplyResult::Gap);
    assert_ne!(bed.gate.versions()[&key], version);
}
