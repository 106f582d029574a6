use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneDoc, ZoneState};
use bay_store::HttpStore;
use bay_types::ZoneName;
use futures_lite::future;
use getopts::{Matches, Options};

use crate::{CtlError, apply_document, set_zone};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the binary with its arguments and returns its exit code.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = String>,
{
    let mut options = Options::new();
    options.optopt("", "store", "where the platform's store listens", "IP:PORT");
    options.optopt("", "operator", "who changes a zone", "NAME");
    options.optflag("", "check", "checks the document and ends");
    options.optflag("h", "help", "prints this help");
    options.optflag("V", "version", "prints the version");
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        let brief = "Usage: bayctl --store IP:PORT apply FILE\n       \
                     bayctl --store IP:PORT --operator NAME zone out|in ZONE";
        print!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("bayctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match execute(&matches) {
        Ok(result) => report(result),
        Err(message) => usage_error(message),
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("bayctl: {message}; see --help");
    ExitCode::from(EXIT_USAGE)
}

fn report(result: Result<String, CtlError>) -> ExitCode {
    match result {
        Ok(message) => {
            println!("{message}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bayctl: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn execute(matches: &Matches) -> Result<Result<String, CtlError>, &'static str> {
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match free.as_slice() {
        ["apply", file] if matches.opt_present("check") => Ok(check(file)),
        ["apply", file] => {
            let store = store(matches)?;
            Ok(future::block_on(apply(&store, file)))
        }
        ["zone", state @ ("in" | "out"), zone] => {
            let store = store(matches)?;
            let operator = matches.opt_str("operator").ok_or("expected --operator NAME")?;
            let zone = ZoneName::new(zone).map_err(|_| "expected a zone's name")?;
            let state = if *state == "in" { ZoneState::In } else { ZoneState::Out };
            let doc = ZoneDoc { zone, state, operator };
            let written = future::block_on(set_zone(&store, &doc));
            Ok(written.map(|revision| format!("zone {zone} is at version {}", revision.0)))
        }
        _ => Err("expected `apply FILE` or `zone out|in ZONE`"),
    }
}

fn store(matches: &Matches) -> Result<HttpStore, &'static str> {
    let address: Option<SocketAddr> = matches.opt_str("store").and_then(|text| text.parse().ok());
    let address = address.ok_or("expected --store with an IP address and port")?;
    Ok(HttpStore::new(address, STORE_TIMEOUT))
}

fn check(file: &str) -> Result<String, CtlError> {
    let bytes = fs::read(file).map_err(|_| CtlError::Unreadable(file.to_owned()))?;
    ServiceDoc::parse(file, &bytes).map_err(CtlError::Mistakes)?;
    Ok(format!("{file}: no mistakes"))
}

async fn apply(store: &HttpStore, file: &str) -> Result<String, CtlError> {
    let bytes = fs::read(file).map_err(|_| CtlError::Unreadable(file.to_owned()))?;
    let revision = apply_document(store, file, &bytes).await?;
    Ok(format!("{file} is at version {}", revision.0))
}
