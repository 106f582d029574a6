//! Responses reach callers complete. A truncated or malformed one never passes for a complete one.

mod support;

use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use support::{Response, Site, SiteOptions, with_listener, with_site};
use test_case::test_case;

/// Length of a body that exceeds what the gate buffers before it forwards a response, in bytes.
const LONG_BODY_BYTES: usize = 300_000;

fn short_timeout() -> SiteOptions {
    SiteOptions { request_settings: "timeout = 400 ms", ..SiteOptions::default() }
}

async fn post(site: &Site, headers: &str) -> Response {
    let head = format!("POST /p HTTP/1.1\r\nhost: photos.example\r\n{headers}\r\n");
    site.fetch(&head).await
}

#[test_case("truncated", "answer-cut")]
#[test_case("cut-chunks", "answer-cut")]
#[test_case("bad-chunk", "bad-answer")]
#[test_case("over-long", "bad-answer")]
#[test_case("crossed", "bad-answer")]
#[test_case("lengthless", "bad-answer")]
#[test_case("two-lengths", "bad-answer")]
#[test_case("not-ascii", "bad-answer")]
#[test_case("closed", "connection-lost")]
fn a_malformed_short_response_becomes_an_error(fault: &str, error: &str) {
    with_site(short_timeout(), async |site| {
        let response = post(&site, &format!("fake-fault: {fault}\r\n")).await;
        assert_eq!(response.header("bay-error"), Some(error), "{response:?}");
        assert_eq!(response.header("bay-outcome"), Some("unknown"));
        assert!(response.is_complete);
        assert_eq!(site.target().run_count("/p"), 1);
        assert_eq!(site.gate.connection_count(site.targets[0].address), 0);
    });
}

#[test_case("silent")]
#[test_case("silent-body")]
#[test_case("late")]
fn a_response_that_times_out_becomes_an_error(fault: &str) {
    with_site(short_timeout(), async |site| {
        let response = post(&site, &format!("fake-fault: {fault}\r\n")).await;
        assert_eq!(response.header("bay-outcome"), Some("unknown"), "{response:?}");
        assert!(response.status() >= 500);
        assert_eq!(site.target().run_count("/p"), 1);
    });
}

#[test_case("truncated")]
#[test_case("cut-chunks")]
#[test_case("bad-chunk")]
#[test_case("over-long")]
#[test_case("silent-body")]
fn a_malformed_long_response_is_aborted(fault: &str) {
    with_site(short_timeout(), async |site| {
        let headers = format!("fake-fault: {fault}\r\nfake-answer-bytes: {LONG_BODY_BYTES}\r\n");
        let response = post(&site, &headers).await;
        let is_forwarded = response.status() == 200;
        assert!(
            !(is_forwarded && response.is_complete),
            "{} {:?}",
            response.head,
            response.body.len()
        );
    });
}

#[test_case("", 20; "short with a length")]
#[test_case("fake-chunked: yes\r\n", 20; "short in chunks")]
#[test_case("", LONG_BODY_BYTES; "long with a length")]
#[test_case("fake-chunked: yes\r\n", LONG_BODY_BYTES; "long in chunks")]
#[test_case("fake-fault: interim\r\n", 20; "after an interim response")]
#[test_case("", 0; "empty")]
fn a_valid_response_is_forwarded_complete(headers: &str, length: usize) {
    with_site(SiteOptions::default(), async |site| {
        let response = post(&site, &format!("{headers}fake-answer-bytes: {length}\r\n")).await;
        assert_eq!(response.status(), 200, "{}", response.head);
        assert_eq!(response.header("bay-outcome"), Some("done"));
        assert_eq!(response.body, "a".repeat(length).as_bytes());
        assert!(response.is_complete);
        // The target sends no date. The date that the HTTP library adds would contain a line end.
        assert!(response.header("date").is_some_and(|date| date.ends_with("GMT")));
        assert!(response.header("bay-request").is_none());
        assert!(response.header("bay-load").is_none());
    });
}

#[test]
fn a_response_to_head_has_the_length_and_no_body() {
    with_site(SiteOptions::default(), async |site| {
        let mut caller = site.connect().await;
        let head = "HEAD /p HTTP/1.1\r\nhost: photos.example\r\nfake-answer-bytes: 70\r\n\r\n";
        for _ in 0..2 {
            caller.send(head.as_bytes()).await;
            let response = caller.read_response_to("HEAD").await;
            assert_eq!(response.status(), 200, "{}", response.head);
            assert_eq!(response.header("content-length"), Some("70"));
        }
        assert_eq!(site.target().counts().connections, 1);
    });
}

#[test_case(204)]
#[test_case(304)]
fn a_response_without_a_body_is_forwarded(status: u16) {
    with_site(SiteOptions::default(), async |site| {
        let mut caller = site.connect().await;
        let head =
            format!("GET /p HTTP/1.1\r\nhost: photos.example\r\nfake-status: {status}\r\n\r\n");
        for _ in 0..2 {
            caller.send(head.as_bytes()).await;
            let response = caller.read_response().await;
            assert_eq!(response.status(), status);
            assert!(response.header("content-length").is_none(), "{}", response.head);
        }
        assert_eq!(site.target().counts().connections, 1);
    });
}

#[test]
fn a_late_response_does_not_reach_the_next_request() {
    with_site(short_timeout(), async |site| {
        let mut caller = site.connect().await;
        let head = "POST /late HTTP/1.1\r\nhost: photos.example\r\nfake-fault: late\r\n\r\n";
        caller.send(head.as_bytes()).await;
        assert_eq!(caller.read_response().await.header("bay-outcome"), Some("unknown"));
        // The gate may avoid the target for a moment after the failure.
        let mut done = 0;
        while done < 20 {
            caller.send(b"GET /next HTTP/1.1\r\nhost: photos.example\r\n\r\n").await;
            let response = caller.read_response().await;
            if response.header("bay-outcome") == Some("done") {
                assert_eq!(response.text(), "GET /next 0\n");
                done += 1;
            }
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n"; "no length and no body")]
#[test_case("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"; "a status below all classes")]
#[test_case("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"; "a status above all classes")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 0\r\nx y: 1\r\n\r\n"; "a blank in a name")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 0\r\nx\u{1}: 1\r\n\r\n"; "a control byte in a name")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n"; "a blank before the colon")]
fn a_response_with_an_invalid_head_is_an_error(head: &'static str) {
    let request = "POST /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";
    with_listener(short_timeout(), async |site, listener| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut vec![0; request.len()]).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
        };
        let (response, ()) = futures_lite::future::zip(site.fetch(request), serve).await;
        assert_eq!(response.header("bay-error"), Some("bad-answer"), "{response:?}");
    });
}

/// Maximum number of bytes that the gate buffers for one request and its response.
const MAX_BYTES_PER_REQUEST: u64 = 512 * 1024;

/// Guards against a target that fills the memory of the gate.
#[test_case("", "no response at all "; "noise")]
#[test_case("", "\r\n"; "blank lines")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-filler: aaaaaaaaaaaaaaaa\r\n"; "a head")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "body "; "a body without a length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n"; "chunks")]
fn an_endless_response_is_not_kept(head: &'static str, repeated: &'static str) {
    let request = "POST /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";
    with_listener(short_timeout(), async |site, listener| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let portion = repeated.repeat(10_000);
            let mut result = stream.write_all(head.as_bytes()).await;
            while result.is_ok() {
                result = stream.write_all(portion.as_bytes()).await;
            }
        };
        let call = async {
            let mut caller = site.connect().await;
            caller.send(request.as_bytes()).await;
            // The status of a body in chunks is passed on before the body breaks off.
            let response = caller.read_response().await;
            let is_error = response.header("bay-error") == Some("bad-answer");
            assert!(is_error || !response.is_complete, "{}", response.head);
        };
        futures_lite::future::zip(call, serve).await;
        let bytes = site.gate.peak_buffered_bytes();
        assert!(bytes <= MAX_BYTES_PER_REQUEST, "{bytes} bytes");
    });
}

/// Guards against a repeated response of one request that is taken for the response to the next one.
#[test]
fn a_connection_is_not_reused_after_a_response_that_names_no_request() {
    let request = "POST /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";
    with_listener(short_timeout(), async |site, listener| {
        let serve = async {
            let mut streams = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                // The head that the gate sends is longer than that of the caller.
                stream.read_exact(&mut vec![0; request.len()]).await.unwrap();
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(response).await.unwrap();
                streams.push(stream);
            }
        };
        let fetch = async {
            for _ in 0..2 {
                assert_eq!(site.fetch(request).await.status(), 200);
            }
        };
        futures_lite::future::or(fetch, serve).await;
    });
}
