//! Answers reach callers whole or not as whole ones.

mod support;

use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use support::{Plan, Received, Site, with_listener, with_site};
use test_case::test_case;

/// A body that is longer than what the gate keeps before it passes an answer on.
const LONG: usize = 300_000;

fn short_timeout() -> Plan {
    Plan { requests: "timeout = 400 ms", ..Plan::default() }
}

async fn post(site: &Site, headers: &str) -> Received {
    let head = format!("POST /p HTTP/1.1\r\nhost: photos.example\r\n{headers}\r\n");
    site.ask(&head).await
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
fn a_wrong_short_answer_becomes_an_error(fault: &str, error: &str) {
    with_site(short_timeout(), async |site| {
        let answer = post(&site, &format!("fake-fault: {fault}\r\n")).await;
        assert_eq!(answer.header("bay-error"), Some(error), "{answer:?}");
        assert_eq!(answer.header("bay-outcome"), Some("unknown"));
        assert!(answer.complete);
        assert_eq!(site.target().run_count("/p"), 1);
        assert_eq!(site.gate.connection_count(site.targets[0].address), 0);
    });
}

#[test_case("silent")]
#[test_case("silent-body")]
#[test_case("late")]
fn an_answer_that_does_not_come_in_time_becomes_an_error(fault: &str) {
    with_site(short_timeout(), async |site| {
        let answer = post(&site, &format!("fake-fault: {fault}\r\n")).await;
        assert_eq!(answer.header("bay-outcome"), Some("unknown"), "{answer:?}");
        assert!(answer.status() >= 500);
        assert_eq!(site.target().run_count("/p"), 1);
    });
}

#[test_case("truncated")]
#[test_case("cut-chunks")]
#[test_case("bad-chunk")]
#[test_case("over-long")]
#[test_case("silent-body")]
fn a_wrong_long_answer_is_broken_off(fault: &str) {
    with_site(short_timeout(), async |site| {
        let headers = format!("fake-fault: {fault}\r\nfake-answer-bytes: {LONG}\r\n");
        let answer = post(&site, &headers).await;
        let passed_on = answer.status() == 200;
        assert!(!(passed_on && answer.complete), "{} {:?}", answer.head, answer.body.len());
    });
}

#[test_case("", 20; "short with a length")]
#[test_case("fake-chunked: yes\r\n", 20; "short in chunks")]
#[test_case("", LONG; "long with a length")]
#[test_case("fake-chunked: yes\r\n", LONG; "long in chunks")]
#[test_case("fake-fault: interim\r\n", 20; "after an interim answer")]
#[test_case("", 0; "empty")]
fn a_right_answer_is_passed_on_whole(headers: &str, length: usize) {
    with_site(Plan::default(), async |site| {
        let answer = post(&site, &format!("{headers}fake-answer-bytes: {length}\r\n")).await;
        assert_eq!(answer.status(), 200, "{}", answer.head);
        assert_eq!(answer.header("bay-outcome"), Some("done"));
        assert_eq!(answer.body, "a".repeat(length).as_bytes());
        assert!(answer.complete);
        // The target sends no date; the library's own would hold a line end.
        assert!(answer.header("date").is_some_and(|date| date.ends_with("GMT")));
        assert!(answer.header("bay-request").is_none());
        assert!(answer.header("bay-load").is_none());
    });
}

#[test]
fn an_answer_to_head_has_the_length_and_no_body() {
    with_site(Plan::default(), async |site| {
        let mut caller = site.caller().await;
        let head = "HEAD /p HTTP/1.1\r\nhost: photos.example\r\nfake-answer-bytes: 70\r\n\r\n";
        for _ in 0..2 {
            caller.send(head.as_bytes()).await;
            let answer = caller.receive_to("HEAD").await;
            assert_eq!(answer.status(), 200, "{}", answer.head);
            assert_eq!(answer.header("content-length"), Some("70"));
        }
        assert_eq!(site.target().counts().connections, 1);
    });
}

#[test_case(204)]
#[test_case(304)]
fn an_answer_without_a_body_is_passed_on(status: u16) {
    with_site(Plan::default(), async |site| {
        let mut caller = site.caller().await;
        let head =
            format!("GET /p HTTP/1.1\r\nhost: photos.example\r\nfake-status: {status}\r\n\r\n");
        for _ in 0..2 {
            caller.send(head.as_bytes()).await;
            let answer = caller.receive().await;
            assert_eq!(answer.status(), status);
            assert!(answer.header("content-length").is_none(), "{}", answer.head);
        }
        assert_eq!(site.target().counts().connections, 1);
    });
}

#[test]
fn a_late_answer_does_not_reach_the_next_request() {
    with_site(short_timeout(), async |site| {
        let mut caller = site.caller().await;
        let head = "POST /late HTTP/1.1\r\nhost: photos.example\r\nfake-fault: late\r\n\r\n";
        caller.send(head.as_bytes()).await;
        assert_eq!(caller.receive().await.header("bay-outcome"), Some("unknown"));
        // The gate may leave the target alone for a moment.
        let mut done = 0;
        while done < 20 {
            caller.send(b"GET /next HTTP/1.1\r\nhost: photos.example\r\n\r\n").await;
            let answer = caller.receive().await;
            if answer.header("bay-outcome") == Some("done") {
                assert_eq!(answer.text(), "GET /next 0\n");
                done += 1;
            }
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn an_answer_without_length_and_body_is_not_whole() {
    let request = "POST /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";
    with_listener(short_timeout(), async |site, listener| {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut vec![0; request.len()]).await.unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        };
        let (answer, ()) = futures_lite::future::zip(site.ask(request), serve).await;
        assert_eq!(answer.header("bay-error"), Some("bad-answer"), "{answer:?}");
    });
}
