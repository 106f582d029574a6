use std::fs;
use std::io::Write as _;
use std::process::ExitCode;
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_store::HttpStore;
use futures_lite::future;

use crate::command::{BRIEF, Command, options};
use crate::{
    CtlError, WriteOutcome, apply_document_at_version, delete_document, fetch_status,
    format_status, is_in_force_everywhere, list_objects, set_zone_at_version, show_object,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the binary with its arguments and returns its exit code.
///
/// The code is 0 for success, 1 for a failed or refused command and 2 for a wrong command line.
/// `status` fails if some process lags or does not answer.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = String>,
{
    let command = match Command::parse(args) {
        Ok(command) => command,
        Err(message) => {
            eprintln!("bayctl: {message}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match future::block_on(execute(command)) {
        Ok(Report { text, success }) => {
            print(&text);
            if success { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
        }
        Err(error) => {
            eprintln!("bayctl: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// What a command prints, and whether it counts as a success.
struct Report {
    text: String,
    success: bool,
}

impl Report {
    fn success(text: String) -> Report {
        Report { text, success: true }
    }
}

async fn execute(command: Command) -> Result<Report, CtlError> {
    let text = match command {
        Command::Help => options().usage(BRIEF),
        Command::Version => format!("bayctl {}", env!("CARGO_PKG_VERSION")),
        Command::Check { file } => check(&file)?,
        Command::Apply { store, file, expected } => {
            let bytes = read_file(&file)?;
            let written =
                apply_document_at_version(&client(store), &file, &bytes, expected).await?;
            written_text(&file, written)
        }
        Command::List { store } => list_objects(&client(store)).await?,
        Command::Show { store, key, raw } => show_object(&client(store), key, raw).await?,
        Command::Delete { store, service, expected } => {
            let written = delete_document(&client(store), service, expected).await?;
            deleted_text(service.as_str(), written)
        }
        Command::Zone { store, doc, expected } => {
            let written = set_zone_at_version(&client(store), &doc, expected).await?;
            written_text(&format!("zone {}", doc.zone), written)
        }
        Command::Status { steward, json } => return status(steward, json).await,
    };
    Ok(Report::success(text))
}

async fn status(steward: std::net::SocketAddr, json: bool) -> Result<Report, CtlError> {
    let status = fetch_status(steward).await?;
    let success = is_in_force_everywhere(&status);
    let text = match json {
        true => serde_json::to_string_pretty(&status).unwrap_or_default(),
        false => format_status(&status),
    };
    Ok(Report { text, success })
}

fn check(file: &str) -> Result<String, CtlError> {
    ServiceDoc::parse(file, &read_file(file)?).map_err(CtlError::InvalidDocument)?;
    Ok(format!("{file}: no mistakes"))
}

fn read_file(file: &str) -> Result<Vec<u8>, CtlError> {
    fs::read(file).map_err(|_| CtlError::UnreadableFile(file.to_owned()))
}

fn client(store: std::net::SocketAddr) -> HttpStore {
    HttpStore::new(store, STORE_TIMEOUT)
}

fn written_text(name: &str, written: WriteOutcome) -> String {
    match written {
        WriteOutcome::Changed(revision) => format!("{name} is at version {}", revision.0),
        WriteOutcome::Unchanged(revision) => {
            format!("{name} already was like this, at version {}", revision.0)
        }
        WriteOutcome::Absent => format!("{name} is absent"),
    }
}

fn deleted_text(name: &str, written: WriteOutcome) -> String {
    match written {
        WriteOutcome::Changed(revision) => format!("{name} is deleted at version {}", revision.0),
        WriteOutcome::Unchanged(_) | WriteOutcome::Absent => format!("{name} is absent"),
    }
}

fn print(text: &str) {
    let mut stdout = std::io::stdout().lock();
    // A reader that has gone away wants no more.
    let _ = writeln!(stdout, "{}", text.trim_end());
}
