//! Requests that violate HTTP or a limit are refused with an error kind and reach no target.

mod support;

use std::time::Duration;

use bay_node::HttpLimits;
use support::{SiteOptions, with_site};
use test_case::test_case;

const HOST: &str = "host: photos.example\r\n";

fn request(line: &str, headers: &str, body: &str) -> String {
    format!("{line}\r\n{headers}\r\n{body}")
}

fn post(headers: &str, body: &str) -> String {
    request("POST /p HTTP/1.1", &format!("{HOST}{headers}"), body)
}

fn get(path: &str) -> String {
    request(&format!("GET {path} HTTP/1.1"), HOST, "")
}

/// Checks that a request is refused, counted and not forwarded, and that its connection closes.
fn assert_refused(request: &str, status: u16, error: &str) {
    with_site(SiteOptions::default(), async |site| {
        let mut caller = site.connect().await;
        let smuggled = get("/smuggled");
        caller.send(format!("{request}{smuggled}").as_bytes()).await;
        let response = caller.read_response().await;
        assert_eq!(response.header("bay-error"), Some(error), "{response:?}");
        assert_eq!(response.status(), status);
        assert_eq!(response.header("bay-outcome"), Some("not-run"));
        assert_eq!(response.header("connection"), Some("close"));
        assert!(response.is_complete);
        assert_eq!(caller.read_to_end().await, b"");
        assert_eq!(site.target().counts().connections, 0);
        assert_eq!(site.counter(&format!("refused.{error}")).await, 1);
    });
}

#[test_case("content-length: 4\r\ncontent-length: 4\r\n", "body"; "two equal lengths")]
#[test_case("content-length: 4\r\ncontent-length: 5\r\n", "body"; "two lengths")]
#[test_case("content-length: 4, 4\r\n", "body"; "a list of lengths")]
#[test_case("content-length: +4\r\n", "body"; "a length with a sign")]
#[test_case("content-length: 4 \t4\r\n", "body"; "a length with a space")]
#[test_case("content-length: -1\r\n", ""; "a negative length")]
#[test_case("content-length: 0x4\r\n", "body"; "a hexadecimal length")]
#[test_case("content-length: 99999999999999999999\r\n", ""; "a length beyond 64 bits")]
#[test_case("content-length: \r\n", ""; "an empty length")]
#[test_case("content-length: 4\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"; "length and chunks")]
#[test_case("transfer-encoding: chunked\r\ncontent-length: 4\r\n", "0\r\n\r\n"; "chunks and length")]
#[test_case("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n"; "two encodings")]
#[test_case("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"; "chunks twice")]
#[test_case("transfer-encoding: identity\r\n", ""; "another encoding")]
#[test_case("transfer-encoding: xchunked\r\n", "0\r\n\r\n"; "an unknown encoding")]
#[test_case("transfer-encoding : chunked\r\n", "0\r\n\r\n"; "a space before the colon")]
#[test_case("x: a\r\n content-length: 4\r\n", ""; "a folded line")]
#[test_case("x: a\rcontent-length: 4\r\n", ""; "a lone carriage return")]
#[test_case("x: a\ncontent-length: 4\r\n", ""; "a lone line feed")]
#[test_case("x: a\0b\r\n", ""; "a zero byte")]
#[test_case("x: T\u{f5}nu\r\n", ""; "a value that is not ASCII")]
#[test_case("host: photos.example\r\n", ""; "two hosts")]
#[test_case("expect: a-miracle\r\n", ""; "an unknown expectation")]
#[test_case("x y: a\r\n", ""; "a space in a name")]
#[test_case(": a\r\n", ""; "an empty name")]
#[test_case("x\r\n", ""; "a line without a colon")]
#[test_case("transfer-encoding: chunked\r\n", "\r\n"; "an empty chunk size")]
#[test_case("transfer-encoding: chunked\r\n", "\r\n\r\n"; "an empty last chunk size")]
#[test_case("transfer-encoding: chunked\r\n", "zz\r\n"; "a chunk size that is no number")]
#[test_case("transfer-encoding: chunked\r\n", "-1\r\n"; "a negative chunk size")]
#[test_case("transfer-encoding: chunked\r\n", "11111111111111111\r\n"; "a chunk size beyond 64 bits")]
#[test_case("transfer-encoding: chunked\r\n", "1\r\nab\r\n"; "a chunk longer than its size")]
#[test_case("transfer-encoding: chunked\r\n", "1\n"; "a chunk size with a lone line feed")]
#[test_case("transfer-encoding: chunked\r\n", "0\r\nx y\r\n\r\n"; "a malformed trailer")]
fn an_ambiguous_request_is_refused(headers: &str, body: &str) {
    assert_refused(&post(headers, body), 400, "bad-request");
}

#[test_case("GET /p HTTP/1.0", HOST; "an older version")]
#[test_case("GET /p HTTP/2.0", HOST; "a newer version")]
#[test_case("GET  /p HTTP/1.1", HOST; "two spaces")]
#[test_case("GET p HTTP/1.1", HOST; "a path without a slash")]
#[test_case("GET http://other.example/p HTTP/1.1", HOST; "an absolute URL")]
#[test_case("GET /a/../p HTTP/1.1", HOST; "dot segments")]
#[test_case("GET /a/%2e%2E/p HTTP/1.1", HOST; "encoded dot segments")]
#[test_case("GET /a\\..\\p HTTP/1.1", HOST; "backslashes")]
#[test_case("GET /p#part HTTP/1.1", HOST; "a fragment")]
#[test_case("GET /p HTTP/1.1", ""; "no host")]
#[test_case("GET /p HTTP/1.1", "host: photos.example/jobs\r\n"; "a path in the host")]
#[test_case("GET /p HTTP/1.1", "host: me@photos.example\r\n"; "a user in the host")]
#[test_case("GET /p HTTP/1.1", "host: \r\n"; "an empty host")]
fn an_invalid_request_line_or_host_is_refused(line: &str, headers: &str) {
    assert_refused(&request(line, headers, ""), 400, "bad-request");
}

#[test_case("TRACE /p HTTP/1.1"; "trace")]
#[test_case("CONNECT /p HTTP/1.1"; "connect")]
#[test_case("BREW /p HTTP/1.1"; "unknown")]
#[test_case("get /p HTTP/1.1"; "lower case")]
fn an_unsupported_method_is_refused(line: &str) {
    assert_refused(&request(line, HOST, ""), 405, "method-not-allowed");
}

#[test]
fn too_many_headers_are_refused() {
    let headers = "x: a\r\n".repeat(HttpLimits::default().max_headers);
    assert_refused(&post(&headers, ""), 431, "head-too-large");
}

#[test]
fn a_head_that_is_too_long_is_refused() {
    let header = format!("x: {}\r\n", "a".repeat(HttpLimits::default().max_head_bytes));
    assert_refused(&post(&header, ""), 431, "head-too-large");
}

#[test]
fn an_unknown_host_is_refused() {
    with_site(SiteOptions::default(), async |site| {
        let response = site.fetch("GET /p HTTP/1.1\r\nhost: other.example\r\n\r\n").await;
        assert_eq!(response.status(), 421);
        assert_eq!(response.header("bay-error"), Some("unknown-host"));
        assert_eq!(site.target().counts().connections, 0);
    });
}

#[test]
fn a_slow_head_is_refused() {
    let limits = HttpLimits { head_timeout: Duration::from_millis(100), ..HttpLimits::default() };
    with_site(SiteOptions { limits, ..SiteOptions::default() }, async |site| {
        let mut caller = site.connect().await;
        caller.send(b"GET /p HTTP/1.1\r\n").await;
        let response = caller.read_response().await;
        assert_eq!(response.header("bay-error"), Some("slow-caller"));
        assert_eq!(response.status(), 408);
        assert_eq!(site.counter("refused.slow-caller").await, 1);
    });
}

#[test]
fn an_idle_connection_is_closed_without_a_response() {
    let limits = HttpLimits { idle_timeout: Duration::from_millis(100), ..HttpLimits::default() };
    with_site(SiteOptions { limits, ..SiteOptions::default() }, async |site| {
        let mut caller = site.connect().await;
        assert_eq!(caller.read_to_end().await, b"");
    });
}

#[test]
fn a_body_below_the_minimum_rate_is_refused() {
    let stall_timeout = Duration::from_millis(200);
    let limits = HttpLimits { stall_timeout, min_body_rate: 1_000_000, ..HttpLimits::default() };
    with_site(SiteOptions { limits, ..SiteOptions::default() }, async |site| {
        let mut caller = site.connect().await;
        caller.send(post("content-length: 1000\r\n", "").as_bytes()).await;
        let mut sender = caller.clone_connection();
        let trickle = async {
            while sender.send(b"x").await {
                async_io::Timer::after(Duration::from_millis(10)).await;
            }
            std::future::pending().await
        };
        let response = futures_lite::future::or(caller.read_response(), trickle).await;
        assert_eq!(response.header("bay-error"), Some("slow-caller"));
        assert_eq!(site.target().counts().connections, 0);
    });
}

#[test_case(3, 100, 503, "gate-overloaded"; "in total")]
#[test_case(100, 3, 429, "too-many-connections"; "of one peer")]
fn connections_above_the_limit_are_refused(all: u32, peer: u32, status: u16, error: &str) {
    let options = SiteOptions {
        max_connections: all,
        max_connections_per_peer: peer,
        ..SiteOptions::default()
    };
    with_site(options, async |site| {
        let mut callers = Vec::new();
        for _ in 0..3 {
            let mut caller = site.connect().await;
            caller.send(get("/p").as_bytes()).await;
            assert_eq!(caller.read_response().await.status(), 200);
            callers.push(caller);
        }
        let response = site.connect().await.read_response().await;
        assert_eq!(response.status(), status);
        assert_eq!(response.header("bay-error"), Some(error));
        callers.clear();
        support::wait_until_async(async || site.fetch(&get("/p")).await.status() == 200).await;
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    with_site(SiteOptions::default(), async |site| {
        let mut caller = site.connect().await;
        let first = post("content-length: 4\r\n", "body");
        let second = post("transfer-encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n");
        let all = format!("{first}{second}{}", get("/last"));
        caller.send(all.as_bytes()).await;
        assert_eq!(caller.read_response().await.text(), "POST /p 4\n");
        assert_eq!(caller.read_response().await.text(), "POST /p 4\n");
        assert_eq!(caller.read_response().await.text(), "GET /last 0\n");
    });
}
