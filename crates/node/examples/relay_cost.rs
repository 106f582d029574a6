//! Measures the gate's own cost a request against a bare relay over the same libraries.
//!
//! Callers and the target are plain blocking threads, so that only the gate or the relay uses the
//! async libraries; their processor time is taken off the process's.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_executor::Executor;
use bay_conf::{GateSettings, LogLevel, Settings, StewardSettings};
use bay_node::GateShell;
use bay_obs::Counters;
use bay_types::{HostName, ServiceName, ZoneName};
use bay_wire::{ClusterKey, Item, ItemKey, ItemVersion};
use futures_lite::StreamExt;
use http_types::{Request, Response, Url};
use rustix::time::{ClockId, clock_gettime};

/// Targets of the gate; the relay has one.
const TARGETS: usize = 4;

/// Connections of callers, each with one request at a time.
const CALLERS: usize = 4;

/// Requests of each caller in one round.
const REQUESTS: usize = 10_000;

/// Rounds of each kind, which take turns.
const ROUNDS: usize = 5;

/// Connections that are opened and left idle.
const IDLE_CONNECTIONS: usize = 2_000;

/// Length of the upload, in bytes.
const UPLOAD_BYTES: usize = 64 << 20;

/// Most that the gate may cost, as a multiple of the relay.
const MAX_RATIO: f64 = 1.3;

const REQUEST: &[u8] = b"GET /jobs/4711?view=short HTTP/1.1\r\nhost: photos.example\r\n\
    user-agent: bench\r\naccept: */*\r\n\r\n";

const ANSWER_BODY: &str =
    "{\"job\": 4711, \"state\": \"booked\", \"crew\": \"north-2\", \"van\": 12}";

/// Pause of a caller after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// Refusals, of which a gate gives some while a target is slow for a moment.
static REFUSED: AtomicU64 = AtomicU64::new(0);

/// Processor time of the threads that are not measured, in nanoseconds.
static OTHERS: AtomicU64 = AtomicU64::new(0);

fn main() {
    let targets: Vec<_> = (0..TARGETS).map(|_| start_target()).collect();
    let executor = Arc::new(Executor::new());
    let gate = start_gate(&targets, &executor);
    let relay = start_relay(targets[0], &executor);
    let running = Arc::clone(&executor);
    thread::spawn(move || async_io::block_on(running.run(std::future::pending::<()>())));

    run_round(gate.addresses().listen);
    run_round(relay);
    let mut gate_costs = Vec::new();
    let mut relay_costs = Vec::new();
    for _ in 0..ROUNDS {
        relay_costs.push(run_round(relay));
        gate_costs.push(run_round(gate.addresses().listen));
    }
    let (gate_cost, relay_cost) = (median(gate_costs), median(relay_costs));
    let ratio = gate_cost / relay_cost;
    println!("relay: {relay_cost:.2} us of processor time a request");
    println!("gate:  {gate_cost:.2} us of processor time a request");
    println!("ratio: {ratio:.2} (target: at most {MAX_RATIO})");
    println!("refused and sent again: {}", REFUSED.load(Ordering::SeqCst));
    measure_idle(gate.addresses().listen);
    measure_upload(&gate);
    if ratio > MAX_RATIO {
        std::process::exit(1);
    }
}

/// Runs one round; returns the processor time a request, in microseconds.
fn run_round(to: SocketAddr) -> f64 {
    let before = measured_time();
    let callers: Vec<_> = (0..CALLERS).map(|_| thread::spawn(move || call(to))).collect();
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    // The target's threads add their time as their connections go on.
    thread::sleep(Duration::from_millis(20));
    let spent = measured_time() - before;
    spent as f64 / 1_000.0 / (CALLERS * REQUESTS) as f64
}

fn call(to: SocketAddr) {
    let mut stream = TcpStream::connect(to).expect("the address takes connections");
    stream.set_nodelay(true).expect("the socket takes options");
    let mut done = 0;
    while done < REQUESTS {
        if ask(&mut stream) {
            done += 1;
        } else {
            REFUSED.fetch_add(1, Ordering::SeqCst);
            thread::sleep(REFUSAL_PAUSE);
        }
    }
    OTHERS.fetch_add(thread_time(), Ordering::SeqCst);
}

/// Sends one request; returns whether it was not refused.
fn ask(stream: &mut TcpStream) -> bool {
    stream.write_all(REQUEST).expect("the request is taken");
    let mut buf = [0; 4_096];
    let mut filled = 0;
    loop {
        let count = stream.read(&mut buf[filled..]).expect("the answer comes");
        assert!(count > 0, "the answer ends early");
        filled += count;
        if buf[..filled].ends_with(ANSWER_BODY.as_bytes()) {
            return true;
        }
        if buf.starts_with(b"HTTP/1.1 503") && buf[..filled].ends_with(b"\n") {
            return false;
        }
    }
}

/// Starts a target that answers each request at once.
fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    stream.set_nodelay(true).expect("the socket takes options");
    let mut buf = vec![0; 64 * 1024];
    let mut head = Vec::new();
    let mut counted = 0;
    loop {
        let count = stream.read(&mut buf).unwrap_or_default();
        if count == 0 {
            return;
        }
        head.extend_from_slice(&buf[..count]);
        let Some(end) = head.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let header = |name: &str| {
            let mut lines = text.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
        };
        let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let mut left: usize = (end + 4 + length).saturating_sub(head.len());
        while left > 0 {
            let most = buf.len().min(left);
            left -= stream.read(&mut buf[..most]).expect("the body comes");
        }
        head.clear();
        let id = header("bay-request").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nbay-request: {id}\r\n\
             bay-load: 1/4\r\ncontent-length: {}\r\n\r\n{ANSWER_BODY}",
            ANSWER_BODY.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let time = thread_time();
        OTHERS.fetch_add(time - counted, Ordering::SeqCst);
        counted = time;
    }
}

fn start_gate(targets: &[SocketAddr], executor: &Arc<Executor<'static>>) -> GateShell {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let settings = Settings {
        host: HostName::new("entry-1").expect("the name is valid"),
        zone: ZoneName::new("north").expect("the name is valid"),
        store: any,
        key_file: "unused".into(),
        log_level: LogLevel::Error,
        metrics: None,
        gate: GateSettings {
            listen: any,
            admin: any,
            peer: any,
            stewards: Vec::new(),
            max_connections: 10_000,
            max_connections_per_peer: 10_000,
            drain: Duration::ZERO,
        },
        steward: StewardSettings { listen: any, admin: any },
    };
    let counters = Counters::new("gate", None).expect("no socket is needed");
    let key = ClusterKey::derive(&[7; 32]).expect("the secret is long enough");
    let bound = GateShell::bind(&settings, key, counters, Arc::clone(executor));
    let gate = async_io::block_on(bound).expect("ports are free");
    gate.apply(&[document(targets)]);
    gate.start();
    gate
}

fn document(targets: &[SocketAddr]) -> Item {
    let mut text = String::from(
        "[service]\nname = photos\nhosts = photos.example\nkind = pooled\n\
         [requests]\nmax_body = 100 MB\n\
         [limits]\nslots = 4\ncold_slots = 4\nconnections = 110\n",
    );
    for (at, target) in targets.iter().enumerate() {
        text.push_str(&format!("[server t{at}]\naddress = {target}\nzone = north\n"));
    }
    Item {
        key: ItemKey::Document(ServiceName::new("photos").expect("the name is valid")),
        version: ItemVersion { major: 1, minor: 0 },
        base: None,
        body: text.into_bytes(),
    }
}

/// Starts the least that relays requests over kept connections with the same libraries.
fn start_relay(target: SocketAddr, executor: &Arc<Executor<'static>>) -> SocketAddr {
    let bound = async_net::TcpListener::bind("127.0.0.1:0");
    let listener = async_io::block_on(bound).expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let spawner = Arc::clone(executor);
    let relay = Arc::new(Relay { target, idle: Mutex::default() });
    let accept = async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            stream.set_nodelay(true).expect("the socket takes options");
            let relay = Arc::clone(&relay);
            let serve = async move {
                let answer = |req| relay_request(Arc::clone(&relay), req);
                // A connection that breaks concerns its caller only.
                let _ = async_h1::accept(stream, answer).await;
            };
            spawner.spawn(serve).detach();
        }
    };
    executor.spawn(accept).detach();
    address
}

struct Relay {
    target: SocketAddr,
    idle: Mutex<Vec<async_net::TcpStream>>,
}

async fn relay_request(relay: Arc<Relay>, mut req: Request) -> http_types::Result<Response> {
    let idle = relay.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let stream = match idle {
        Some(stream) => stream,
        None => async_net::TcpStream::connect(relay.target).await?,
    };
    stream.set_nodelay(true)?;
    let mut url = Url::parse(&format!("http://{}", relay.target))?;
    url.set_path(req.url().path());
    url.set_query(req.url().query());
    *req.url_mut() = url;
    let mut res = async_h1::connect(stream.clone(), req).await?;
    let body = res.body_bytes().await?;
    res.set_body(body);
    // The library adds a malformed one, which the callers here would take.
    res.remove_header("date");
    relay.idle.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
    Ok(res)
}

fn measure_idle(to: SocketAddr) {
    let before = resident_bytes();
    let mut open = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        open.push(TcpStream::connect(to).expect("the gate takes connections"));
    }
    for stream in &mut open {
        // A refusal makes the connection as idle as an answer.
        ask(stream);
    }
    thread::sleep(Duration::from_millis(200));
    let each = resident_bytes().saturating_sub(before) / IDLE_CONNECTIONS as u64;
    println!("idle:  {each} bytes of memory a connection that has served one request");
}

fn measure_upload(gate: &GateShell) {
    let before = gate.peak_buffered_bytes();
    // A refusal would end the upload early; the targets come back from any slow moment.
    thread::sleep(Duration::from_secs(5));
    let mut stream = TcpStream::connect(gate.addresses().listen).expect("the gate listens");
    let head = format!(
        "POST /photos HTTP/1.1\r\nhost: photos.example\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let started = Instant::now();
    stream.write_all(head.as_bytes()).expect("the head is taken");
    let part = vec![b'x'; 1 << 20];
    for _ in 0..UPLOAD_BYTES / part.len() {
        stream.write_all(&part).expect("the body is taken");
    }
    let mut buf = [0; 4_096];
    let count = stream.read(&mut buf).expect("the answer comes");
    assert!(buf[..count].starts_with(b"HTTP/1.1 200"));
    println!(
        "upload of {} MB: {:.0} ms, peak of buffers {} bytes (before it {before})",
        UPLOAD_BYTES >> 20,
        started.elapsed().as_secs_f64() * 1_000.0,
        gate.peak_buffered_bytes()
    );
}

/// Processor time of the process without callers and target, in nanoseconds.
fn measured_time() -> u64 {
    nanos(ClockId::ProcessCPUTime) - OTHERS.load(Ordering::SeqCst)
}

fn thread_time() -> u64 {
    nanos(ClockId::ThreadCPUTime)
}

fn nanos(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// The process's memory, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
