//! Responses of a store in trouble are errors, whatever it sends.

use std::net::SocketAddr;
use std::time::Duration;

use bay_fakes::{RawResponse, start_raw_server};
use bay_store::{HttpStore, ObjectKey, StoreError, StoreReply, StoreRequest};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a store that sends this to each request, then so many bytes of text, and closes the connection.
fn start_store(response: &'static [u8], text_bytes: usize) -> SocketAddr {
    let response = RawResponse { start: response, repeated: "a", repeated_bytes: text_bytes };
    start_raw_server(response).unwrap()
}

fn get(address: SocketAddr) -> Result<StoreReply, StoreError> {
    let request = StoreRequest::Get { key: ObjectKey::new("a").unwrap() };
    async_io::block_on(HttpStore::new(address, TIMEOUT).call(request))
}

#[test_case(b"HTTP/1.1 000 X\r\nbay-revision: 1\r\nContent-Length: 1\r\n\r\na"; "a status below all classes")]
#[test_case(b"HTTP/1.1 600 X\r\nbay-revision: 1\r\nContent-Length: 1\r\n\r\na"; "a status above all classes")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\na b: 1\r\nContent-Length: 1\r\n\r\na"; "a blank in a name")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\na\x01: 1\r\nContent-Length: 1\r\n\r\na"; "a control byte in a name")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\nContent-Length : 1\r\n\r\na"; "a blank before the colon")]
#[test_case("HTTP/1.1 200 X\r\nbay-revision: 1\r\na\u{fc}: 1\r\nContent-Length: 1\r\n\r\na".as_bytes(); "a name that is not ASCII")]
#[test_case("HTTP/1.1 200 X\r\nbay-revision: 1\r\na: \u{fc}\r\nContent-Length: 1\r\n\r\na".as_bytes(); "a value that is not ASCII")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\nContent-Length: 2\r\n\r\na"; "a body that breaks off")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\nContent-Length: 1\r\n"; "a head that breaks off")]
#[test_case(b"HTTP/1.1 200 X\r\nbay-revision: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"; "chunks that break off")]
fn a_broken_response_is_an_error(response: &'static [u8]) {
    assert_eq!(get(start_store(response, 0)), Err(StoreError::Unknown));
}

#[test]
fn a_whole_response_is_read_in_parts() {
    let head = b"HTTP/1.1 200 X\r\nbay-revision: 1\r\nContent-Length: 300000\r\n\r\n";
    let Ok(StoreReply::Object(Some(object))) = get(start_store(head, 300_000)) else {
        panic!("no object");
    };
    assert_eq!(object.body, "a".repeat(300_000));
}
