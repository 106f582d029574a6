use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_wire::{ClusterStatus, ItemVersion, LaggingProcess, Role};
use futures_lite::future;
use http_types::{Method, Request, StatusCode, Url};

use crate::CtlError;

/// Longest wait for a steward, which asks every node first.
const STATUS_TIMEOUT: Duration = Duration::from_secs(6);

/// Asks a steward what it knows of every node.
///
/// # Errors
/// Returns an error if the steward gave no whole answer in time.
pub async fn fetch_status(steward: SocketAddr) -> Result<ClusterStatus, CtlError> {
    let late = async {
        Timer::after(STATUS_TIMEOUT).await;
        Err(CtlError::Steward(format!("{steward}: expected an answer within 6 s, found none")))
    };
    future::or(exchange(steward), late).await
}

async fn exchange(steward: SocketAddr) -> Result<ClusterStatus, CtlError> {
    let failed = |what: &str| CtlError::Steward(format!("{steward}: expected {what}"));
    let url = Url::parse(&format!("http://{steward}/status"));
    let url = url.map_err(|_| failed("an address that makes a URL"))?;
    let stream = TcpStream::connect(steward).await;
    let stream = stream.map_err(|_| failed("a steward that takes connections; check --steward"))?;
    let res = async_h1::connect(stream, Request::new(Method::Get, url)).await;
    let mut res = res.map_err(|_| failed("an HTTP answer"))?;
    if res.status() != StatusCode::Ok {
        return Err(failed("the admin address of a steward"));
    }
    let declared = res.len();
    let body = res.body_string().await.map_err(|_| failed("a whole answer"))?;
    // The library returns a body that was cut short as a success.
    if declared != Some(body.len()) {
        return Err(failed("a whole answer"));
    }
    serde_json::from_str(&body).map_err(|_| failed("a status; bayctl and steward must match"))
}

/// Writes a status for a person.
pub fn format_status(status: &ClusterStatus) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_status(&mut text, status);
    text
}

/// Whether every process has the newest configuration in force.
pub fn is_in_force_everywhere(status: &ClusterStatus) -> bool {
    let all_answered = status.silent.is_empty() && status.silent_gates.is_empty();
    status.fresh && status.lagging.is_empty() && all_answered
}

fn write_status(text: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    if !status.fresh {
        writeln!(text, "the nodes could not be asked just now; this may be old")?;
    }
    writeln!(text, "configuration, as steward {} knows it:", status.node)?;
    for item in &status.items {
        let version = version(item.version);
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
        writeln!(text, "  no steward has a connection of gate {node}")?;
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
        let (has, expected) = (version(item.in_force), version(item.expected));
        writeln!(
            text,
            "  {role} {} lags: {} version {has}, expected {expected}",
            process.node, item.key
        )?;
    }
    Ok(())
}

fn version(version: ItemVersion) -> String {
    match version {
        ItemVersion { major: 0, .. } => String::from("none"),
        ItemVersion { major, minor: 0 } => major.to_string(),
        ItemVersion { major, minor } => format!("{major}.{minor}"),
    }
}
