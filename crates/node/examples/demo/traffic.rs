use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{FutureExt, StreamExt};
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};

use crate::balancer::Balancer;
use crate::phase::Phase;

/// Number of keys that are requested throughout the demo, one caller each.
pub(crate) const PROBED_KEYS: u64 = 48;
/// Pause between two requests for a probed key.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time between the starts of two bookings, which may overlap.
const BOOKING_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the starts of two photo uploads, which may overlap.
const PHOTO_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Prefix of the idempotency key of each booking.
pub(crate) const BOOKING_PREFIX: &str = "booking-";
const PHOTO_BYTES: usize = 100_000;
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Callers that send requests until they are dropped, and what they measure.
pub(crate) struct Traffic {
    measurements: Arc<Mutex<Measurements>>,
    _tasks: Vec<Task<()>>,
}

#[derive(Debug)]
struct Measurements {
    outcomes: BTreeMap<String, u64>,
    latency_us: Histogram<u64>,
    /// Start of the first failed request since the last success, by key.
    failing_since: BTreeMap<u64, Instant>,
    /// Total time without a success, by key.
    unavailable: BTreeMap<u64, Duration>,
    mismatched: u64,
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response that matches the request.
    Done,
    /// A response whose body is not the one that this request gets, or not of the declared length.
    Mismatched,
    /// An error from the gate, with its kind.
    Refused(String),
    /// The connection failed, or no complete response arrived before the timeout.
    NoResponse,
}

impl Outcome {
    pub(crate) fn is_done(&self) -> bool {
        *self == Outcome::Done
    }
}

impl Traffic {
    pub(crate) fn start(executor: &Arc<Executor<'static>>, balancer: Balancer) -> Traffic {
        let measurements = Arc::new(Mutex::new(Measurements::new()));
        let mut tasks = Vec::new();
        for key in 0..PROBED_KEYS {
            tasks.push(executor.spawn(probe_key(Arc::clone(&measurements), balancer.clone(), key)));
        }
        tasks.push(executor.spawn(send_bookings(
            Arc::clone(&measurements),
            balancer.clone(),
            Arc::clone(executor),
        )));
        tasks.push(executor.spawn(upload_photos(
            Arc::clone(&measurements),
            balancer,
            Arc::clone(executor),
        )));
        Traffic { measurements, _tasks: tasks }
    }

    /// Resets the measurements. A key that fails now keeps the time since when it fails.
    pub(crate) fn start_phase(&self) {
        let mut measurements = lock(&self.measurements);
        let failing_since = std::mem::take(&mut measurements.failing_since);
        *measurements = Measurements { failing_since, ..Measurements::new() };
    }

    /// Returns the measurements since the phase started. Keys that still fail count up to now.
    pub(crate) async fn end_phase(&self, name: &'static str) -> Phase {
        let mut measurements = lock(&self.measurements);
        let failing: Vec<_> =
            measurements.failing_since.iter().map(|(key, since)| (*key, *since)).collect();
        for (key, since) in failing {
            measurements.add_unavailable(key, since.elapsed());
        }
        Phase {
            name,
            outcomes: measurements.outcomes.clone(),
            latency_us: measurements.latency_us.clone(),
            unavailable_times: measurements.unavailable.values().copied().collect(),
            mismatched: measurements.mismatched,
        }
    }
}

impl Measurements {
    fn new() -> Measurements {
        Measurements {
            outcomes: BTreeMap::new(),
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            failing_since: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            mismatched: 0,
        }
    }

    fn record(&mut self, outcome: &Outcome, latency: Duration) {
        let name = match outcome {
            Outcome::Done => "done",
            Outcome::Mismatched => "mismatched",
            Outcome::Refused(kind) => kind,
            Outcome::NoResponse => "no response",
        };
        *self.outcomes.entry(name.to_owned()).or_default() += 1;
        if *outcome == Outcome::Mismatched {
            self.mismatched += 1;
        }
        if outcome.is_done() {
            self.latency_us.saturating_record(latency.as_micros() as u64);
        }
    }

    fn record_probe(&mut self, key: u64, outcome: &Outcome, started_at: Instant) {
        self.record(outcome, started_at.elapsed());
        if !outcome.is_done() {
            self.failing_since.entry(key).or_insert(started_at);
        } else if let Some(since) = self.failing_since.remove(&key) {
            self.add_unavailable(key, since.elapsed());
        }
    }

    fn add_unavailable(&mut self, key: u64, duration: Duration) {
        *self.unavailable.entry(key).or_default() += duration;
    }
}

async fn probe_key(measurements: Arc<Mutex<Measurements>>, balancer: Balancer, key: u64) {
    loop {
        let gate = balancer.pick_gate(key);
        let started_at = Instant::now();
        let outcome = get_job(gate, key).await;
        lock(&measurements).record_probe(key, &outcome, started_at);
        Timer::after(PROBE_PAUSE).await;
    }
}

async fn send_bookings(
    measurements: Arc<Mutex<Measurements>>,
    balancer: Balancer,
    executor: Arc<Executor<'static>>,
) {
    let mut ticks = Timer::interval(BOOKING_INTERVAL);
    let number = AtomicU64::new(0);
    while ticks.next().await.is_some() {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let gate = balancer.pick_gate(number);
        let measurements = Arc::clone(&measurements);
        let work = async move {
            let started_at = Instant::now();
            let path = format!("/jobs/{number}");
            let mut req = build_request(Method::Post, "jobs.example", &path, b"crew=3".to_vec());
            req.insert_header("idempotency-key", format!("{BOOKING_PREFIX}{number}"));
            let outcome = send_request(gate, req, 6).await;
            lock(&measurements).record(&outcome, started_at.elapsed());
        };
        executor.spawn(work).detach();
    }
}

async fn upload_photos(
    measurements: Arc<Mutex<Measurements>>,
    balancer: Balancer,
    executor: Arc<Executor<'static>>,
) {
    let mut ticks = Timer::interval(PHOTO_INTERVAL);
    let mut number = 0;
    while ticks.next().await.is_some() {
        number += 1;
        let gate = balancer.pick_gate(number);
        let measurements = Arc::clone(&measurements);
        let work = async move {
            let started_at = Instant::now();
            let path = format!("/photos/{number}");
            let photo = vec![0; PHOTO_BYTES];
            let req = build_request(Method::Put, "photos.example", &path, photo);
            let outcome = send_request(gate, req, PHOTO_BYTES).await;
            lock(&measurements).record(&outcome, started_at.elapsed());
        };
        executor.spawn(work).detach();
    }
}

/// Requests one job from a gate.
pub(crate) async fn get_job(gate: SocketAddr, key: u64) -> Outcome {
    let req = build_request(Method::Get, "jobs.example", &format!("/jobs/{key}"), Vec::new());
    send_request(gate, req, 0).await
}

fn build_request(method: Method, host: &str, path: &str, body: Vec<u8>) -> Request {
    let url = Url::parse(&format!("http://{host}{path}")).expect("the parts make a URL");
    let mut req = Request::new(method, url);
    req.insert_header("connection", "close");
    req.set_body(body);
    req
}

async fn send_request(gate: SocketAddr, req: Request, body_bytes: usize) -> Outcome {
    let timeout = async {
        Timer::after(CALLER_TIMEOUT).await;
        None
    };
    exchange(gate, req, body_bytes).or(timeout).await.unwrap_or(Outcome::NoResponse)
}

async fn exchange(gate: SocketAddr, req: Request, body_bytes: usize) -> Option<Outcome> {
    let stream = TcpStream::connect(gate).await.ok()?;
    let expected = format!("{} {} {body_bytes}\n", req.method(), req.url().path());
    let mut res = async_h1::connect(stream, req).await.ok()?;
    if let Some(kind) = res.header("bay-error") {
        return Some(Outcome::Refused(kind.as_str().to_owned()));
    }
    let declared = res.len();
    let text = res.body_string().await.ok()?;
    let is_complete = declared.is_none_or(|declared| declared == text.len());
    Some(if is_complete && text == expected { Outcome::Done } else { Outcome::Mismatched })
}

fn lock(measurements: &Mutex<Measurements>) -> MutexGuard<'_, Measurements> {
    measurements.lock().unwrap_or_else(PoisonError::into_inner)
}
