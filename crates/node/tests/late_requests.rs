//! Requests that come late in a planned stop are answered by a server, or refused as not run.
//!
//! The grace period is 6 s: connections are accepted for 2.3 s, and after 5.3 s requests in flight are
//! answered by the router itself.

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    FakeStore, RunningRouter, StoreFront, answer_to, config, request_status, server_entry,
    start_router, start_scripted_server,
};
use test_case::test_case;

const SIGNED: &str = "Response-Signature: s\r\n";

/// Time after the begin of the stop at which a request is late.
const LATE: Duration = Duration::from_millis(3_200);

/// Time that the server takes for some requests.
const SLOW_WORK: Duration = Duration::from_millis(4_500);

/// A router with one server, which takes longer than what is left of the grace period after [`LATE`].
struct Site {
    router: RunningRouter,
    front: StoreFront,
    arrivals: Arc<AtomicUsize>,
    store: FakeStore,
}

impl Site {
    /// `work` is how long the server takes, except for paths that end in `slow`.
    fn start(work: Duration) -> Site {
        Site::start_with_grace(work, &["grace=6s"])
    }

    fn start_with_grace(work: Duration, bounds: &'static [&'static str]) -> Site {
        let (store, _) = FakeStore::start();
        let routes = [("/read/", "safe", "pool"), ("/book/", "unsafe", "pool")];
        store.write("config/main", Some(config("2s", &routes)));
        let arrivals = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&arrivals);
        let server = start_scripted_server(move |request, _| {
            let is_slow = request.request_line.contains("slow ");
            thread::sleep(if is_slow { SLOW_WORK } else { work });
            counter.fetch_add(1, Ordering::SeqCst);
            answer_to(request, 200, SIGNED, "done")
        });
        store.write("servers/i-1", Some(server_entry("pool", server, 4)));
        let (front, address) = StoreFront::start(&store);
        let router = start_router("h1", address, bounds);
        while request_status(router.ready, "GET", "/api/ready") != 200 {}
        Site { router, front, arrivals, store }
    }

    /// Begins a planned stop; returns when.
    fn stop(&self) -> Instant {
        self.router.stop.send_blocking(()).unwrap();
        Instant::now()
    }

    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Waits until the router has sent as many requests to the server.
    fn wait_for_attempts(&self, count: u64) {
        while self.router.metric("attempt").is_none_or(|attempts| attempts < count) {}
    }

    /// Keeps the router at work up to the cut-off.
    fn send_slow_request(&self) -> Caller {
        let mut caller = Caller::connect(self.router.listen);
        caller.send("GET /read/slow HTTP/1.1\r\nHost: shop\r\nRequest-Id: s\r\n\r\n");
        self.wait_for_attempts(1);
        caller
    }
}

/// A caller's connection.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn connect(address: SocketAddr) -> Caller {
        Caller(BufReader::new(TcpStream::connect(address).unwrap()))
    }

    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads an answer; returns its status and its head.
    fn read_answer(&mut self) -> (u16, String) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.0.read_line(&mut head).unwrap() > 0, "no answer: {head}");
        }
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length = length.map_or(0, |text| text.parse().unwrap());
        self.0.read_exact(&mut vec![0; length]).unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), head)
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against an answer of the router's own in place of the server's: in a short grace period requests
/// in flight were broken off long before its last sixth.
#[test_case(&["grace=1s"], 600)]
#[test_case(&["grace=2s"], 1_400)]
fn work_that_ends_in_a_short_grace_period_is_answered(
    bounds: &'static [&'static str],
    work_ms: u64,
) {
    let site = Site::start_with_grace(Duration::from_millis(work_ms), bounds);
    let mut caller = Caller::connect(site.router.listen);
    caller.send("GET /read/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: a\r\n\r\n");
    site.wait_for_attempts(1);
    site.stop();
    assert_eq!(caller.read_answer().0, 200);
}

/// Guards against an upload that is passed on when its server can no longer answer in time, and against
/// a caller who goes on sending what will be refused.
#[test_case("Content-Length: 20", "0"; "with a length")]
#[test_case("Transfer-Encoding: chunked", "1\r\n0\r\n"; "in chunks")]
#[test_case("Content-Length: 20\r\nDeadline-Ms: 9000", "0"; "with a deadline")]
fn an_upload_that_ends_late_in_a_stop_is_refused_before_its_end(header: &str, part: &str) {
    let site = Site::start(Duration::from_secs(3));
    let mut caller = Caller::connect(site.router.listen);
    caller
        .send(&format!("POST /book/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n{header}\r\n\r\n"));
    let mut sender = caller.0.get_ref().try_clone().unwrap();
    let part = part.to_owned();
    thread::spawn(move || {
        // The body ends 4 s after the begin of the stop.
        for _ in 0..20 {
            thread::sleep(Duration::from_millis(200));
            if sender.write_all(part.as_bytes()).is_err() {
                return;
            }
        }
        let _ = sender.write_all(b"0\r\n\r\n");
    });
    let stopped_at = site.stop();
    let (status, head) = caller.read_answer();
    assert_eq!(status, 503, "{head}");
    assert!(head.contains("Retry-After: 0.000\r\n"), "{head}");
    assert!(stopped_at.elapsed() < LATE, "refused after {:?}", stopped_at.elapsed());
    assert_eq!(site.arrivals(), 0);
}

/// Guards against a request that is passed on late because its head was read late.
#[test]
fn a_request_whose_head_ends_late_in_a_stop_is_refused() {
    let site = Site::start(Duration::ZERO);
    let _slow = site.send_slow_request();
    let mut caller = Caller::connect(site.router.listen);
    let stopped_at = site.stop();
    sleep_until(stopped_at + Duration::from_secs(1));
    caller.send("POST /book/x HTTP/1.1\r\nHost: shop\r\n");
    sleep_until(stopped_at + LATE);
    caller.send("Request-Id: q\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(caller.read_answer().0, 503);
    assert_eq!(site.arrivals(), 0);
}

/// Guards against a request that is passed on late because it waited for the one before it.
#[test]
fn a_request_behind_another_that_ends_late_in_a_stop_is_refused() {
    let site = Site::start(LATE);
    let mut caller = Caller::connect(site.router.listen);
    caller.send("GET /read/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n\r\n");
    caller.send("POST /book/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: r\r\n\r\n");
    site.wait_for_attempts(1);
    site.stop();
    assert_eq!(caller.read_answer().0, 200);
    let (status, head) = caller.read_answer();
    assert_eq!(status, 503, "{head}");
    assert_eq!(site.arrivals(), 1);
}

/// Guards against a stop that refuses what can still be answered.
#[test]
fn a_late_request_that_ends_before_the_cut_off_in_any_case_is_served() {
    let site = Site::start(Duration::ZERO);
    let _slow = site.send_slow_request();
    let mut caller = Caller::connect(site.router.listen);
    let stopped_at = site.stop();
    sleep_until(stopped_at + Duration::from_secs(1));
    caller.send("GET /read/x HTTP/1.1\r\nHost: shop\r\nDeadline-Ms: 800\r\n");
    sleep_until(stopped_at + LATE);
    caller.send("Request-Id: q\r\n\r\n");
    assert_eq!(caller.read_answer().0, 200);
}

/// Guards against connections that are accepted late because the store is slow to take the granter's
/// resignation.
#[test]
fn a_slow_resignation_does_not_prolong_the_time_of_accepting() {
    let site = Site::start_with_grace(Duration::ZERO, &["grace=2s"]);
    let _slow = site.send_slow_request();
    while site.store.object("bay-granter/leader").is_none() {}
    site.front.hold_kind("bay-granter");
    let stopped_at = site.stop();
    sleep_until(stopped_at + Duration::from_millis(1_200));
    assert!(TcpStream::connect(site.router.listen).is_err());
    assert!(site.router.stopped.recv().is_err(), "the channel closes when the stop is complete");
}
