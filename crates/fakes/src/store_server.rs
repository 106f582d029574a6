use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bay_store::{StoreReply, StoreRequest, StoreResult, decode_request, encode_reply};
use bay_time::{BootClock, Clock};
use futures_lite::StreamExt;
use http_types::{Request, Response};

use crate::MemStore;

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The object API of the platform over HTTP, with a `MemStore` behind it.
#[derive(Debug)]
pub struct StoreServer {
    listener: TcpListener,
    store: Arc<Mutex<MemStore>>,
}

impl StoreServer {
    /// Binds to an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<StoreServer> {
        let listener = TcpListener::bind(address).await?;
        Ok(StoreServer { listener, store: Arc::default() })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the store that this server exposes.
    pub fn store(&self) -> Arc<Mutex<MemStore>> {
        Arc::clone(&self.store)
    }

    /// Serves requests until the task is dropped.
    pub async fn serve(self, executor: Arc<async_executor::Executor<'static>>) {
        let mut incoming = self.listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else { continue };
            executor.spawn(serve_connection(stream, Arc::clone(&self.store))).detach();
        }
    }
}

async fn serve_connection(stream: TcpStream, store: Arc<Mutex<MemStore>>) {
    // A broken connection affects only its caller.
    let _ = async_h1::accept(stream, |req| handle_request(req, Arc::clone(&store))).await;
}

async fn handle_request(
    mut req: Request,
    store: Arc<Mutex<MemStore>>,
) -> http_types::Result<Response> {
    let body = req.body_string().await?;
    let result = match decode_request(&req, body) {
        Ok(request) => call_store(request, &store).await,
        Err(error) => Err(error),
    };
    Ok(encode_reply(result))
}

/// Calls the store; a watch repeats until it has changes or its wait has passed.
async fn call_store(request: StoreRequest, store: &Mutex<MemStore>) -> StoreResult {
    let wait = match &request {
        StoreRequest::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let deadline = BootClock.now() + wait;
    loop {
        let result = lock(store).call(request.clone());
        let is_empty = match &result {
            Ok(StoreReply::Changes(body)) => body.changes.is_empty() && !body.compacted,
            _ => false,
        };
        if !is_empty || BootClock.now() >= deadline {
            return result;
        }
        Timer::after(WATCH_POLL_INTERVAL).await;
    }
}

fn lock(store: &Mutex<MemStore>) -> std::sync::MutexGuard<'_, MemStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
