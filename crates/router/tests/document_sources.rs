//! How soon a router reads documents from the store when the granter does not bring them.

mod support;

use bay_router::{FeedPublisher, FeedState, GranterFeed, ServerUpdate, StoreRead};
use bay_types::Term;
use support::at;
use test_case::test_case;

/// Time within which a configuration must be in force, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;

/// Longest time until a router asks its feed again, in milliseconds.
const POLL_MS: u64 = 200;

/// Time for a read of the store while every router makes one, in milliseconds.
const READ_MS: u64 = 200;

/// Interval between a granter's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 250;

fn state(age_ms: u64, config_version: u64) -> FeedState {
    FeedState {
        age_ms: age_ms as u32,
        server_sequence: 1,
        config_version,
        zones_out: Vec::new(),
        host_count: 3,
    }
}

/// Version 2 is written just after the granter's last read of the store, at the start. Its heartbeats
/// carry a state up to `last`, the first of them at `first`.
fn feed_of_granter_without_store(first: u64, last: u64) -> GranterFeed {
    let mut feed = GranterFeed::default();
    for now in (first..=last).step_by(HEARTBEAT_MS as usize) {
        feed.handle_heartbeat(at(now), Term(1), state(now, 1));
    }
    feed
}

#[test]
fn a_granter_without_the_store_is_not_waited_for_beyond_the_bound_of_a_configuration() {
    for first in (0..HEARTBEAT_MS).step_by(10) {
        for last in (first..3_000).step_by(HEARTBEAT_MS as usize) {
            let feed = feed_of_granter_without_store(first, last);
            let now = IN_FORCE_MS - POLL_MS - READ_MS;
            let read = feed.config_read(at(now), Some(1));
            assert_ne!(read, StoreRead::Skip, "heartbeats from {first} ms to {last} ms");
        }
    }
}

#[test]
fn a_new_granter_is_not_waited_for_beyond_the_bound_of_a_configuration() {
    for elected in (0..IN_FORCE_MS).step_by(10) {
        let mut feed = feed_of_granter_without_store(0, elected);
        // The new granter names version 2, but its message with it is lost.
        let deadline = IN_FORCE_MS - POLL_MS - READ_MS;
        for now in (elected..=deadline).step_by(HEARTBEAT_MS as usize) {
            feed.handle_heartbeat(at(now), Term(2), state(0, 2));
        }
        let read = feed.config_read(at(deadline.max(elected)), Some(1));
        assert_ne!(read, StoreRead::Skip, "the new granter was elected at {elected} ms");
    }
}

/// The granter's read of one kind of documents stalls from this time on, in milliseconds.
#[test_case(u64::MAX, 1_000, u64::MAX; "configuration")]
#[test_case(1_000, u64::MAX, u64::MAX; "servers")]
#[test_case(u64::MAX, u64::MAX, 1_000; "zones")]
fn a_granter_vouches_for_no_document_that_it_no_longer_reads(
    servers_until: u64,
    config_until: u64,
    zones_until: u64,
) {
    let mut publisher = FeedPublisher::default();
    let mut feed = GranterFeed::default();
    for now in (0..10_000).step_by(HEARTBEAT_MS as usize) {
        if now < servers_until {
            publisher.record_servers_read(at(now));
        }
        if now < config_until {
            publisher.record_config_read(at(now));
        }
        if now < zones_until {
            publisher.record_zones_read(at(now));
        }
        let state = publisher.state(at(now), state(0, 1)).expect("all documents were read");
        feed.handle_heartbeat(at(now), Term(1), state);
        // Zones take effect within five seconds, the other documents within two.
        let bound = if zones_until == u64::MAX { IN_FORCE_MS } else { 5_000 };
        let is_trusted = feed.config_read(at(now), Some(1)) == StoreRead::Skip;
        assert!(now < 1_000 || !is_trusted || now < 1_000 + bound - POLL_MS - READ_MS, "{now} ms");
    }
}

/// A server that leaves must get no requests after as long as a configuration may take.
#[test]
fn a_new_granter_is_not_waited_for_beyond_the_bound_of_a_leaving_server() {
    for elected in (0..IN_FORCE_MS).step_by(10) {
        let mut feed = GranterFeed::default();
        let all = ServerUpdate { term: Term(1), sequence: 1, part: Some((0, 1)), servers: vec![] };
        feed.apply_update(all);
        for now in (0..=elected).step_by(HEARTBEAT_MS as usize) {
            feed.handle_heartbeat(at(now), Term(1), state(now, 1));
        }
        // The new granter's list of servers is lost.
        let deadline = IN_FORCE_MS - POLL_MS - READ_MS;
        for now in (elected..=deadline).step_by(HEARTBEAT_MS as usize) {
            feed.handle_heartbeat(at(now), Term(2), state(0, 1));
        }
        let now = at(deadline.max(elected));
        let is_waiting = feed.has_current_servers(now) || feed.awaits_servers(now);
        assert!(!is_waiting, "the new granter was elected at {elected} ms");
    }
}

/// Guards against a router that delays the removals of servers, as if the store had just come back, after
/// the store had refused only this router, and others had read it since.
#[test_case(Some(11_000), false; "refused alone, long before")]
#[test_case(Some(15_900), true; "failed after the granter's last read")]
#[test_case(Some(17_000), true; "lost for all")]
#[test_case(None, false; "never failed")]
fn entries_may_have_lapsed_if_no_granter_has_read_the_store_since(
    last_failure: Option<u64>,
    expected: bool,
) {
    let mut feed = GranterFeed::default();
    feed.handle_heartbeat(at(16_000), Term(1), state(100, 1));
    assert_eq!(feed.may_have_lapsed(last_failure.map(at)), expected);
}

/// Guards against servers that are dropped after an outage although their entries return.
#[test]
fn without_a_granter_entries_may_have_lapsed() {
    assert!(GranterFeed::default().may_have_lapsed(Some(at(1_000))));
    assert!(GranterFeed::default().may_have_lapsed(None));
}
