use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::http::Message;
use crate::ledger::{Ledger, Seen};
use crate::router::Router;

/// How long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause between two requests of one client.
const PAUSE: Duration = Duration::from_millis(15);

/// Sends requests over kept connections until it is told to stop.
pub fn run(index: u64, seed: u64, routers: usize, ledger: &Arc<Ledger>, stop: &AtomicBool) {
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
            ledger.seen(&id, false, Seen::Failure);
            std::thread::park_timeout(PAUSE);
            continue;
        };
        let (once, request) = request(&mut random, &id);
        let seen = exchange(&mut reader, &request, &id, ledger);
        ledger.seen(&id, once, seen.0);
        if seen.1 && random.random_bool(0.95) {
            connection = Some(reader);
        }
        std::thread::park_timeout(PAUSE);
    }
}

fn connect(router: usize) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&Router::address(router), TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

fn request(random: &mut SmallRng, id: &str) -> (bool, String) {
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

/// Sends a request; also returns whether the connection can be used again.
fn exchange(
    reader: &mut BufReader<TcpStream>,
    request: &str,
    id: &str,
    ledger: &Ledger,
) -> (Seen, bool) {
    if reader.get_mut().write_all(request.as_bytes()).is_err() {
        return (Seen::Failure, false);
    }
    let Some(answer) = Message::read(reader) else {
        return (Seen::Failure, false);
    };
    let kept = answer.header("connection") != "close";
    match answer.word(1).parse::<u16>() {
        Ok(200) => {
            let path = request.split(' ').nth(1).unwrap_or_default();
            let expected = format!("{id} {path}");
            if answer.body != expected.as_bytes() {
                let got = String::from_utf8_lossy(&answer.body).into_owned();
                ledger.broken(format!("request {id} got the answer `{got}`"));
            }
            (Seen::Answer, kept)
        }
        Ok(status @ (408 | 421 | 429 | 503)) => (Seen::NotRun(status), kept),
        _ => (Seen::Failure, kept),
    }
}
