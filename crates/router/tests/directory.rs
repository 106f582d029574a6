//! Registered servers: revisions, removals, store outages and zones that are out.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use bay_router::{Directory, DirectoryChange, ServerEntry, ServerState};
use bay_types::{Revision, StoreEra};
use support::{at, entry, server, zone};

/// A directory with the server `s` at revision 5.
fn directory_with_server() -> Directory {
    let mut directory = Directory::default();
    directory.replace(at(0), Revision(5), vec![(server("s"), Revision(5), entry("p", "a", 1))]);
    directory
}

#[test]
fn an_entry_older_than_the_known_one_is_ignored() {
    let mut directory = directory_with_server();
    let draining = bay_router::ServerEntry { state: ServerState::Draining, ..entry("p", "a", 1) };
    let change = directory.apply(at(1), server("s"), Revision(7), Some(draining));
    assert_eq!(change, DirectoryChange::Left);
    let change = directory.apply(at(2), server("s"), Revision(6), Some(entry("p", "a", 1)));
    assert_eq!(change, DirectoryChange::None);
    assert!(!directory.get(server("s")).unwrap().is_ready());
}

#[test]
fn an_entry_older_than_a_removal_does_not_restore_the_server() {
    let mut directory = directory_with_server();
    directory.apply(at(1), server("s"), Revision(9), None);
    let change = directory.apply(at(2), server("s"), Revision(8), Some(entry("p", "a", 1)));
    assert_eq!(change, DirectoryChange::None);
    assert!(directory.get(server("s")).is_none());
}

#[test]
fn a_new_incarnation_of_a_server_ends_the_old_one() {
    let mut directory = directory_with_server();
    let restarted = bay_router::ServerEntry { started: 2, ..entry("p", "a", 1) };
    let change = directory.apply(at(1), server("s"), Revision(6), Some(restarted));
    assert_eq!(change, DirectoryChange::Started);
    assert_eq!(directory.drain_ended(), vec![(server("s"), 1)]);
}

/// A server whose entry lapsed during a store outage still gets requests for two more seconds.
#[test]
fn a_lapsed_entry_ends_two_seconds_after_the_outage() {
    let mut directory = directory_with_server();
    directory.handle_store_recovery(at(10_000));
    assert_eq!(directory.apply(at(10_100), server("s"), Revision(9), None), DirectoryChange::None);
    let is_eligible = |directory: &Directory, millis| {
        directory.is_eligible(at(millis), server("s"), directory.get(server("s")).unwrap())
    };
    assert!(is_eligible(&directory, 11_900));
    assert!(!is_eligible(&directory, 12_000));
    assert_eq!(directory.expire(at(12_000)), vec![server("s")]);
}

#[test]
fn a_lapsed_entry_that_returns_in_time_keeps_its_server() {
    let mut directory = directory_with_server();
    directory.handle_store_recovery(at(10_000));
    directory.apply(at(10_100), server("s"), Revision(9), None);
    directory.apply(at(11_000), server("s"), Revision(10), Some(entry("p", "a", 1)));
    assert!(directory.expire(at(13_000)).is_empty());
    assert!(directory.is_eligible(at(13_000), server("s"), directory.get(server("s")).unwrap()));
}

#[test]
fn a_removal_without_an_outage_takes_effect_at_once() {
    let mut directory = directory_with_server();
    let change = directory.apply(at(1), server("s"), Revision(9), None);
    assert_eq!(change, DirectoryChange::Left);
}

#[test]
fn servers_of_a_zone_taken_out_take_no_requests_and_may_be_cold_after_its_return() {
    let mut directory = directory_with_server();
    let warm_up = Duration::from_secs(3);
    directory.set_zones_out(at(1), BTreeSet::from([zone("a")]), warm_up);
    assert!(!directory.is_eligible(at(2), server("s"), directory.get(server("s")).unwrap()));
    directory.set_zones_out(at(5_000), BTreeSet::new(), warm_up);
    let listed = directory.get(server("s")).unwrap();
    assert!(directory.is_eligible(at(5_001), server("s"), listed));
    assert!(directory.may_be_cold(at(7_999), listed));
    assert!(!directory.may_be_cold(at(8_001), listed));
}

#[test]
fn a_server_that_turns_cold_without_a_restart_is_reported_as_cold() {
    let mut directory = directory_with_server();
    let cold =
        bay_router::ServerEntry { warm_up_left: Duration::from_secs(2), ..entry("p", "a", 1) };
    let change = directory.apply(at(1), server("s"), Revision(6), Some(cold));
    assert_eq!(change, DirectoryChange::Cold);
}

/// The next entry of a removed server has a higher revision than the removal.
#[test]
fn a_removal_keeps_its_revision_and_a_newer_entry_restores_the_server() {
    let mut directory = directory_with_server();
    directory.apply(at(1), server("s"), Revision(9), None);
    assert_eq!(directory.revision(server("s")), Some(Revision(9)));
    let change = directory.apply(at(2), server("s"), Revision(10), Some(entry("p", "a", 1)));
    assert_eq!(change, DirectoryChange::Started);
}

/// A revision as the store numbers it, after this many restorations.
fn revision(era: u32, own: u64) -> Revision {
    Revision(own).in_era(StoreEra(era))
}

/// A directory that has applied the entry with heartbeat 9 of the server `s`, and its removal if
/// `is_removed`, before a restoration of the store.
fn directory_before_restoration(is_removed: bool) -> Directory {
    let mut directory = Directory::default();
    let listed =
        (server("s"), revision(1, 7), ServerEntry { heartbeat: 9, ..entry("pool", "a", 1) });
    directory.replace(at(0), revision(1, 7), vec![listed]);
    if is_removed {
        directory.apply(at(1), server("s"), revision(1, 8), None);
    }
    directory
}

#[test]
fn a_copy_of_the_store_does_not_bring_a_removed_server_back_but_the_server_does() {
    let mut directory = directory_before_restoration(true);
    let copied = ServerEntry { heartbeat: 8, ..entry("pool", "a", 1) };
    let list = vec![(server("s"), revision(2, 3), copied)];
    assert_eq!(directory.replace(at(2), revision(2, 5), list), []);
    assert!(directory.get(server("s")).is_none());
    let written = ServerEntry { heartbeat: 10, ..entry("pool", "a", 1) };
    let change = directory.apply(at(3), server("s"), revision(2, 6), Some(written));
    assert_eq!(change, DirectoryChange::Started);
}

#[test]
fn a_copy_of_the_store_does_not_make_a_draining_server_ready() {
    let mut directory = directory_before_restoration(false);
    let draining =
        ServerEntry { heartbeat: 10, state: ServerState::Draining, ..entry("pool", "a", 1) };
    directory.apply(at(1), server("s"), revision(1, 9), Some(draining));
    let copied = ServerEntry { heartbeat: 9, ..entry("pool", "a", 1) };
    let list = vec![(server("s"), revision(2, 7), copied)];
    assert_eq!(directory.replace(at(2), revision(2, 7), list), []);
    assert!(!directory.get(server("s")).unwrap().is_ready());
}

#[test]
fn a_server_that_a_copy_of_the_store_lacks_has_two_seconds_to_write_its_entry_again() {
    let mut directory = directory_before_restoration(false);
    assert_eq!(directory.replace(at(2), revision(2, 5), Vec::new()), []);
    let is_known = |directory: &Directory, now| {
        let server_s = directory.get(server("s"));
        server_s.is_some_and(|listed| directory.is_eligible(at(now), server("s"), listed))
    };
    assert!(is_known(&directory, 2_000));
    assert!(!is_known(&directory, 2_003));
    let written = ServerEntry { heartbeat: 11, ..entry("pool", "a", 1) };
    directory.apply(at(1_000), server("s"), revision(2, 6), Some(written));
    assert!(is_known(&directory, 9_000));
}

#[test]
fn a_revision_of_a_later_era_is_above_all_earlier_ones() {
    assert!(revision(2, 1) > revision(1, 1 << 39));
    assert_eq!(revision(3, 77).own(), Revision(77));
    assert_eq!(revision(3, 77).in_era(StoreEra(5)), revision(5, 77));
    assert_eq!(revision(0, 77), Revision(77));
}
