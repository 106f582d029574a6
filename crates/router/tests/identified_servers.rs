//! Servers whose names are digests of their identifiers.

mod support;

use bay_router::{Directory, IdentifiedServers, ServerIdentifier, ServerState};
use bay_types::Revision;
use support::{at, entry, server};
use test_case::test_case;

fn identifier(text: &str) -> ServerIdentifier {
    ServerIdentifier::new(text).unwrap()
}

/// Applies a server's entry as a router that reads the store does.
fn register(directory: &mut Directory, text: &str, revision: u64) {
    let identifier = identifier(text);
    directory.apply(at(0), identifier.name(), Revision(revision), Some(entry("p", "a", 1)));
    directory.record_identifier(identifier);
}

#[test_case("i-7f3a"; "a valid name")]
#[test_case("Server_7"; "another identifier")]
fn a_registered_server_has_its_identifier(text: &str) {
    let mut directory = Directory::default();
    let name = identifier(text).name();
    assert_eq!(directory.identifier(name), None);
    register(&mut directory, text, 1);
    assert_eq!(directory.identifier(name).unwrap().as_str(), text);
    directory.apply(at(1), name, Revision(2), None);
    assert_eq!(directory.identifier(name), None);
}

#[test_case(""; "nothing")]
#[test_case("two\r\nlines"; "a line break")]
#[test_case(" i-1"; "a space at an end")]
#[test_case("i\u{fffd}"; "bytes that were no text")]
#[test_case(&"i".repeat(2_049); "too long")]
fn an_identifier_that_no_header_can_hold_is_refused(text: &str) {
    assert_eq!(ServerIdentifier::new(text), None);
}

/// Guards against a process that grows with each server that comes and goes.
#[test]
fn identifiers_are_forgotten_with_their_servers() {
    let mut directory = Directory::default();
    for index in 0..10_000 {
        register(&mut directory, &format!("Server_{index}"), index);
        if index >= 50 {
            let left = identifier(&format!("Server_{}", index - 50)).name();
            directory.apply(at(index), left, Revision(index), None);
        }
        assert!(directory.identifier_count() <= 51);
    }
    directory.replace(at(10_000), Revision(10_001), Vec::new());
    assert_eq!(directory.identifier_count(), 0);
    // An entry that is older than the server's removal brings nothing back.
    register(&mut directory, "Server_9999", 9_999);
    assert_eq!(directory.identifier_count(), 0);
}

/// Guards against a build that knows no digests and uses one as the identifier.
#[test]
fn the_entry_of_a_server_with_a_digest_is_withheld_from_earlier_builds() {
    let odd = identifier("Server_1").name();
    let withheld = IdentifiedServers::withhold(odd, entry("p", "a", 1));
    assert_eq!(withheld.state, ServerState::Draining);
    let plain = IdentifiedServers::withhold(server("s"), entry("p", "a", 1));
    assert_eq!(plain.state, ServerState::Ready);
}

/// Guards against a server that is lost, or stays as it was, because a datagram did not arrive.
#[test]
fn withheld_entries_that_did_not_arrive_are_requested() {
    let mut directory = Directory::default();
    let mut identified = IdentifiedServers::default();
    let odd = identifier("Server_1").name();
    let withheld = |revision| {
        let entry = IdentifiedServers::withhold(odd, entry("p", "a", 1));
        (odd, Revision(revision), entry)
    };
    let changed = |revision| {
        let (name, revision, entry) = withheld(revision);
        vec![(name, revision, Some(entry))]
    };
    assert!(identified.filter_changes(&directory, changed(1)).is_empty());
    assert_eq!(identified.missing(), [odd]);
    register(&mut directory, "Server_1", 1);
    identified.record_arrived(odd);
    assert!(identified.missing().is_empty());
    // A full list keeps the server that is known, and tells that a later entry is missing.
    let list = identified.filter_list(&directory, vec![withheld(2)]);
    assert_eq!(list, [(odd, Revision(1), entry("p", "a", 1))]);
    assert_eq!(identified.missing(), [odd]);
    let removal = vec![(odd, Revision(3), None)];
    assert_eq!(identified.filter_changes(&directory, removal.clone()), removal);
    assert!(identified.missing().is_empty());
}
