//! A server or target as a process: `target --listen IP:PORT [--owner] …`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use bay_fakes::{TargetOptions, TargetServer};
use futures_lite::future;
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "listen", "where to listen", "IP:PORT");
    options.optflag("", "owner", "owns keys and takes orders");
    options.optflag("", "unfenced", "does not check fencing tokens");
    options.optopt("", "slots", "requests run at once (default 4)", "N");
    options.optopt("", "service-ms", "time of a request (default 5)", "MS");
    options.optflag("h", "help", "prints this help");
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
    let Some((listen, target)) = read(&matches) else {
        eprintln!("target: expected --listen with an IP address and port, and whole numbers");
        return ExitCode::from(2);
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

fn read(matches: &Matches) -> Option<(SocketAddr, TargetOptions)> {
    let listen = matches.opt_str("listen")?.parse().ok()?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text.parse().ok(),
        None => Some(default),
    };
    let options = TargetOptions {
        owner: matches.opt_present("owner"),
        fenced: !matches.opt_present("unfenced"),
        slots: u32::try_from(number("slots", 4)?).ok()?,
        service_time: Duration::from_millis(number("service-ms", 5)?),
    };
    Some((listen, options))
}
