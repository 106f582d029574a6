//! Runs a fake server or target as a process: `target --listen IP:PORT [--owner] …`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use bay_fakes::{ColdStart, Freeze, LoadReporting, ResponseFault, TargetOptions, TargetServer};
use futures_lite::future;
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("target: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: target --listen IP:PORT [options]"));
        return ExitCode::SUCCESS;
    }
    let (listen, target) = match parse_options(&matches) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("target: {error}");
            return ExitCode::from(2);
        }
    };
    let executor = Arc::new(Executor::new());
    let serve = async {
        let server = TargetServer::bind(listen, target).await?;
        println!("target listens on {}", server.address()?);
        server.serve(Arc::clone(&executor)).await;
        Ok::<(), std::io::Error>(())
    };
    match future::block_on(executor.run(serve)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("target: {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optflag("", "owner", "serves only slices granted by orders");
    options.optflag("", "unfenced", "does not check fencing tokens");
    options.optopt("", "slots", "concurrent requests (default 4)", "N");
    options.optopt("", "service-ms", "service time of a request (default 5)", "MS");
    options.optopt("", "cold-ms", "duration of the cold start (default none)", "MS");
    options.optopt("", "cold-slots", "concurrent requests in a cold start (default 1)", "N");
    options.optopt(
        "",
        "cold-slowdown",
        "factor on the service time in a cold start (default 4)",
        "N",
    );
    options.optopt("", "cold-crash", "crashes at N concurrent requests in a cold start", "N");
    options.optflag("", "unannounced", "refusals don't name the cold start as the reason");
    options.optopt("", "report", "load reports: true, idle, missing, or their delay in ms", "KIND");
    options.optopt("", "fault", "fault of all responses", "NAME");
    options.optopt("", "crash-on", "exits on a request whose path contains TEXT", "TEXT");
    options.optopt("", "freeze-after-ms", "time from the start to the freeze", "MS");
    options.optopt("", "freeze-ms", "duration of the freeze (default 5000)", "MS");
    options.optflag("", "ignores-deadlines", "continues after deadlines and cancellation");
    options.optflag("h", "help", "prints this help");
    options
}

fn parse_options(matches: &Matches) -> Result<(SocketAddr, TargetOptions), String> {
    let listen = matches.opt_str("listen").and_then(|text| text.parse().ok());
    let listen = listen.ok_or("expected --listen with an IP address and port")?;
    let options = TargetOptions {
        is_owner: matches.opt_present("owner"),
        fenced: !matches.opt_present("unfenced"),
        slots: parse_count(matches, "slots")?.unwrap_or(4),
        service_time: parse_millis(matches, "service-ms")?.unwrap_or(Duration::from_millis(5)),
        cold_start: parse_cold_start(matches)?,
        load_reporting: parse_report(matches)?,
        fault: parse_fault(matches)?,
        crash_on: matches.opt_str("crash-on"),
        crash_exits: true,
        restart_after: None,
        freeze: parse_freeze(matches)?,
        honours_deadlines: !matches.opt_present("ignores-deadlines"),
    };
    Ok((listen, options))
}

fn parse_count(matches: &Matches, name: &str) -> Result<Option<u32>, String> {
    let parse = |text: String| text.parse();
    matches
        .opt_str(name)
        .map(parse)
        .transpose()
        .map_err(|_| format!("expected a number at --{name}"))
}

fn parse_millis(matches: &Matches, name: &str) -> Result<Option<Duration>, String> {
    Ok(parse_count(matches, name)?.map(|millis| Duration::from_millis(u64::from(millis))))
}

fn parse_cold_start(matches: &Matches) -> Result<Option<ColdStart>, String> {
    let Some(length) = parse_millis(matches, "cold-ms")? else {
        return Ok(None);
    };
    Ok(Some(ColdStart {
        duration: length,
        slots: parse_count(matches, "cold-slots")?.unwrap_or(1),
        is_announced: !matches.opt_present("unannounced"),
        slowdown: parse_count(matches, "cold-slowdown")?.unwrap_or(4),
        crash_threshold: parse_count(matches, "cold-crash")?,
    }))
}

fn parse_freeze(matches: &Matches) -> Result<Option<Freeze>, String> {
    let Some(after) = parse_millis(matches, "freeze-after-ms")? else {
        return Ok(None);
    };
    let length = parse_millis(matches, "freeze-ms")?.unwrap_or(Duration::from_secs(5));
    Ok(Some(Freeze { start_after: after, duration: length }))
}

fn parse_report(matches: &Matches) -> Result<LoadReporting, String> {
    let Some(text) = matches.opt_str("report") else {
        return Ok(LoadReporting::Accurate);
    };
    match (text.as_str(), text.parse()) {
        ("true", _) => Ok(LoadReporting::Accurate),
        ("idle", _) => Ok(LoadReporting::Idle),
        ("missing", _) => Ok(LoadReporting::Missing),
        (_, Ok(millis)) => Ok(LoadReporting::Delayed(Duration::from_millis(millis))),
        _ => Err(String::from("expected true, idle, missing or a number at --report")),
    }
}

fn parse_fault(matches: &Matches) -> Result<Option<ResponseFault>, String> {
    let Some(text) = matches.opt_str("fault") else {
        return Ok(None);
    };
    let names = ResponseFault::ALL.map(|(name, _)| name).join(", ");
    let fault = ResponseFault::parse(&text).ok_or(format!("expected one of {names} at --fault"))?;
    Ok(Some(fault))
}
