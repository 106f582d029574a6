//! Errors in settings and zone objects.

use bay_conf::{ConfigErrors, Settings, ZoneDoc, ZoneState};
use bay_types::ZoneName;
use proptest::prelude::*;
use test_case::test_case;

const SETTINGS: &str = "\
[node]
host = entry-1
zone = perth-north
key_file = cluster.key

[store]
address = 10.0.0.9:7400

[gate]
listen = 10.0.0.1:8080
admin = 10.0.0.1:8081
peer = 10.0.0.1:8082
stewards = 10.0.0.1:8090, 10.0.0.2:8090
drain = 1 s

[steward]
listen = 10.0.0.1:8090
admin = 10.0.0.1:8091
";

fn parse_errors(text: &str) -> Vec<String> {
    match Settings::parse("s.ini", text.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(ConfigErrors(errors)) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_settings_have_no_errors() {
    assert_eq!(parse_errors(SETTINGS), [""; 0]);
}

#[test_case("host = entry-1", "host =", "s.ini:2: node.host: expected a name"; "an empty host")]
#[test_case("key_file = cluster.key", "key_file =", "s.ini:4: node.key_file: expected a path"; "an empty path")]
#[test_case("admin = 10.0.0.1:8081", "admin = 10.0.0.1:8080", "s.ini:11: gate.admin: address is already used by `gate.listen`"; "one address used twice")]
#[test_case("peer = 10.0.0.1:8082", "peer = 10.0.0.1:8090", "s.ini:17: steward.listen: address is already used by `gate.peer`"; "one port for gate and steward")]
#[test_case("peer = 10.0.0.1:8082", "peer = 0.0.0.0:8082", "s.ini:12: gate.peer: expected an IP address and port of this host"; "an unspecified peer address")]
#[test_case("listen = 10.0.0.1:8090", "listen = [::]:8090", "s.ini:17: steward.listen: expected an IP address and port of this host"; "an unspecified steward address")]
#[test_case("stewards = 10.0.0.1:8090, 10.0.0.2:8090", "stewards = 10.0.0.1:8090,", "s.ini:13: gate.stewards: expected an IP address"; "a comma too many")]
#[test_case("stewards = 10.0.0.1:8090, 10.0.0.2:8090", "stewards = 10.0.0.1:8090, 10.0.0.1:8090", "s.ini:13: gate.stewards: expected each address once"; "a steward twice")]
#[test_case("drain = 1 s", "drain = 1", "s.ini:14: gate.drain: expected a duration with its unit"; "no unit")]
#[test_case("drain = 1 s", "max_connections = 0", "s.ini:14: gate.max_connections: expected a number from 1"; "no connections")]
#[test_case("[store]", "[log]\nlevel = loud\n[store]", "s.ini:7: log.level: expected `error`"; "an unknown level")]
#[test_case("[store]", "[stores]", "s.ini:6: stores: unknown section; check the spelling"; "an unknown section")]
#[test_case("[steward]\nlisten = 10.0.0.1:8090\nadmin = 10.0.0.1:8091\n", "", "steward.listen: required key is missing"; "a missing section")]
fn an_error_is_reported_at_its_line_and_key(from: &str, to: &str, expected: &str) {
    assert!(SETTINGS.contains(from), "the settings have no `{from}`");
    let found = parse_errors(&SETTINGS.replacen(from, to, 1));
    assert!(found.iter().any(|error| error.contains(expected)), "{found:#?}");
}

#[test]
fn a_zone_under_another_key_is_rejected() {
    let zone = |text| ZoneName::new(text).unwrap();
    let doc = ZoneDoc { zone: zone("peel"), state: ZoneState::Out, operator: "ann".to_owned() };
    let text = doc.to_text();
    assert_eq!(ZoneDoc::parse_named("zone/peel", zone("peel"), text.as_bytes()), Ok(doc));
    assert!(ZoneDoc::parse_named("zone/mrd-c", zone("mrd-c"), text.as_bytes()).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Settings::parse("f", &bytes);
        let _ = ZoneDoc::parse("f", &bytes);
    }

    #[test]
    fn a_zone_object_with_any_operator_name_can_be_parsed(operator in "\\PC{0,30}", control in "[\n\r\t=;\\[\\]\"]{0,5}") {
        let zone = ZoneName::new("peel").unwrap();
        let doc = ZoneDoc { zone, state: ZoneState::Out, operator: operator + &control };
        let read = ZoneDoc::parse("zone/peel", doc.to_text().as_bytes());
        prop_assert_eq!(read.map(|read| (read.zone, read.state)), Ok((zone, ZoneState::Out)));
    }
}
