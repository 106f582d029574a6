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

/// How often a waiting watch looks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// The platform's object API over HTTP.
#[derive(Debug)]
pub struct StoreServer {
    listener: TcpListener,
    store: Arc<Mutex<MemStore>>,
}

impl StoreServer {
    /// Listens at an address; port 0 takes a free one.
    ///
    /// # Errors
    /// Returns an error if the address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> std::io::Result<StoreServer> {
        let listener = TcpListener::bind(address).await?;
        Ok(StoreServer { listener, store: Arc::default() })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The store behind it.
    pub fn store(&self) -> Arc<Mutex<MemStore>> {
        Arc::clone(&self.store)
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, executor: Arc<async_executor::Executor<'static>>) {
        let mut incoming = self.listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else { continue };
            executor.spawn(serve_connection(stream, Arc::clone(&self.store))).detach();
        }
    }
}

async fn serve_connection(stream: TcpStream, store: Arc<Mutex<MemStore>>) {
    // A connection that breaks concerns its caller only.
    let _ = async_h1::accept(stream, |req| answer(req, Arc::clone(&store))).await;
}

async fn answer(mut req: Request, store: Arc<Mutex<MemStore>>) -> http_types::Result<Response> {
    let body = req.body_string().await?;
    let result = match decode_request(&req, body) {
        Ok(request) => call(request, &store).await,
        Err(error) => Err(error),
    };
    Ok(encode_reply(result))
}

async fn call(request: StoreRequest, store: &Mutex<MemStore>) -> StoreResult {
    let wait = match &request {
        StoreRequest::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let deadline = BootClock.now() + wait;
    loop {
        let result = lock(store).call(request.clone());
        let empty = match &result {
            Ok(StoreReply::Changes(body)) => body.changes.is_empty() && !body.compacted,
            _ => false,
        };
        if !empty || BootClock.now() >= deadline {
            return result;
        }
        Timer::after(WATCH_POLL).await;
    }
}

fn lock(store: &Mutex<MemStore>) -> std::sync::MutexGuard<'_, MemStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
