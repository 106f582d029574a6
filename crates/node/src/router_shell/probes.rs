use std::fmt::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bay_time::{BootClock, Clock};

use super::overload;
use super::quotas;
use super::shell_state::ShellState;
use crate::http1::connection::Connection;
use crate::http1::raw_head::read_raw_head;
use crate::http1::watchdog::IoTimeout;

/// Maximum size of the head of a probe, in bytes.
const MAX_HEAD: usize = 4 * 1024;

/// Time after which a probe's connection without a request is closed.
const PROBE_IDLE: Duration = Duration::from_secs(30);

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the balancer's readiness probes.
pub(crate) async fn serve_readiness(shell: Rc<ShellState>, listener: Async<TcpListener>) {
    serve_probes(shell, listener, |shell, path| match path == shell.wire.ready_path() {
        true if shell.is_ready() => (200, "ready\n".to_owned()),
        true => (503, "not ready\n".to_owned()),
        false => (404, String::new()),
    })
    .await;
}

/// Serves the metrics as text.
pub(crate) async fn serve_metrics(shell: Rc<ShellState>, listener: Async<TcpListener>) {
    serve_probes(shell, listener, |shell, path| match path {
        "/metrics" => (200, format_metrics(shell)),
        _ => (404, String::new()),
    })
    .await;
}

/// Accepts probes' connections and answers each request by its path.
async fn serve_probes<F>(shell: Rc<ShellState>, listener: Async<TcpListener>, answer: F)
where
    F: Fn(&ShellState, &str) -> (u16, String) + Copy + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shell.spawn(serve_connection(Rc::clone(&shell), stream, answer));
            }
            Err(error) => {
                log::warn!(error:% = error; "probe not accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests of one connection. Their bodies are not read.
async fn serve_connection<F>(shell: Rc<ShellState>, stream: Async<TcpStream>, answer: F)
where
    F: Fn(&ShellState, &str) -> (u16, String),
{
    let mut connection = Connection::new(stream, &shell.resources);
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

/// Formats the metrics, one name and value per line, with `.` and `-` as `_` in names.
fn format_metrics(shell: &ShellState) -> String {
    let mut text = String::new();
    let mut write_metric = |name: &str, value: u64| {
        // Writing to a string cannot fail.
        let _: std::fmt::Result = writeln!(text, "{} {value}", name.replace(['.', '-'], "_"));
    };
    for (counter, count) in shell.router.borrow().counts() {
        write_metric(counter.as_str(), *count);
    }
    for (name, count) in shell.counters.totals() {
        write_metric(&name, count);
    }
    for (name, value) in shell.latencies.borrow().values() {
        write_metric(&name, value);
    }
    write_metric("config.version", shell.config_version());
    if let Some((_, age)) = shell.granter_feed.borrow().last_state(BootClock.now()) {
        write_metric("granter.state_age_ms", age.as_millis() as u64);
    }
    let router = shell.router.borrow();
    let proof_age =
        router.key_proof_age(BootClock.now()).filter(|_| router.key_proof_limit().is_some());
    drop(router);
    if let Some(age) = proof_age {
        write_metric("keys.proof_age_ms", age.as_millis() as u64);
    }
    write_metric("routers.known", shell.router_hosts.borrow().len() as u64);
    let rate_limited = shell.router.borrow().directory().rate_limited_count(BootClock.now());
    write_metric("servers.rate_limited", rate_limited as u64);
    if let Some((near_limit, has_recent_shares)) = quotas::metrics(shell) {
        write_metric("quota.accounts_near_limit", near_limit);
        write_metric("quota.recent_shares", has_recent_shares);
    }
    let learned = shell.router.borrow().learned_server_counts(BootClock.now());
    write_metric("servers.learned", learned.known as u64);
    write_metric("servers.learned_slow", learned.slow as u64);
    write_metric("servers.learned_limited", learned.limited as u64);
    let (sent, received) = shell.peer_socket.byte_counts();
    write_metric("peer.sent_bytes", sent);
    write_metric("peer.received_bytes", received);
    write_metric("buffers.held_bytes", shell.resources.buffer_gauge.held_bytes());
    write_metric("buffers.peak_bytes", shell.resources.buffer_gauge.peak_bytes());
    let downloads = &shell.download_budget;
    write_metric("downloads.held_bytes", downloads.held());
    write_metric("downloads.peak_bytes", downloads.peak());
    write_metric("downloads.limit_bytes", downloads.limit());
    overload::write_metrics(shell, BootClock.now(), write_metric);
    text
}
