//! Machines are stopped and started in turn, with a grace period of two seconds.

#[path = "../common-2/lib.rs"]
mod lib;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{Router, Run, Server, ServerOptions, Store, finish, has_trouble, note, now_s, sleep_ms};

/// Time from SIGTERM to SIGKILL.
const GRACE: &str = "2s";
const GRACE_S: f64 = 2.0;

/// Part of the grace period from which on work that still runs is excused (rule LOST).
const EXCUSED_FROM: f64 = GRACE_S * 5.0 / 6.0;

/// Time that a request takes at a server.
const WORK_MS: u64 = 1_500;

/// Machines that are stopped, one after the other.
const STOPS: [usize; 4] = [0, 1, 0, 1];

const CLIENTS: usize = 28;

/// A request of a client and how it ended.
struct Sent {
    id: String,
    router: usize,
    status: Option<u16>,
    ended_at: f64,
}

fn main() {
    lib::GRACE.set(GRACE).expect("grace is set once");
    let (store, links) = Store::start(2, 1);
    store.write("config", "main", Some(lib::lookup_config(7, 16_384)));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let options = ServerOptions {
        work: Duration::from_millis(WORK_MS),
        late_copy_share: 0.0,
        is_keyed: false,
    };
    for index in 0..8 {
        let zone = ["a", "b"][index % 2];
        let server = Server::start(&format!("i-{zone}{index}"), options, Arc::clone(&runs));
        server.register(&store, "tagboard", zone);
    }
    let mut routers: Vec<Router> = links
        .iter()
        .enumerate()
        .map(|(i, link)| Router::start(i, &format!("edge-{i}"), ["a", "b"][i], *link))
        .collect();
    if !lib::wait_until_ready(&routers, 10) {
        finish(routers, 2, "the routers did not become ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let all_sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let router = client % routers.len();
        let address = routers[router].front;
        let (stop, all_sent) = (Arc::clone(&stop), Arc::clone(&all_sent));
        clients.push(thread::spawn(move || {
            // Requests begin at different times.
            sleep_ms(WORK_MS * client as u64 / CLIENTS as u64);
            let mut kept = None;
            for sent in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("r-{client}-{sent}");
                let status = look_up(address, &mut kept, &id);
                note(format!("{id} got {status:?}"));
                all_sent.lock().unwrap().push(Sent { id, router, status, ended_at: now_s() });
                if status != Some(200) {
                    sleep_ms(100);
                }
            }
        }));
    }
    sleep_ms(5_000);
    let mut stops = Vec::new();
    for router in STOPS {
        if !has_trouble() {
            sleep_ms(4_000);
            continue;
        }
        stops.push((router, now_s()));
        note(format!("SIGTERM to {}", routers[router].name));
        routers[router].terminate();
        let grace_end = Instant::now() + Duration::from_secs_f64(GRACE_S);
        while Instant::now() < grace_end && routers[router].is_running() {
            sleep_ms(5);
        }
        let has_ended = !routers[router].is_running();
        note(format!("{} has ended: {has_ended}", routers[router].name));
        routers[router].kill();
        routers[router].restart();
        if !lib::wait_until_ready(&routers, 10) {
            finish(routers, 2, "the router did not become ready again");
        }
        sleep_ms(2_500);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let all_sent = all_sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let served = all_sent.iter().filter(|sent| sent.status == Some(200)).count();
    note(format!("{served} of {} requests answered with 200", all_sent.len()));
    // Requests that were broken off although their server ended its work before the last sixth.
    let mut broken = Vec::new();
    for (router, stopped_at) in &stops {
        let ended = all_sent.iter().filter(|sent| sent.router == *router);
        for sent in ended.filter(|sent| sent.status != Some(200)) {
            let Some(run) = runs.iter().find(|run| run.id == sent.id) else { continue };
            let Some(work_end) = run.end else { continue };
            let (begin, work_end) = (run.begin - stopped_at, work_end - stopped_at);
            let end = sent.ended_at - stopped_at;
            if (0.0..GRACE_S).contains(&end) && work_end < EXCUSED_FROM {
                let text = format!(
                    "{} begun {begin:.2} s after SIGTERM, ended by its server at {work_end:.2} s: \
                     the client got {:?} at {end:.2} s",
                    sent.id, sent.status
                );
                note(format!("BROKEN: {text}"));
                broken.push(text);
            }
        }
    }
    if served < 50 {
        finish(routers, 2, "too few requests were served");
    }
    match broken.first() {
        Some(first) => {
            let text = format!("LOST broken {} times; the first: {first}", broken.len());
            finish(routers, 1, &text)
        }
        None => finish(routers, 0, "LOST held"),
    }
}

/// Sends a lookup on a kept connection; returns the status of the answer.
fn look_up(to: SocketAddr, kept: &mut Option<BufReader<TcpStream>>, id: &str) -> Option<u16> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            BufReader::new(stream)
        }
    };
    let text = format!(
        "GET /jobs/x HTTP/1.1\r\nHost: jobs.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\r\n"
    );
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    let answer = lib::read_answer(&mut connection)?;
    if answer.headers.get("connection").is_none_or(|value| value != "close") {
        *kept = Some(connection);
    }
    Some(answer.status)
}
