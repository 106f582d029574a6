use std::fmt::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use super::shell::Shell;
use crate::http1::connection::Connection;
use crate::http1::raw_head::read_raw_head;
use crate::http1::watchdog::IoTimeout;

/// Longest head of a probe, in bytes.
const MAX_HEAD: usize = 4 * 1024;

/// Longest time that a probe's connection is kept.
const PROBE_IDLE: Duration = Duration::from_secs(30);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the balancer.
pub(crate) async fn serve_ready(shell: Rc<Shell>, listener: Async<TcpListener>) {
    listen(shell, listener, |shell, path| match path == shell.wire.ready_path() {
        true if shell.ready() => (200, "ready\n".to_owned()),
        true => (503, "not ready\n".to_owned()),
        false => (404, String::new()),
    })
    .await;
}

/// Serves the counters as text.
pub(crate) async fn serve_metrics(shell: Rc<Shell>, listener: Async<TcpListener>) {
    listen(shell, listener, |shell, path| match path {
        "/metrics" => (200, metrics(shell)),
        _ => (404, String::new()),
    })
    .await;
}

async fn listen<F>(shell: Rc<Shell>, listener: Async<TcpListener>, answer: F)
where
    F: Fn(&Shell, &str) -> (u16, String) + Copy + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shell.spawn(serve_probe(Rc::clone(&shell), stream, answer));
            }
            Err(error) => {
                log::warn!(error:% = error; "probe not accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_probe<F>(shell: Rc<Shell>, stream: Async<TcpStream>, answer: F)
where
    F: Fn(&Shell, &str) -> (u16, String),
{
    let mut connection = Connection::new(stream, &shell.meters);
    loop {
        connection.release_buffer();
        connection.set_timeout(IoTimeout::Total(PROBE_IDLE));
        let Ok(head) = read_raw_head(&mut connection, MAX_HEAD).await else {
            return;
        };
        let head = String::from_utf8_lossy(&head);
        let path = head.split(' ').nth(1).unwrap_or_default();
        let (status, body) = answer(&shell, path);
        let reason = if status == 200 { "OK" } else { "Unavailable" };
        let text =
            format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if connection.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn metrics(shell: &Shell) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64| {
        // Writing to a string does not fail.
        let _: std::fmt::Result = writeln!(text, "{} {value}", name.replace(['.', '-'], "_"));
    };
    for (counter, count) in shell.router.borrow().counts() {
        line(counter.as_str(), *count);
    }
    for (name, count) in shell.counters.totals() {
        line(&name, count);
    }
    for (name, value) in shell.latencies.borrow().values() {
        line(&name, value);
    }
    let (sent, received) = shell.peers.bytes();
    line("peer.sent_bytes", sent);
    line("peer.received_bytes", received);
    line("buffers.held_bytes", shell.meters.buffer_gauge.held_bytes());
    line("buffers.peak_bytes", shell.meters.buffer_gauge.peak_bytes());
    text
}
