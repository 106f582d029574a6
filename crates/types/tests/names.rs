//! Names that stand for identifiers which others have chosen.

use std::collections::BTreeSet;

use bay_types::{Name, ServerName};
use test_case::test_case;

#[test_case("i-7f3a91c2")]
#[test_case("tagboard")]
#[test_case("x.1")]
fn a_valid_name_stands_for_itself(identifier: &str) {
    let name = Name::of(identifier);
    assert_eq!((name.as_str(), name.is_digest()), (identifier, false));
}

#[test_case("")]
#[test_case("customer-notification-dispatcher-eu")]
#[test_case("Capital")]
#[test_case("-")]
#[test_case("naïve")]
#[test_case("x.00112233445566778899aabbccdd")]
fn another_identifier_gets_a_digest_that_every_build_accepts_as_a_name(identifier: &str) {
    let name = Name::of(identifier);
    assert!(name.is_digest());
    assert_ne!(name.as_str(), identifier);
    assert_eq!(Name::new(name.as_str()), Ok(name));
    assert_eq!(Name::of(identifier), name);
}

/// A digest is stored and sent to other routers, so that it must stay as it is.
#[test]
fn digests_stay_the_same_from_build_to_build() {
    let name = ServerName::of("customer-notification-dispatcher-eu");
    assert_eq!(name.as_str(), "x.85db98c9152b6eacf71654f39144");
}

#[test]
fn similar_identifiers_get_different_digests() {
    let identifiers: Vec<String> = (0..10_000).map(|number| format!("Server_{number}")).collect();
    let names: BTreeSet<Name> = identifiers.iter().map(|text| Name::of(text)).collect();
    assert_eq!(names.len(), identifiers.len());
}
