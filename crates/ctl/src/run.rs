use std::fs;
use std::io::Write as _;
use std::process::ExitCode;
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_store::HttpStore;
use futures_lite::future;

use crate::command::{Command, USAGE, options};
use crate::{
    CtlError, WriteOutcome, apply_document_at_version, delete_document, fetch_status,
    format_status, is_in_force_everywhere, list_objects, set_zone_at_version, show_object,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `bayctl` with its arguments and returns the exit code.
///
/// The code is 0 for success, 1 for a failed or rejected command and 2 for an invalid command line.
/// `status` exits with 1 if a process lags behind or does not answer.
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
        Ok(CommandOutput { text, success }) => {
            print_text(&text);
            if success { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
        }
        Err(error) => {
            eprintln!("bayctl: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Text that a command prints, and whether the exit code is that of a success.
struct CommandOutput {
    text: String,
    success: bool,
}

impl CommandOutput {
    fn from_text(text: String) -> CommandOutput {
        CommandOutput { text, success: true }
    }
}

async fn execute(command: Command) -> Result<CommandOutput, CtlError> {
    let text = match command {
        Command::Help => options().usage(USAGE),
        Command::Version => format!("bayctl {}", env!("CARGO_PKG_VERSION")),
        Command::Check { file } => check_document(&file)?,
        Command::Apply { store, file, expected } => {
            let bytes = read_file(&file)?;
            let outcome =
                apply_document_at_version(&new_client(store), &file, &bytes, expected).await?;
            format_written(&file, outcome)
        }
        Command::List { store } => list_objects(&new_client(store)).await?,
        Command::Show { store, key, raw } => show_object(&new_client(store), key, raw).await?,
        Command::Delete { store, service, expected } => {
            let outcome = delete_document(&new_client(store), service, expected).await?;
            format_deleted(service.as_str(), outcome)
        }
        Command::Zone { store, doc, expected } => {
            let outcome = set_zone_at_version(&new_client(store), &doc, expected).await?;
            format_written(&format!("zone {}", doc.zone), outcome)
        }
        Command::Status { steward, json } => return query_status(steward, json).await,
    };
    Ok(CommandOutput::from_text(text))
}

async fn query_status(
    steward: std::net::SocketAddr,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let status = fetch_status(steward).await?;
    let success = is_in_force_everywhere(&status);
    let text = match json {
        true => serde_json::to_string_pretty(&status).unwrap_or_default(),
        false => format_status(&status),
    };
    Ok(CommandOutput { text, success })
}

fn check_document(file: &str) -> Result<String, CtlError> {
    ServiceDoc::parse(file, &read_file(file)?).map_err(CtlError::InvalidDocument)?;
    Ok(format!("{file}: no errors"))
}

fn read_file(file: &str) -> Result<Vec<u8>, CtlError> {
    fs::read(file).map_err(|_| CtlError::UnreadableFile(file.to_owned()))
}

fn new_client(store: std::net::SocketAddr) -> HttpStore {
    HttpStore::new(store, STORE_TIMEOUT)
}

fn format_written(name: &str, outcome: WriteOutcome) -> String {
    match outcome {
        WriteOutcome::Changed(revision) => format!("{name} is at version {}", revision.0),
        WriteOutcome::Unchanged(revision) => {
            format!("{name} is unchanged at version {}", revision.0)
        }
        WriteOutcome::Absent => format!("{name} is absent"),
    }
}

fn format_deleted(name: &str, outcome: WriteOutcome) -> String {
    match outcome {
        WriteOutcome::Changed(revision) => format!("{name} is deleted at version {}", revision.0),
        WriteOutcome::Unchanged(_) | WriteOutcome::Absent => format!("{name} is absent"),
    }
}

fn print_text(text: &str) {
    let mut stdout = std::io::stdout().lock();
    // If the reader closed the pipe, the rest of the text is not needed.
    let _ = writeln!(stdout, "{}", text.trim_end());
}
