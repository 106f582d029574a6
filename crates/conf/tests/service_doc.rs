//! Errors in service documents: each is reported with its line, its key and a reason.

use bay_conf::{ConfigErrors, ServiceDoc, ServiceKind};
use bay_types::ServiceName;
use proptest::prelude::*;
use test_case::test_case;

const DOCUMENT: &str = "\
[service]
name = jobs
hosts = jobs.example, www.jobs.example
kind = keyed

[keys]
path = /jobs/{key}
slices = 64
fenced = yes
lease = 1200 ms

[requests]
timeout = 10 s
max_body = 20 MB
hedge_budget = 5%

[limits]
slots = 4
connections = 110

[server north]
address = 127.0.0.1:7501
zone = perth-south

[server south]
address = 127.0.0.1:7502
zone = peel
";

fn parse_errors(bytes: &[u8]) -> Vec<String> {
    match ServiceDoc::parse("jobs.ini", bytes) {
        Ok(_) => Vec::new(),
        Err(ConfigErrors(errors)) => errors.iter().map(ToString::to_string).collect(),
    }
}

fn replace_once(from: &str, to: &str) -> String {
    assert!(DOCUMENT.contains(from), "the document has no `{from}`");
    DOCUMENT.replacen(from, to, 1)
}

#[test]
fn a_valid_document_has_no_errors() {
    assert_eq!(parse_errors(DOCUMENT.as_bytes()), [""; 0]);
    let windows = DOCUMENT.replace('\n', "\r\n");
    assert_eq!(parse_errors(windows.as_bytes()), [""; 0]);
}

#[test_case("slots = 4", "slots = 0", "jobs.ini:18: limits.slots: expected a number from 1"; "below the range")]
#[test_case("slots = 4", "slots = 9999", "jobs.ini:18: limits.slots: expected a number"; "above the range")]
#[test_case("slots = 4", "slots = +4", "jobs.ini:18: limits.slots: expected a number"; "a sign")]
#[test_case("slots = 4", "slots = 4 ; four", "jobs.ini:18: limits.slots: expected a number"; "a comment after a value")]
#[test_case("slots = 4", "slots", "jobs.ini:18: line: expected `key = value`"; "no equals sign")]
#[test_case("slots = 4", "= 4", "jobs.ini:18: line: expected `key = value`"; "no key")]
#[test_case("slots = 4", "slot = 4", "jobs.ini:18: limits.slot: unknown key; check the spelling and the section"; "an unknown key")]
#[test_case("slots = 4", "Slots = 4", "jobs.ini:18: limits.Slots: unknown key; check the spelling and the section"; "a key in capitals")]
#[test_case("slots = 4", "slots = 4\nslots = 5", "jobs.ini:19: limits.slots: duplicate key, first set on line 18"; "a key twice")]
#[test_case("slots = 4", "slots = 4\ncold_slots = 5", "jobs.ini:19: limits.cold_slots: must be at most the value of `slots`"; "more cold slots than slots")]
#[test_case("slots = 4\n", "", "jobs.ini:17: limits.slots: required key is missing"; "a missing key")]
#[test_case("timeout = 10 s", "timeout = 10", "jobs.ini:13: requests.timeout: expected a duration with its unit"; "no unit of time")]
#[test_case("timeout = 10 s", "timeout = 10 h", "jobs.ini:13: requests.timeout: expected a duration with its unit"; "an unknown unit")]
#[test_case("timeout = 10 s", "timeout = 0 s", "jobs.ini:13: requests.timeout: expected a duration with its unit"; "a duration of zero")]
#[test_case("timeout = 10 s", "timeout = 99999999999999999999 s", "jobs.ini:13: requests.timeout: expected a duration"; "a huge duration")]
#[test_case("max_body = 20 MB", "max_body = 20", "jobs.ini:14: requests.max_body: expected a size with its unit"; "no unit of size")]
#[test_case("hedge_budget = 5%", "hedge_budget = 5", "jobs.ini:15: requests.hedge_budget: expected a percentage"; "no percent sign")]
#[test_case("hedge_budget = 5%", "hedge_budget = NaN%", "jobs.ini:15: requests.hedge_budget: expected a percentage"; "not a number")]
#[test_case("hedge_budget = 5%", "customer_header = no header", "jobs.ini:15: requests.customer_header: expected a header name"; "a header with a space")]
#[test_case("hedge_budget = 5%", "idempotent = GET, GET", "jobs.ini:15: requests.idempotent: expected each method once"; "a method twice")]
#[test_case("lease = 1200 ms", "lease = 50 s\noutage_hold = 40 s", "jobs.ini:11: keys.outage_hold: must be at least the value of `lease`"; "a hold below the lease")]
#[test_case("slices = 64", "slices = 60", "jobs.ini:8: keys.slices: expected a power of two"; "not a power of two")]
#[test_case("path = /jobs/{key}", "path = /jobs", "jobs.ini:7: keys.path: expected a path such as"; "a path without a key")]
#[test_case("path = /jobs/{key}", "path = /jobs/{key}\nheader = x-job", "expected exactly one of `header` and `path`"; "two sources of keys")]
#[test_case("path = /jobs/{key}\n", "", "jobs.ini:6: keys.header: expected exactly one of `header` and `path`"; "no source of keys")]
#[test_case("fenced = yes", "fenced = true", "jobs.ini:9: keys.fenced: expected `yes` or `no`"; "not yes or no")]
#[test_case("kind = keyed", "kind = pooled", "jobs.ini:6: keys: section `keys` is not allowed in a pooled service"; "keys of a pooled service")]
#[test_case("kind = keyed", "kind = both", "jobs.ini:4: service.kind: expected `keyed` or `pooled`"; "an unknown kind")]
#[test_case("name = jobs", "name = Jobs", "jobs.ini:2: service.name: expected a name"; "a name in capitals")]
#[test_case("www.jobs.example", "jobs.example", "jobs.ini:3: service.hosts: expected each host name once"; "a host twice")]
#[test_case("www.jobs.example", "jobs.example:80", "jobs.ini:3: service.hosts: expected host names"; "a host with a port")]
#[test_case("www.jobs.example", "", "jobs.ini:3: service.hosts: expected host names"; "an empty host")]
#[test_case("[requests]", "[request]", "jobs.ini:12: request: unknown section; check the spelling"; "an unknown section")]
#[test_case("[requests]", "[colours]\n\n[requests]", "jobs.ini:12: colours: unknown section; check the spelling"; "an unknown section without keys")]
#[test_case("[requests]", "[requests", "jobs.ini:12: line: expected a section header such as [service]"; "a section that is not closed")]
#[test_case("[requests]", "[requests] # how", "jobs.ini:12: line: expected a section header such as [service]"; "text after a section")]
#[test_case("[service]", "[]", "jobs.ini:1: line: expected a section header such as [service]"; "a section without a name")]
#[test_case("[service]\n", "", "jobs.ini:1: name: expected a section header before the first key"; "no section")]
#[test_case("[requests]", "[limits]\nslots = 9\n[requests]", "jobs.ini:19: limits: duplicate section `limits`, first defined on line 12"; "a section twice")]
#[test_case("[server south]", "[server north]", "jobs.ini:25: server north: duplicate section `server north`, first defined on line 21"; "a server twice")]
#[test_case("[server south]", "[server  north]", "jobs.ini:25: server  north: name is already used by another server"; "a server twice but for spaces")]
#[test_case("[server south]", "[server South]", "jobs.ini:25: server South.name: expected a name"; "a server's name in capitals")]
#[test_case("[server south]", "[server]", "jobs.ini:25: server: unknown section; check the spelling"; "a server without a name")]
#[test_case("127.0.0.1:7502", "127.0.0.1:7501", "jobs.ini:26: server south.address: address is already used by another server"; "an address twice")]
#[test_case("127.0.0.1:7502", "localhost:7502", "jobs.ini:26: server south.address: expected an IP address and port"; "a host name for an address")]
#[test_case("127.0.0.1:7502", "127.0.0.1:0", "jobs.ini:26: server south.address: expected an IP address and port"; "port zero")]
#[test_case("127.0.0.1:7502", "0.0.0.0:7502", "jobs.ini:26: server south.address: expected an IP address and port"; "an unspecified address")]
#[test_case("zone = peel", "zone =", "jobs.ini:27: server south.zone: expected a name"; "an empty value")]
#[test_case("zone = peel", "zone = \"peel", "jobs.ini:27: server south.zone: expected a name"; "a quote that is not closed")]
fn an_error_is_reported_at_its_line_and_key(from: &str, to: &str, expected: &str) {
    let found = parse_errors(replace_once(from, to).as_bytes());
    assert!(found.iter().any(|error| error.contains(expected)), "{found:#?}");
}

#[test]
fn a_service_without_servers_is_rejected() {
    let text = &DOCUMENT[..DOCUMENT.find("[server north]").unwrap()];
    let found = parse_errors(text.as_bytes());
    assert!(
        found.len() == 1 && found[0].contains("no servers found, expected a section `server NAME`"),
        "{found:#?}"
    );
}

#[test]
fn all_errors_are_reported_together_in_line_order() {
    let text = replace_once("kind = keyed", "kind = keyed\nspeed")
        .replace("slices = 64", "slices = 60")
        .replace("timeout = 10 s", "timeout = 10")
        .replace("[limits]", "[limits")
        .replace("zone = peel", "zone = Peel\ncolour = red");
    let found = parse_errors(text.as_bytes());
    for line in [5, 9, 14, 18, 28, 29] {
        let start = format!("jobs.ini:{line}: ");
        assert!(found.iter().any(|error| error.starts_with(&start)), "line {line}: {found:#?}");
    }
    let lines: Vec<usize> =
        found.iter().map(|text| text.split(':').nth(1).unwrap().parse().unwrap()).collect();
    assert!(lines.is_sorted());
}

#[test]
fn invalid_utf_8_is_reported_on_its_line() {
    let mut bytes = DOCUMENT.as_bytes().to_vec();
    let at = DOCUMENT.find("keyed").unwrap();
    bytes[at] = 0xff;
    assert_eq!(
        parse_errors(&bytes),
        ["jobs.ini:4: file: expected UTF-8 text, found an invalid byte"]
    );
}

#[test]
fn a_document_under_another_key_is_rejected() {
    let name = |text| ServiceName::new(text).unwrap();
    let bytes = DOCUMENT.as_bytes();
    assert!(ServiceDoc::parse_named("service/jobs", name("jobs"), bytes).is_ok());
    let found = ServiceDoc::parse_named("service/photos", name("photos"), bytes).unwrap_err();
    let text = "service/photos:2: service.name: expected `photos`, the name in the object's key";
    assert!(found.to_string().starts_with(text), "{found}");
}

#[test]
fn absent_keys_get_documented_defaults() {
    let doc = ServiceDoc::parse("jobs.ini", DOCUMENT.as_bytes()).unwrap();
    let ServiceKind::Keyed(rules) = &doc.kind else { panic!("{doc:?}") };
    assert_eq!(rules.outage_hold.as_secs(), 600);
    assert_eq!((doc.limits.cold_slots, doc.servers[0].weight), (1, 100));
    assert_eq!(doc.requests.max_body, 20 << 20);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        parse_errors(&bytes);
    }

    #[test]
    fn errors_in_arbitrary_lines_have_valid_line_numbers(lines in prop::collection::vec("[\\[\\]=:;#\"' a-z0-9%{}/é\\\\\u{feff}\r]{0,20}", 0..20)) {
        let text = lines.join("\n");
        let count = lines.len().max(1);
        if let Err(found) = ServiceDoc::parse("f", text.as_bytes()) {
            prop_assert!(found.0.iter().all(|mistake| (1..=count).contains(&mistake.line)));
        }
    }

    #[test]
    fn an_edited_document_parses_or_has_errors(
        at in any::<prop::sample::Index>(),
        with in "[\\[\\]=\n a-z0-9]{0,4}",
        drop in 0..30usize,
    ) {
        let at = at.index(DOCUMENT.len());
        let end = (at + drop).min(DOCUMENT.len());
        let text = format!("{}{with}{}", &DOCUMENT[..at], &DOCUMENT[end..]);
        match ServiceDoc::parse("f", text.as_bytes()) {
            Ok(doc) => prop_assert!(!doc.servers.is_empty()),
            Err(found) => prop_assert!(!found.0.is_empty()),
        }
    }
}
