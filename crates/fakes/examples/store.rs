//! Runs a fake store, the object API and host list of the platform, as a process:
//! `store --listen IP:PORT --host NAME,ZONE,IP:PORT`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, PoisonError};

use async_executor::Executor;
use bay_fakes::StoreServer;
use bay_store::{Host, HostState};
use futures_lite::future;
use getopts::Options;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "IP:PORT");
    options.optmulti("", "host", "a host and the address of its steward", "NAME,ZONE,IP:PORT");
    options.optflag("h", "help", "prints this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("store: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: store --listen IP:PORT"));
        return ExitCode::SUCCESS;
    }
    let listen: Option<SocketAddr> = matches.opt_str("listen").and_then(|text| text.parse().ok());
    let Some(listen) = listen else {
        eprintln!("store: expected --listen with an IP address and port");
        return ExitCode::from(2);
    };
    let hosts: Option<Vec<Host>> =
        matches.opt_strs("host").iter().map(|text| parse_host(text)).collect();
    let Some(hosts) = hosts else {
        eprintln!("store: expected --host with a name, a zone and an IP address and port");
        return ExitCode::from(2);
    };
    let executor = Arc::new(Executor::new());
    let serve = async {
        let server = StoreServer::bind(listen).await?;
        server.store().lock().unwrap_or_else(PoisonError::into_inner).set_hosts(hosts);
        println!("store listens on {}", server.address()?);
        server.serve(Arc::clone(&executor)).await;
        Ok::<(), std::io::Error>(())
    };
    match future::block_on(executor.run(serve)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("store: {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_host(text: &str) -> Option<Host> {
    let mut parts = text.split(',');
    let name = parts.next()?.parse().ok()?;
    let zone = parts.next()?.parse().ok()?;
    let steward = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(Host { name, zone, steward, state: HostState::Live })
}
