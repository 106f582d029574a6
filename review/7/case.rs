//! The operator's configuration allows longer heads, and clients send them behind a request that has not
//! been answered yet.

#[path = "../common-2/lib.rs"]
mod lib;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lib::{Router, Run, Server, ServerOptions, Store, finish, has_trouble, note, sleep_ms};

/// Limit of a head in the first configuration, as in the pages' example, and in the second one.
const FIRST_LIMIT: usize = 16_384;
const SECOND_LIMIT: usize = 65_536;

/// Length of the header that some requests carry, before and after the change of the configuration.
const USUAL_HEADER: usize = 8_000;
const LONG_HEADER: usize = 20_000;

/// Requests that may end without an answer (rule LOST).
const MAX_LOST: usize = 3;

/// Result of one client: the requests without an answer, and the number of answers.
type ClientResult = (Vec<String>, usize);

fn main() {
    let (store, links) = Store::start(2, 1);
    store.write("config", "main", Some(lib::lookup_config(7, FIRST_LIMIT)));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let options =
        ServerOptions { work: Duration::from_millis(260), late_copy_share: 0.0, is_keyed: false };
    for (id, zone) in [("i-a1", "a"), ("i-a2", "a"), ("i-b1", "b"), ("i-b2", "b")] {
        Server::start(id, options, Arc::clone(&runs)).register(&store, "tagboard", zone);
    }
    let routers: Vec<Router> = links
        .iter()
        .enumerate()
        .map(|(i, link)| Router::start(i, &format!("edge-{i}"), ["a", "b"][i], *link))
        .collect();
    if !lib::wait_until_ready(&routers, 10) {
        finish(routers, 2, "the routers did not become ready");
    }
    let fronts: Vec<SocketAddr> = routers.iter().map(|router| router.front).collect();
    let (unanswered, answered) = play(&fronts, "before", USUAL_HEADER);
    note(format!("before the change: {answered} answers, without one: {unanswered:?}"));
    if !unanswered.is_empty() {
        finish(routers, 2, "requests had no answer before the change");
    }
    let header = if has_trouble() {
        note(format!("the operator raises max-header-bytes from {FIRST_LIMIT} to {SECOND_LIMIT}"));
        store.write("config", "main", Some(lib::lookup_config(9, SECOND_LIMIT)));
        LONG_HEADER
    } else {
        USUAL_HEADER
    };
    // `config-apply` is 2 s.
    sleep_ms(6_000);
    let (unanswered, answered) = play(&fronts, "after", header);
    let runs = runs.lock().unwrap();
    let has_run = |id: &String| runs.iter().any(|run| run.id == *id);
    let lost: Vec<&String> = unanswered.iter().filter(|id| has_run(id)).collect();
    note(format!(
        "after the change: {answered} answers; {} requests without one, of which servers had begun {}",
        unanswered.len(),
        lost.len()
    ));
    match lost.len() > MAX_LOST {
        true => {
            let text = format!(
                "LOST broken: {} requests were passed on to servers, and their connections closed \
                 without an answer; {} more had no answer",
                lost.len(),
                unanswered.len() - lost.len()
            );
            finish(routers, 1, &text)
        }
        false => finish(routers, 0, "LOST held"),
    }
}

/// Lets clients send requests on kept connections, each second one behind an unanswered one.
fn play(fronts: &[SocketAddr], name: &str, header: usize) -> ClientResult {
    let clients: Vec<_> = (0..6_usize)
        .map(|client| {
            let front = fronts[client % fronts.len()];
            let name = format!("{name}-{client}");
            thread::spawn(move || run_client(front, &name, header))
        })
        .collect();
    let mut all: ClientResult = (Vec::new(), 0);
    for client in clients {
        let (unanswered, answered) = client.join().expect("client ends");
        all.0.extend(unanswered);
        all.1 += answered;
    }
    all
}

fn run_client(front: SocketAddr, name: &str, header: usize) -> ClientResult {
    let mut unanswered = Vec::new();
    let mut answered = 0;
    let mut kept: Option<BufReader<TcpStream>> = None;
    for pair in 0..4 {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))
                    .expect("router accepts");
                stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
                BufReader::new(stream)
            }
        };
        // A first request alone, so that the connection is a kept one.
        let ids = ["alone", "first", "second"].map(|which| format!("{name}-{pair}-{which}"));
        let plain = |id: &str| format!("{}\r\n", head(id));
        let long = |id: &str| format!("{}X-Note: {}\r\n\r\n", head(id), "n".repeat(header));
        let mut answers = 0;
        if connection.get_mut().write_all(plain(&ids[0]).as_bytes()).is_ok()
            && read_status(&mut connection, &ids[0]).is_some()
        {
            answers = 1;
            // The first request is with a server when the second one follows.
            let _ = connection.get_mut().write_all(plain(&ids[1]).as_bytes());
            sleep_ms(60);
            let _ = connection.get_mut().write_all(long(&ids[2]).as_bytes());
            for id in &ids[1..] {
                match read_status(&mut connection, id) {
                    Some(_) => answers += 1,
                    None => break,
                }
            }
        }
        answered += answers;
        unanswered.extend_from_slice(&ids[answers..]);
        if answers == ids.len() {
            kept = Some(connection);
        }
    }
    (unanswered, answered)
}

/// Returns the start of a request, without the empty line at its end.
fn head(id: &str) -> String {
    format!(
        "GET /jobs/x HTTP/1.1\r\nHost: jobs.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n"
    )
}

fn read_status(connection: &mut BufReader<TcpStream>, id: &str) -> Option<u16> {
    let status = lib::read_answer(connection).map(|answer| answer.status);
    note(format!("{id} got {status:?}"));
    status
}
