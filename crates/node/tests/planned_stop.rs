//! A planned stop cuts no request.

mod support;

use std::time::Duration;

use async_io::Timer;
use bay_fakes::TargetOptions;
use support::{Caller, Plan, Received, Site, until, until_async, with_site};

const GET: &str = "GET /p HTTP/1.1\r\nhost: photos.example\r\n\r\n";

fn plan() -> Plan {
    let target = TargetOptions { service_time: Duration::from_millis(300), ..Default::default() };
    Plan { targets: vec![target], drain: Duration::from_millis(100), ..Plan::default() }
}

async fn ask_admin(site: &Site, path: &str) -> Received {
    let mut caller = Caller::connect(site.gate.addresses().admin).await;
    caller.send(format!("GET {path} HTTP/1.1\r\nhost: gate\r\n\r\n").as_bytes()).await;
    caller.receive().await
}

#[test]
fn requests_that_run_at_a_stop_are_answered() {
    with_site(plan(), async |site| {
        let mut idle = site.caller().await;
        let mut before = site.caller().await;
        before.send(GET.as_bytes()).await;
        until(|| site.target().run_count("/p") == 1).await;
        assert_eq!(ask_admin(&site, "/ready").await.status(), 200);

        let gate = site.gate.clone();
        let stopping = site.executor.spawn(async move { gate.stop().await });
        until_async(async || ask_admin(&site, "/ready").await.status() == 503).await;
        assert_eq!(ask_admin(&site, "/live").await.status(), 200);
        let mut during = site.caller().await;
        during.send(GET.as_bytes()).await;
        assert!(!stopping.is_finished());

        for caller in [&mut before, &mut during] {
            let answer = caller.receive().await;
            assert_eq!((answer.status(), answer.complete), (200, true));
            assert_eq!(answer.header("connection"), Some("close"));
            assert_eq!(caller.rest().await, b"");
        }
        assert_eq!(idle.rest().await, b"");
        stopping.await;
    });
}

#[test]
fn a_request_that_comes_as_idle_connections_close_is_served() {
    with_site(plan(), async |site| {
        let mut caller = site.caller().await;
        let half = GET.len() / 2;
        caller.send(&GET.as_bytes()[..half]).await;
        let gate = site.gate.clone();
        let stopping = site.executor.spawn(async move { gate.stop().await });
        Timer::after(Duration::from_millis(200)).await;
        caller.send(&GET.as_bytes()[half..]).await;
        assert_eq!(caller.receive().await.status(), 200);
        drop(caller);
        stopping.await;
    });
}
