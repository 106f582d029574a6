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

/// Keys that are asked for all the time.
pub(crate) const PROBED_KEYS: u64 = 48;
/// Pause between two requests for a probed key.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two bookings.
const BOOKING_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two photo uploads.
const PHOTO_PAUSE: Duration = Duration::from_millis(50);
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Start of each booking's idempotency key.
pub(crate) const BOOKING_PREFIX: &str = "booking-";
const PHOTO_BYTES: usize = 100_000;
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Callers that send requests until the demo ends.
pub(crate) struct Traffic {
    seen: Arc<Mutex<Seen>>,
    _tasks: Vec<Task<()>>,
}

#[derive(Debug)]
struct Seen {
    outcomes: BTreeMap<String, u64>,
    latency_us: Histogram<u64>,
    failing_since: BTreeMap<u64, Instant>,
    unavailable: BTreeMap<u64, Duration>,
    mismatched: u64,
}

/// What a caller got for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The whole answer to this request.
    Done,
    /// An answer that does not fit the request.
    Mismatched,
    /// An error of the gate's own, with its kind.
    Refused(String),
    /// No answer.
    None,
}

impl Answer {
    pub(crate) fn is_done(&self) -> bool {
        *self == Answer::Done
    }
}

impl Traffic {
    pub(crate) fn start(executor: &Arc<Executor<'static>>, balancer: Balancer) -> Traffic {
        let seen = Arc::new(Mutex::new(Seen::new()));
        let mut tasks = Vec::new();
        for key in 0..PROBED_KEYS {
            tasks.push(executor.spawn(probe(Arc::clone(&seen), balancer.clone(), key)));
        }
        tasks.push(executor.spawn(bookings(
            Arc::clone(&seen),
            balancer.clone(),
            Arc::clone(executor),
        )));
        tasks.push(executor.spawn(photos(Arc::clone(&seen), balancer, Arc::clone(executor))));
        Traffic { seen, _tasks: tasks }
    }

    pub(crate) fn begin_phase(&self) {
        let mut seen = lock(&self.seen);
        let failing_since = std::mem::take(&mut seen.failing_since);
        *seen = Seen { failing_since, ..Seen::new() };
    }

    pub(crate) async fn end_phase(&self, name: &'static str) -> Phase {
        let mut seen = lock(&self.seen);
        let failing: Vec<_> = seen.failing_since.iter().map(|(key, at)| (*key, *at)).collect();
        for (key, at) in failing {
            seen.add_unavailable(key, at.elapsed());
        }
        Phase {
            name,
            outcomes: seen.outcomes.clone(),
            latency_us: seen.latency_us.clone(),
            unavailable: seen.unavailable.values().copied().collect(),
            mismatched: seen.mismatched,
        }
    }
}

impl Seen {
    fn new() -> Seen {
        Seen {
            outcomes: BTreeMap::new(),
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            failing_since: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            mismatched: 0,
        }
    }

    fn record(&mut self, answer: &Answer, took: Duration) {
        let name = match answer {
            Answer::Done => "done",
            Answer::Mismatched => "mismatched",
            Answer::Refused(kind) => kind,
            Answer::None => "no answer",
        };
        *self.outcomes.entry(name.to_owned()).or_default() += 1;
        if *answer == Answer::Mismatched {
            self.mismatched += 1;
        }
        if answer.is_done() {
            self.latency_us.saturating_record(took.as_micros() as u64);
        }
    }

    fn record_probe(&mut self, key: u64, answer: &Answer, began: Instant) {
        self.record(answer, began.elapsed());
        if !answer.is_done() {
            self.failing_since.entry(key).or_insert(began);
        } else if let Some(since) = self.failing_since.remove(&key) {
            self.add_unavailable(key, since.elapsed());
        }
    }

    fn add_unavailable(&mut self, key: u64, span: Duration) {
        *self.unavailable.entry(key).or_default() += span;
    }
}

async fn probe(seen: Arc<Mutex<Seen>>, balancer: Balancer, key: u64) {
    loop {
        let gate = balancer.pick(key);
        let began = Instant::now();
        let answer = get_job(gate, key).await;
        lock(&seen).record_probe(key, &answer, began);
        Timer::after(PROBE_PAUSE).await;
    }
}

async fn bookings(seen: Arc<Mutex<Seen>>, balancer: Balancer, executor: Arc<Executor<'static>>) {
    let mut ticks = Timer::interval(BOOKING_PAUSE);
    let number = AtomicU64::new(0);
    while ticks.next().await.is_some() {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let gate = balancer.pick(number);
        let seen = Arc::clone(&seen);
        let work = async move {
            let began = Instant::now();
            let path = format!("/jobs/{number}");
            let mut req = request(Method::Post, "jobs.example", &path, b"crew=3".to_vec());
            req.insert_header("idempotency-key", format!("{BOOKING_PREFIX}{number}"));
            let answer = call(gate, req, 6).await;
            lock(&seen).record(&answer, began.elapsed());
        };
        executor.spawn(work).detach();
    }
}

async fn photos(seen: Arc<Mutex<Seen>>, balancer: Balancer, executor: Arc<Executor<'static>>) {
    let mut ticks = Timer::interval(PHOTO_PAUSE);
    let mut number = 0;
    while ticks.next().await.is_some() {
        number += 1;
        let gate = balancer.pick(number);
        let seen = Arc::clone(&seen);
        let work = async move {
            let began = Instant::now();
            let path = format!("/photos/{number}");
            let photo = vec![0; PHOTO_BYTES];
            let req = request(Method::Put, "photos.example", &path, photo);
            let answer = call(gate, req, PHOTO_BYTES).await;
            lock(&seen).record(&answer, began.elapsed());
        };
        executor.spawn(work).detach();
    }
}

/// Asks a gate for one job.
pub(crate) async fn get_job(gate: SocketAddr, key: u64) -> Answer {
    let req = request(Method::Get, "jobs.example", &format!("/jobs/{key}"), Vec::new());
    call(gate, req, 0).await
}

fn request(method: Method, host: &str, path: &str, body: Vec<u8>) -> Request {
    let url = Url::parse(&format!("http://{host}{path}")).expect("the parts make a URL");
    let mut req = Request::new(method, url);
    req.insert_header("connection", "close");
    req.set_body(body);
    req
}

async fn call(gate: SocketAddr, req: Request, body_bytes: usize) -> Answer {
    let late = async {
        Timer::after(CALLER_TIMEOUT).await;
        None
    };
    exchange(gate, req, body_bytes).or(late).await.unwrap_or(Answer::None)
}

async fn exchange(gate: SocketAddr, req: Request, body_bytes: usize) -> Option<Answer> {
    let stream = TcpStream::connect(gate).await.ok()?;
    let expected = format!("{} {} {body_bytes}\n", req.method(), req.url().path());
    let mut res = async_h1::connect(stream, req).await.ok()?;
    if let Some(kind) = res.header("bay-error") {
        return Some(Answer::Refused(kind.as_str().to_owned()));
    }
    let declared = res.len();
    let text = res.body_string().await.ok()?;
    let whole = declared.is_none_or(|declared| declared == text.len());
    Some(if whole && text == expected { Answer::Done } else { Answer::Mismatched })
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}
