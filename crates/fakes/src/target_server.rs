use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::{StreamExt, future};

use crate::target_service::serve_connection;
use crate::target_state::{TargetState, lock};
use crate::{Freeze, TargetHandle, TargetOptions};

/// A server or target over HTTP.
#[derive(Debug)]
pub struct TargetServer {
    listener: TcpListener,
    address: SocketAddr,
    state: Arc<TargetState>,
}

impl TargetServer {
    /// Listens at an address; port 0 takes a free one.
    ///
    /// # Errors
    /// Returns an error if the address cannot be listened on.
    pub async fn bind(
        address: SocketAddr,
        options: TargetOptions,
    ) -> std::io::Result<TargetServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(TargetServer { listener, address, state: Arc::new(TargetState::new(options)) })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        Ok(self.address)
    }

    /// Controls the target while it runs.
    pub fn handle(&self) -> TargetHandle {
        TargetHandle::new(Arc::clone(&self.state))
    }

    /// Serves until the task is dropped, with pauses while the target is killed.
    pub async fn serve(self, executor: Arc<Executor<'static>>) {
        let TargetServer { listener, address, state } = self;
        if let Some(freeze) = state.options.freeze {
            executor.spawn(freeze_once(Arc::clone(&state), freeze)).detach();
        }
        let mut listening = Some(listener);
        loop {
            if let Some(listener) = listening.take() {
                let accepting = accept(listener, &state, &executor);
                future::or(accepting, state.down.wait(true)).await;
            }
            lock(&state.connections).clear();
            if state.crashed.is_on() {
                recover(&state).await;
            }
            state.down.wait(false).await;
            // The address is free as soon as the old socket is closed.
            listening = TcpListener::bind(address).await.ok();
        }
    }
}

async fn accept(listener: TcpListener, state: &Arc<TargetState>, executor: &Executor<'static>) {
    let mut incoming = listener.incoming();
    loop {
        let Some(Ok(stream)) = state.frozen.while_off(incoming.next()).await else { continue };
        lock(&state.counts).connections += 1;
        let serving = Arc::clone(state);
        let task = executor.spawn(async move {
            let frozen = &serving.frozen;
            // A connection that breaks concerns its caller only.
            let _ = frozen.while_off(serve_connection(stream, Arc::clone(&serving))).await;
        });
        let mut connections = lock(&state.connections);
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}

/// Starts a crashed target again, if its options say so.
async fn recover(state: &TargetState) {
    state.crashed.set(false);
    if let Some(pause) = state.options.restart_after {
        Timer::after(pause).await;
        state.restart();
        state.down.set(false);
    }
}

async fn freeze_once(state: Arc<TargetState>, freeze: Freeze) {
    Timer::after(freeze.start_after).await;
    state.frozen.set(true);
    Timer::after(freeze.duration).await;
    state.frozen.set(false);
}
