//! Responses without end of a store in trouble.

use std::time::Duration;

use bay_fakes::{RawResponse, peak_resident_bytes, start_raw_server};
use bay_store::{HttpStore, StoreError, StoreRequest};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Memory of a process, in bytes.
const MEMORY_BYTES: u64 = 260 << 20;

/// Bytes after which a response ends, so that a client that keeps them all exceeds its memory and not
/// this machine's.
const SENT_BYTES: usize = 400 << 20;

/// One test, as memory is measured for the whole process.
#[test]
fn endless_responses_are_given_up_within_the_memory_of_a_process() {
    for (start, repeated) in [
        ("", "no response at all "),
        ("", "\r\n"),
        ("HTTP/1.1 200 X\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n"),
        ("HTTP/1.1 200 X\r\nX-Filler: ", "aaaaaaaaaaaaaaaa"),
        ("HTTP/1.1 200 X\r\nContent-Length: 9999999999\r\n\r\n", "body "),
        ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
    ] {
        let response =
            RawResponse { start: start.as_bytes(), repeated, repeated_bytes: SENT_BYTES };
        let store = HttpStore::new(start_raw_server(response).unwrap(), TIMEOUT);
        let reply = async_io::block_on(store.call(StoreRequest::Hosts));
        assert_eq!(reply, Err(StoreError::Unknown));
        let bytes = peak_resident_bytes().unwrap();
        assert!(bytes < MEMORY_BYTES, "{bytes} bytes of memory for {start:?}, {repeated:?}");
    }
}
