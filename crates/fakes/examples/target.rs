//! A server or target as a process: `target --listen IP:PORT [--owner] …`.

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
    let (listen, target) = match read(&matches) {
        Ok(read) => read,
        Err(wrong) => {
            eprintln!("target: {wrong}");
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
    options.optopt("", "listen", "where to listen", "IP:PORT");
    options.optflag("", "owner", "owns keys and takes orders");
    options.optflag("", "unfenced", "does not check fencing tokens");
    options.optopt("", "slots", "requests run at once (default 4)", "N");
    options.optopt("", "service-ms", "time of a request (default 5)", "MS");
    options.optopt("", "cold-ms", "length of a cold start (default none)", "MS");
    options.optopt("", "cold-slots", "requests run at once in a cold start (default 1)", "N");
    options.optopt("", "cold-slowdown", "a request takes N times as long then (default 4)", "N");
    options.optopt("", "cold-crash", "crashes under N requests at once then", "N");
    options.optflag("", "unannounced", "does not say that a cold start is why it refuses");
    options.optopt("", "report", "load reports: true, idle, missing, or how many ms late", "KIND");
    options.optopt("", "fault", "what is wrong with its answers", "NAME");
    options.optopt("", "crash-on", "ends on requests whose path contains TEXT", "TEXT");
    options.optopt("", "freeze-after-ms", "when to freeze", "MS");
    options.optopt("", "freeze-ms", "how long to freeze (default 5000)", "MS");
    options.optflag("", "ignores-deadlines", "goes on after deadlines and cancellation");
    options.optflag("h", "help", "prints this help");
    options
}

fn read(matches: &Matches) -> Result<(SocketAddr, TargetOptions), String> {
    let listen = matches.opt_str("listen").and_then(|text| text.parse().ok());
    let listen = listen.ok_or("expected --listen with an IP address and port")?;
    let options = TargetOptions {
        is_owner: matches.opt_present("owner"),
        fenced: !matches.opt_present("unfenced"),
        slots: count(matches, "slots")?.unwrap_or(4),
        service_time: span(matches, "service-ms")?.unwrap_or(Duration::from_millis(5)),
        cold_start: cold_start(matches)?,
        load_reporting: report(matches)?,
        fault: fault(matches)?,
        crash_on: matches.opt_str("crash-on"),
        crash_exits: true,
        restart_after: None,
        freeze: freeze(matches)?,
        honours_deadlines: !matches.opt_present("ignores-deadlines"),
    };
    Ok((listen, options))
}

fn count(matches: &Matches, name: &str) -> Result<Option<u32>, String> {
    let parse = |text: String| text.parse();
    matches
        .opt_str(name)
        .map(parse)
        .transpose()
        .map_err(|_| format!("expected a number at --{name}"))
}

fn span(matches: &Matches, name: &str) -> Result<Option<Duration>, String> {
    Ok(count(matches, name)?.map(|millis| Duration::from_millis(u64::from(millis))))
}

fn cold_start(matches: &Matches) -> Result<Option<ColdStart>, String> {
    let Some(length) = span(matches, "cold-ms")? else {
        return Ok(None);
    };
    Ok(Some(ColdStart {
        duration: length,
        slots: count(matches, "cold-slots")?.unwrap_or(1),
        is_announced: !matches.opt_present("unannounced"),
        slowdown: count(matches, "cold-slowdown")?.unwrap_or(4),
        crash_threshold: count(matches, "cold-crash")?,
    }))
}

fn freeze(matches: &Matches) -> Result<Option<Freeze>, String> {
    let Some(after) = span(matches, "freeze-after-ms")? else {
        return Ok(None);
    };
    let length = span(matches, "freeze-ms")?.unwrap_or(Duration::from_secs(5));
    Ok(Some(Freeze { start_after: after, duration: length }))
}

fn report(matches: &Matches) -> Result<LoadReporting, String> {
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

fn fault(matches: &Matches) -> Result<Option<ResponseFault>, String> {
    let Some(text) = matches.opt_str("fault") else {
        return Ok(None);
    };
    let names = ResponseFault::ALL.map(|(name, _)| name).join(", ");
    let fault = ResponseFault::parse(&text).ok_or(format!("expected one of {names} at --fault"))?;
    Ok(Some(fault))
}
