use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_store::{ExchangeError, exchange};
use bay_wire::{ClusterStatus, ItemVersion, LaggingProcess, Role};
use futures_lite::future;
use http_types::{Method, Request, StatusCode, Url};

use crate::CtlError;

/// Timeout of a status request. The steward first queries every node.
const STATUS_TIMEOUT: Duration = Duration::from_secs(6);

/// Requests the status of the cluster from a steward.
///
/// # Errors
/// Returns an error if the steward sends no complete and valid status in time.
pub async fn fetch_status(steward: SocketAddr) -> Result<ClusterStatus, CtlError> {
    let timeout = async {
        Timer::after(STATUS_TIMEOUT).await;
        Err(CtlError::Steward(format!("{steward}: no response within 6 s")))
    };
    future::or(request_status(steward), timeout).await
}

async fn request_status(steward: SocketAddr) -> Result<ClusterStatus, CtlError> {
    let status_error = |reason: &str| CtlError::Steward(format!("{steward}: {reason}"));
    let url = Url::parse(&format!("http://{steward}/status"));
    let url = url.map_err(|_| status_error("invalid address"))?;
    let stream = TcpStream::connect(steward).await;
    let stream = stream.map_err(|_| status_error("cannot connect; check --steward"))?;
    let exchanged = exchange(stream, Request::new(Method::Get, url)).await;
    let (res, body) = exchanged.map_err(|error| match error {
        ExchangeError::Incomplete => status_error("incomplete response"),
        ExchangeError::Invalid => status_error("invalid HTTP response"),
    })?;
    if res.status() != StatusCode::Ok {
        return Err(status_error("not the admin address of a steward"));
    }
    serde_json::from_str(&body).map_err(|_| {
        status_error("invalid status; bayctl and the steward must have the same version")
    })
}

/// Formats a status for a terminal.
pub fn format_status(status: &ClusterStatus) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_status(&mut text, status);
    text
}

/// Returns whether the status is fresh, and every process answered and has the latest
/// configuration in force.
pub fn is_in_force_everywhere(status: &ClusterStatus) -> bool {
    let all_answered = status.silent.is_empty() && status.silent_gates.is_empty();
    status.fresh && status.lagging.is_empty() && all_answered
}

fn write_status(text: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    if !status.fresh {
        writeln!(text, "the nodes could not be queried; this status may be outdated")?;
    }
    writeln!(text, "configuration according to steward {}:", status.node)?;
    for item in &status.items {
        let version = format_version(item.version);
        writeln!(
            text,
            "  {} version {version}: in force at {} of {} processes",
            item.key, item.in_force, item.asked
        )?;
    }
    for process in &status.lagging {
        write_lagging(text, process)?;
    }
    for node in &status.silent {
        writeln!(text, "  no answer from steward {node}")?;
    }
    for node in &status.silent_gates {
        writeln!(text, "  no steward is connected to gate {node}")?;
    }
    writeln!(text, "nodes:")?;
    for member in &status.members {
        let gate = member.gate.map_or(String::from("no gate"), |gate| format!("gate {gate}"));
        writeln!(
            text,
            "  {} {} in {}: steward {}, {gate}, incarnation {}",
            member.node, member.state, member.zone, member.steward, member.incarnation.0
        )?;
    }
    writeln!(text, "terms:")?;
    for term in &status.terms {
        let deputy = term.deputy.map_or(String::from("none"), |deputy| deputy.to_string());
        writeln!(
            text,
            "  {} in {}: term {}, keeper {}, deputy {deputy}",
            term.service, term.zone, term.term.0, term.keeper
        )?;
    }
    Ok(())
}

fn write_lagging(text: &mut String, process: &LaggingProcess) -> std::fmt::Result {
    let role = match process.role {
        Role::Gate => "gate",
        Role::Steward => "steward",
        Role::Operator => "operator",
    };
    for item in &process.items {
        let (has, expected) = (format_version(item.in_force), format_version(item.expected));
        writeln!(
            text,
            "  {role} {} lags: {} version {has}, expected {expected}",
            process.node, item.key
        )?;
    }
    Ok(())
}

fn format_version(version: ItemVersion) -> String {
    match version {
        ItemVersion { major: 0, .. } => String::from("none"),
        ItemVersion { major, minor: 0 } => major.to_string(),
        ItemVersion { major, minor } => format!("{major}.{minor}"),
    }
}
