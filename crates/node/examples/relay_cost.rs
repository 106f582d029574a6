//! Measures the processor time per request of a gate, against a minimal relay over the same
//! libraries.
//!
//! Callers and targets are blocking threads, so only the gate or the relay uses the async
//! libraries. The processor time of those threads is subtracted from that of the process.

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

/// Number of targets of the gate. The relay uses only the first.
const TARGETS: usize = 4;

/// Number of callers. Each has one connection and one request at a time.
const CALLERS: usize = 4;

/// Number of requests of each caller in one round.
const REQUESTS: usize = 10_000;

/// Number of rounds for the gate and for the relay, alternating.
const ROUNDS: usize = 5;

/// Number of idle connections in the memory measurement.
const IDLE_CONNECTIONS: usize = 2_000;

/// Length of the upload, in bytes.
const UPLOAD_BYTES: usize = 64 << 20;

/// Maximum cost of the gate, as a multiple of the cost of the relay.
const MAX_RATIO: f64 = 1.3;

const REQUEST: &[u8] = b"GET /jobs/4711?view=short HTTP/1.1\r\nhost: photos.example\r\n\
    user-agent: bench\r\naccept: */*\r\n\r\n";

const RESPONSE_BODY: &str =
    "{\"job\": 4711, \"state\": \"booked\", \"crew\": \"north-2\", \"van\": 12}";

/// Pause of a caller after a refused request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// Number of refused requests. A gate refuses some while a target is slow.
static REFUSALS: AtomicU64 = AtomicU64::new(0);

/// Processor time of the threads of callers and targets, in nanoseconds.
static UNMEASURED_NANOS: AtomicU64 = AtomicU64::new(0);

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
    println!("relay: {relay_cost:.2} us of processor time per request");
    println!("gate:  {gate_cost:.2} us of processor time per request");
    println!("ratio: {ratio:.2} (target: at most {MAX_RATIO})");
    println!("refused and retried: {}", REFUSALS.load(Ordering::SeqCst));
    measure_idle(gate.addresses().listen);
    measure_upload(&gate);
    if ratio > MAX_RATIO {
        std::process::exit(1);
    }
}

/// Runs one round. Returns the processor time per request, in microseconds.
fn run_round(to: SocketAddr) -> f64 {
    let before = measured_time();
    let callers: Vec<_> = (0..CALLERS).map(|_| thread::spawn(move || run_caller(to))).collect();
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    // The threads of the targets add their processor time after each response.
    thread::sleep(Duration::from_millis(20));
    let spent = measured_time() - before;
    spent as f64 / 1_000.0 / (CALLERS * REQUESTS) as f64
}

fn run_caller(to: SocketAddr) {
    let mut stream = TcpStream::connect(to).expect("the address accepts connections");
    stream.set_nodelay(true).expect("the socket accepts options");
    let mut done = 0;
    while done < REQUESTS {
        if exchange(&mut stream) {
            done += 1;
        } else {
            REFUSALS.fetch_add(1, Ordering::SeqCst);
            thread::sleep(REFUSAL_PAUSE);
        }
    }
    UNMEASURED_NANOS.fetch_add(thread_time(), Ordering::SeqCst);
}

/// Sends a request and reads the response. Returns false if the request was refused.
fn exchange(stream: &mut TcpStream) -> bool {
    stream.write_all(REQUEST).expect("the request is sent");
    let mut buf = [0; 4_096];
    let mut filled = 0;
    loop {
        let count = stream.read(&mut buf[filled..]).expect("the response arrives");
        assert!(count > 0, "the response is truncated");
        filled += count;
        if buf[..filled].ends_with(RESPONSE_BODY.as_bytes()) {
            return true;
        }
        if buf.starts_with(b"HTTP/1.1 503") && buf[..filled].ends_with(b"\n") {
            return false;
        }
    }
}

/// Starts a target that answers each request without delay. Returns its address.
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
    stream.set_nodelay(true).expect("the socket accepts options");
    let mut buf = vec![0; 64 * 1024];
    let mut head = Vec::new();
    let mut recorded = 0;
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
        let mut remaining: usize = (end + 4 + length).saturating_sub(head.len());
        while remaining > 0 {
            let limit = buf.len().min(remaining);
            remaining -= stream.read(&mut buf[..limit]).expect("the body arrives");
        }
        head.clear();
        let id = header("bay-request").unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nbay-request: {id}\r\n\
             bay-load: 1/4\r\ncontent-length: {}\r\n\r\n{RESPONSE_BODY}",
            RESPONSE_BODY.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        let time = thread_time();
        UNMEASURED_NANOS.fetch_add(time - recorded, Ordering::SeqCst);
        recorded = time;
    }
}

fn start_gate(targets: &[SocketAddr], executor: &Arc<Executor<'static>>) -> GateShell {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let settings = Settings {
        host: HostName::new("entry-1").expect("the name is valid"),
        zone: ZoneName::new("north").expect("the name is valid"),
        store: any_port,
        key_file: "unused".into(),
        log_level: LogLevel::Error,
        metrics: None,
        gate: GateSettings {
            listen: any_port,
            admin: any_port,
            peer: any_port,
            stewards: Vec::new(),
            max_connections: 10_000,
            max_connections_per_peer: 10_000,
            drain: Duration::ZERO,
        },
        steward: StewardSettings { listen: any_port, admin: any_port },
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
    for (index, target) in targets.iter().enumerate() {
        text.push_str(&format!("[server t{index}]\naddress = {target}\nzone = north\n"));
    }
    Item {
        key: ItemKey::Document(ServiceName::new("photos").expect("the name is valid")),
        version: ItemVersion { major: 1, minor: 0 },
        base: None,
        body: text.into_bytes(),
    }
}

/// Starts a minimal relay that reuses connections to its target. Returns its address.
fn start_relay(target: SocketAddr, executor: &Arc<Executor<'static>>) -> SocketAddr {
    let bound = async_net::TcpListener::bind("127.0.0.1:0");
    let listener = async_io::block_on(bound).expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let spawner = Arc::clone(executor);
    let relay = Arc::new(Relay { target, idle: Mutex::default() });
    let accept = async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            stream.set_nodelay(true).expect("the socket accepts options");
            let relay = Arc::clone(&relay);
            let serve = async move {
                let respond = |req| relay_request(Arc::clone(&relay), req);
                // A broken connection affects only its caller.
                let _ = async_h1::accept(stream, respond).await;
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
    // The library adds a malformed date header, which the callers here would accept.
    res.remove_header("date");
    relay.idle.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
    Ok(res)
}

fn measure_idle(to: SocketAddr) {
    let before = resident_bytes();
    let mut open = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        open.push(TcpStream::connect(to).expect("the gate accepts connections"));
    }
    for stream in &mut open {
        // The connection is idle after a refusal as well.
        exchange(stream);
    }
    thread::sleep(Duration::from_millis(200));
    let each = resident_bytes().saturating_sub(before) / IDLE_CONNECTIONS as u64;
    println!("idle:  {each} bytes of memory per connection after one request");
}

fn measure_upload(gate: &GateShell) {
    let before = gate.peak_buffered_bytes();
    // A refusal would end the upload early. After this time no target counts as slow any more.
    thread::sleep(Duration::from_secs(5));
    let mut stream = TcpStream::connect(gate.addresses().listen).expect("the gate listens");
    let head = format!(
        "POST /photos HTTP/1.1\r\nhost: photos.example\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let started = Instant::now();
    stream.write_all(head.as_bytes()).expect("the head is sent");
    let part = vec![b'x'; 1 << 20];
    for _ in 0..UPLOAD_BYTES / part.len() {
        stream.write_all(&part).expect("the body is sent");
    }
    let mut buf = [0; 4_096];
    let count = stream.read(&mut buf).expect("the response arrives");
    assert!(buf[..count].starts_with(b"HTTP/1.1 200"));
    println!(
        "upload of {} MB: {:.0} ms, peak of buffers {} bytes (before it {before})",
        UPLOAD_BYTES >> 20,
        started.elapsed().as_secs_f64() * 1_000.0,
        gate.peak_buffered_bytes()
    );
}

/// Returns the processor time of the process without callers and targets, in nanoseconds.
fn measured_time() -> u64 {
    read_clock_nanos(ClockId::ProcessCPUTime) - UNMEASURED_NANOS.load(Ordering::SeqCst)
}

fn thread_time() -> u64 {
    read_clock_nanos(ClockId::ThreadCPUTime)
}

fn read_clock_nanos(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Returns the resident memory of the process, in bytes, or zero if it is unknown.
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
