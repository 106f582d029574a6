//! Responses of a steward in trouble fail the command.

use bay_ctl::{CtlError, fetch_status};
use bay_fakes::{RawResponse, peak_resident_bytes, start_raw_server};
use test_case::test_case;

/// Memory of a process, in bytes.
const MEMORY_BYTES: u64 = 260 << 20;

/// Bytes after which a response ends, so that a client that keeps them all exceeds its memory and not
/// this machine's.
const SENT_BYTES: usize = 400 << 20;

#[test_case("", "no response at all "; "noise")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 9999999999\r\n\r\n", "body "; "a body")]
fn an_endless_status_is_given_up(start: &'static str, repeated: &'static str) {
    let response = RawResponse { start: start.as_bytes(), repeated, repeated_bytes: SENT_BYTES };
    let fetched = async_io::block_on(fetch_status(start_raw_server(response).unwrap()));
    assert!(matches!(fetched, Err(CtlError::Steward(_))), "{fetched:?}");
    let bytes = peak_resident_bytes().unwrap();
    assert!(bytes < MEMORY_BYTES, "{bytes} bytes of memory");
}
