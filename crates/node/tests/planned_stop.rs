//! A planned stop completes every request.

mod support;

use std::time::Duration;

use async_io::Timer;
use bay_fakes::TargetOptions;
use support::{Caller, Response, Site, SiteOptions, wait_until, wait_until_async, with_site};

const GET: &str = "GET /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";

fn options() -> SiteOptions {
    let target = TargetOptions { service_time: Duration::from_millis(300), ..Default::default() };
    SiteOptions {
        targets: vec![target],
        drain: Duration::from_millis(100),
        ..SiteOptions::default()
    }
}

async fn fetch_admin(site: &Site, path: &str) -> Response {
    let mut caller = Caller::connect(site.gate.addresses().admin).await;
    caller.send(format!("GET {path} HTTP/1.1\r\nhost: gate\r\n\r\n").as_bytes()).await;
    caller.read_response().await
}

#[test]
fn requests_in_flight_at_a_stop_are_answered() {
    with_site(options(), async |site| {
        let mut idle_caller = site.connect().await;
        let mut caller_before_stop = site.connect().await;
        caller_before_stop.send(GET.as_bytes()).await;
        wait_until(|| site.target().run_count("/p") == 1).await;
        assert_eq!(fetch_admin(&site, "/ready").await.status(), 200);

        let gate = site.gate.clone();
        let stopping = site.executor.spawn(async move { gate.stop().await });
        wait_until_async(async || fetch_admin(&site, "/ready").await.status() == 503).await;
        assert_eq!(fetch_admin(&site, "/live").await.status(), 200);
        let mut caller_during_stop = site.connect().await;
        caller_during_stop.send(GET.as_bytes()).await;
        assert!(!stopping.is_finished());

        for caller in [&mut caller_before_stop, &mut caller_during_stop] {
            let response = caller.read_response().await;
            assert_eq!((response.status(), response.is_complete), (200, true));
            assert_eq!(response.header("connection"), Some("close"));
            assert_eq!(caller.read_to_end().await, b"");
        }
        assert_eq!(idle_caller.read_to_end().await, b"");
        stopping.await;
    });
}

#[test]
fn a_request_that_arrives_while_idle_connections_close_is_served() {
    with_site(options(), async |site| {
        let mut caller = site.connect().await;
        let half = GET.len() / 2;
        caller.send(&GET.as_bytes()[..half]).await;
        let gate = site.gate.clone();
        let stopping = site.executor.spawn(async move { gate.stop().await });
        Timer::after(Duration::from_millis(200)).await;
        caller.send(&GET.as_bytes()[half..]).await;
        assert_eq!(caller.read_response().await.status(), 200);
        drop(caller);
        stopping.await;
    });
}
