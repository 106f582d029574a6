//! Routers of landed versions and of this one understand each other's messages and records.

#[path = "../examples/wire_samples/samples.rs"]
mod samples;

use std::collections::BTreeMap;
use std::fmt::Debug;

use bay_router::PeerMessage;
use serde::Serialize;
use serde::de::DeserializeOwned;
use test_case::test_case;

const V_2BEA093: &str = include_str!("golden/2bea093.txt");
const V_1EBEA53: &str = include_str!("golden/1ebea53.txt");
const V_5D29F07: &str = include_str!("golden/5d29f07.txt");
const V_8769CE2: &str = include_str!("golden/8769ce2.txt");
const V_0D4F469: &str = include_str!("golden/0d4f469.txt");
const V_CD74206: &str = include_str!("golden/cd74206.txt");
const V_F6145CE: &str = include_str!("golden/f6145ce.txt");

/// Returns the encodings of one kind in a version's data, by name.
fn encodings<'a>(golden: &'a str, kind: &str) -> BTreeMap<&'a str, &'a str> {
    let lines = golden.lines().filter_map(|line| line.strip_prefix(kind)?.trim().split_once(' '));
    lines.collect()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

/// Equal bytes are read by both: by the other version as its own, and by this one as checked here.
#[test_case(V_2BEA093, 18; "2bea093")]
#[test_case(V_1EBEA53, 22; "1ebea53")]
#[test_case(V_5D29F07, 22; "5d29f07")]
#[test_case(V_8769CE2, 31; "8769ce2")]
#[test_case(V_0D4F469, 33; "0d4f469")]
#[test_case(V_CD74206, 34; "cd74206")]
#[test_case(V_F6145CE, 36; "f6145ce")]
fn messages_are_encoded_as_by_landed_versions(golden: &str, count: usize) {
    let golden = encodings(golden, "message");
    assert_eq!(golden.len(), count);
    let samples: BTreeMap<&str, PeerMessage> = samples::messages().into_iter().collect();
    for (name, hex) in golden {
        let bytes = parse_hex(hex);
        assert_eq!(postcard::to_stdvec(&samples[name]).unwrap(), bytes, "{name}");
        assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).unwrap(), samples[name], "{name}");
    }
}

#[test_case(V_2BEA093; "2bea093")]
#[test_case(V_1EBEA53; "1ebea53")]
#[test_case(V_5D29F07; "5d29f07")]
#[test_case(V_8769CE2; "8769ce2")]
#[test_case(V_0D4F469; "0d4f469")]
#[test_case(V_CD74206; "cd74206")]
#[test_case(V_F6145CE; "f6145ce")]
fn records_in_the_store_are_encoded_as_by_landed_versions(golden: &str) {
    let golden = encodings(golden, "record");
    assert_eq!(golden.len(), 3);
    check_record(golden["leadership"], &samples::leadership_record());
    check_record(golden["host"], &samples::host_record());
    check_record(golden["ranges"], &samples::range_table());
}

fn check_record<T>(json: &str, sample: &T)
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    assert_eq!(serde_json::to_string(sample).unwrap(), json);
    assert_eq!(serde_json::from_str::<T>(json).unwrap(), *sample);
}

/// A router of an older version counts a message that it does not know as malformed. `last_tag` is
/// that of the last message that it knows.
#[test_case(V_2BEA093, 14; "2bea093")]
#[test_case(V_1EBEA53, 17; "1ebea53")]
#[test_case(V_8769CE2, 26; "8769ce2")]
fn new_messages_have_tags_that_an_older_version_does_not_know(golden: &str, last_tag: u8) {
    let known = encodings(golden, "message");
    let new = samples::messages().into_iter().filter(|(name, _)| !known.contains_key(name));
    for (name, message) in new {
        assert!(postcard::to_stdvec(&message).unwrap()[0] > last_tag, "{name}");
    }
}
