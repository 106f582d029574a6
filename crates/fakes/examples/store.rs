//! The platform's object API as a process: `store --listen IP:PORT`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use async_executor::Executor;
use bay_fakes::StoreServer;
use futures_lite::future;
use getopts::Options;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "listen", "where to listen", "IP:PORT");
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
    let executor = Arc::new(Executor::new());
    let serve = async {
        let server = StoreServer::bind(listen).await?;
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
