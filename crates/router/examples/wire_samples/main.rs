//! Prints this version's encoding of each message between routers and of each of their records.
//!
//! `cargo run --example wire_samples -p bay-router > crates/router/tests/golden/COMMIT.txt` at a
//! landed commit gives the data by which later versions are tested.

mod samples;

use serde::Serialize;

fn main() {
    for (name, message) in samples::messages() {
        let bytes = postcard::to_stdvec(&message).expect("a sample can be encoded");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        println!("message {name} {hex}");
    }
    print_record("leadership", &samples::leadership_record());
    print_record("host", &samples::host_record());
    print_record("ranges", &samples::range_table());
}

fn print_record<T>(name: &str, record: &T)
where
    T: Serialize,
{
    println!("record {name} {}", serde_json::to_string(record).expect("a sample can be encoded"));
}
