use std::fs;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::{Executor, LocalExecutor};
use async_signal::{Signal, Signals};
use bay_conf::{LogLevel, Settings, read_cluster_secret};
use bay_obs::{Counters, init_logger};
use bay_wire::ClusterKey;
use futures_lite::StreamExt;

use crate::{Command, GateShell, RouterShell, ShellError, StewardShell, parse_command};

/// Exit code of a process that could not start or run.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Runs the binary with the arguments that follow its name; returns its exit code.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = String>,
{
    let command = match parse_command(args) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("dragonflybay: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_command(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dragonflybay: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_command(command: Command) -> Result<(), ShellError> {
    match command {
        Command::Help(text) => print!("{text}"),
        Command::Version => println!("dragonflybay {}", env!("CARGO_PKG_VERSION")),
        Command::Check { settings } => {
            load_settings(&settings)?;
            println!("{settings}: no errors");
        }
        Command::Gate { settings } => run_gate(&settings)?,
        Command::Steward { settings } => run_steward(&settings)?,
        Command::Router => run_router()?,
    }
    Ok(())
}

/// Reads and checks the settings file and derives the cluster's key from the key file.
fn load_settings(path: &str) -> Result<(Settings, ClusterKey), ShellError> {
    let bytes = fs::read(path).map_err(|_| ShellError::SettingsUnreadable(path.to_owned()))?;
    let settings = Settings::parse(path, &bytes).map_err(ShellError::Settings)?;
    let secret = read_cluster_secret(&settings.key_file).map_err(ShellError::KeyFile)?;
    let too_short =
        || ShellError::KeyFile(bay_conf::KeyFileError::TooShort(settings.key_file.clone()));
    let key = ClusterKey::derive(&secret).ok_or_else(too_short)?;
    Ok((settings, key))
}

fn run_gate(path: &str) -> Result<(), ShellError> {
    let (settings, key) = load_settings(path)?;
    init_process_log(&settings, "gate");
    let counters = Counters::new("gate", settings.metrics).map_err(ShellError::Metrics)?;
    let executor = Arc::new(Executor::new());
    let work = async {
        let mut signals = stop_signals()?;
        let shell = GateShell::bind(&settings, key, counters, Arc::clone(&executor)).await?;
        log::info!(address:% = settings.gate.listen; "gate listens");
        shell.start();
        signals.next().await;
        log::info!("gate stops");
        shell.stop().await;
        Ok(())
    };
    async_io::block_on(executor.run(work))
}

fn run_steward(path: &str) -> Result<(), ShellError> {
    let (settings, key) = load_settings(path)?;
    init_process_log(&settings, "steward");
    let counters = Counters::new("steward", settings.metrics).map_err(ShellError::Metrics)?;
    let executor = Arc::new(Executor::new());
    let work = async {
        let mut signals = stop_signals()?;
        let shell = StewardShell::bind(&settings, key, counters, Arc::clone(&executor)).await?;
        log::info!(address:% = settings.steward.listen; "steward listens");
        shell.start();
        signals.next().await;
        log::info!("steward stops");
        shell.stop().await;
        Ok(())
    };
    async_io::block_on(executor.run(work))
}

fn run_router() -> Result<(), ShellError> {
    let path = bay_platform::settings_path().map_err(ShellError::Platform)?;
    let text =
        fs::read_to_string(&path).map_err(|_| ShellError::SettingsUnreadable(path.clone()))?;
    let settings = bay_platform::parse_settings(&text).map_err(ShellError::Platform)?;
    // Fails if the process already has a logger, which stays.
    let _ = init_logger(bay_obs::LogLevel::Info, "router");
    let counters = Counters::new("router", None).map_err(ShellError::Metrics)?;
    let executor = Rc::new(LocalExecutor::new());
    let work = async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ShellError::Signals)?;
        let host = settings.host;
        let wire = Rc::new(bay_platform::PlatformWire);
        let shell = RouterShell::start(settings, wire, counters, Rc::clone(&executor))?;
        log::info!(host:% = host; "router starts");
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&shell, &path),
                _ => break,
            }
        }
        log::info!("router stops");
        shell.stop().await;
        log::info!("router stopped");
        Ok(())
    };
    async_io::block_on(executor.run(work))
}

/// Reloads the settings; if they are invalid, the previous ones stay in force.
fn reload(shell: &RouterShell, path: &str) {
    let read = fs::read_to_string(path).map_err(|error| error.to_string());
    let settings = read
        .and_then(|text| bay_platform::parse_settings(&text).map_err(|error| error.to_string()));
    match settings {
        Ok(settings) => shell.reload(&settings),
        Err(error) => {
            log::error!(error = error; "settings rejected; the previous ones stay in force")
        }
    }
}

fn stop_signals() -> Result<Signals, ShellError> {
    Signals::new([Signal::Term, Signal::Int]).map_err(ShellError::Signals)
}

fn init_process_log(settings: &Settings, process: &'static str) {
    let level = match settings.log_level {
        LogLevel::Error => bay_obs::LogLevel::Error,
        LogLevel::Warn => bay_obs::LogLevel::Warn,
        LogLevel::Info => bay_obs::LogLevel::Info,
        LogLevel::Debug => bay_obs::LogLevel::Debug,
    };
    // Fails if the process already has a logger, which stays.
    let _ = init_logger(level, process);
}
