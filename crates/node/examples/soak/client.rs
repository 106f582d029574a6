use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::checker::{InvariantChecker, RequestOutcome};
use crate::http::Message;
use crate::router::Router;

/// Time after which a client gives up connecting, or waiting for the next bytes of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// Sends random requests to random routers until `stop` is set, mostly over reused connections.
pub fn run(
    index: u64,
    seed: u64,
    routers: usize,
    checker: &Arc<InvariantChecker>,
    stop: &AtomicBool,
) {
    let mut random = SmallRng::seed_from_u64(seed ^ (index << 32));
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{index}-{number}");
        let reader = match connection.take() {
            Some(reader) => Some(reader),
            None => connect(random.random_range(0..routers)),
        };
        let Some(mut reader) = reader else {
            checker.record_outcome(&id, false, RequestOutcome::Failed);
            std::thread::park_timeout(REQUEST_PAUSE);
            continue;
        };
        let (at_most_once, request) = random_request(&mut random, &id);
        let result = exchange(&mut reader, &request, &id, checker);
        checker.record_outcome(&id, at_most_once, result.0);
        if result.1 && random.random_bool(0.95) {
            connection = Some(reader);
        }
        std::thread::park_timeout(REQUEST_PAUSE);
    }
}

/// Returns whether a router answers a request for this path, other than that it has no such route.
pub fn has_route(router: usize, path: &str) -> bool {
    let request = format!("GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: route\r\n\r\n");
    let Some(mut reader) = connect(router) else {
        return false;
    };
    let response = match reader.get_mut().write_all(request.as_bytes()) {
        Ok(()) => Message::read(&mut reader),
        Err(_) => None,
    };
    response.is_some_and(|response| response.word(1) != "404")
}

fn connect(router: usize) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&Router::address(router), RESPONSE_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Returns a random request and whether it may run at most once.
fn random_request(random: &mut SmallRng, id: &str) -> (bool, String) {
    let head = format!("Host: shop\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n");
    match random.random_range(0..3) {
        0 => (false, format!("GET /read/{id} HTTP/1.1\r\n{head}\r\n")),
        1 => {
            let body = "x".repeat(random.random_range(0..3_000));
            let length = body.len();
            (
                true,
                format!("POST /book/{id} HTTP/1.1\r\n{head}Content-Length: {length}\r\n\r\n{body}"),
            )
        }
        _ => {
            let key: u16 = random.random();
            (false, format!("GET /key/{id} HTTP/1.1\r\n{head}Shard-Key: {key}\r\n\r\n"))
        }
    }
}

/// Sends a request and reads the response. Records a violation if an answer belongs to another
/// request. Also returns whether the connection is reusable.
fn exchange(
    reader: &mut BufReader<TcpStream>,
    request: &str,
    id: &str,
    checker: &InvariantChecker,
) -> (RequestOutcome, bool) {
    if reader.get_mut().write_all(request.as_bytes()).is_err() {
        return (RequestOutcome::Failed, false);
    }
    let Some(response) = Message::read(reader) else {
        return (RequestOutcome::Failed, false);
    };
    let is_reusable = response.header("connection") != "close";
    match response.word(1).parse::<u16>() {
        Ok(200) => {
            let path = request.split(' ').nth(1).unwrap_or_default();
            let expected = format!("{id} {path}");
            if response.body != expected.as_bytes() {
                let got = String::from_utf8_lossy(&response.body).into_owned();
                checker.record_violation(format!("request {id} got the wrong body `{got}`"));
            }
            (RequestOutcome::Answered, is_reusable)
        }
        Ok(status @ (408 | 421 | 429 | 503)) => (RequestOutcome::NotRun(status), is_reusable),
        _ => (RequestOutcome::Failed, is_reusable),
    }
}
