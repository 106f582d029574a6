use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::{StreamExt, future};

use crate::target_service::serve_connection;
use crate::target_state::{TargetState, lock};
use crate::{Freeze, TargetHandle, TargetOptions};

/// A simulated server or target that serves HTTP.
#[derive(Debug)]
pub struct TargetServer {
    listener: TcpListener,
    address: SocketAddr,
    state: Arc<TargetState>,
}

impl TargetServer {
    /// Binds to an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        options: TargetOptions,
    ) -> std::io::Result<TargetServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(TargetServer { listener, address, state: Arc::new(TargetState::new(options)) })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Never returns an error.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        Ok(self.address)
    }

    /// Returns a handle that controls the target while it runs.
    pub fn handle(&self) -> TargetHandle {
        TargetHandle::new(Arc::clone(&self.state))
    }

    /// Serves requests until the task is dropped; refuses connections while the target is down.
    ///
    /// Going down breaks all open connections.
    pub async fn serve(self, executor: Arc<Executor<'static>>) {
        let TargetServer { listener, address, state } = self;
        if let Some(freeze) = state.options.freeze {
            executor.spawn(freeze_once(Arc::clone(&state), freeze)).detach();
        }
        let mut listening = Some(listener);
        loop {
            if let Some(listener) = listening.take() {
                let accepting = accept_connections(listener, &state, &executor);
                future::or(accepting, state.down_switch.wait(true)).await;
            }
            lock(&state.connections).clear();
            if state.crash_switch.is_on() {
                restart_crashed(&state).await;
            }
            state.down_switch.wait(false).await;
            // The old socket is closed, so the address is free again.
            listening = TcpListener::bind(address).await.ok();
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    state: &Arc<TargetState>,
    executor: &Executor<'static>,
) {
    let mut incoming = listener.incoming();
    loop {
        let Some(Ok(stream)) = state.freeze_switch.run_while_off(incoming.next()).await else {
            continue;
        };
        lock(&state.counts).connections += 1;
        let serving = Arc::clone(state);
        let task = executor.spawn(async move {
            let freeze_switch = &serving.freeze_switch;
            // A broken connection affects only its caller.
            let _ =
                freeze_switch.run_while_off(serve_connection(stream, Arc::clone(&serving))).await;
        });
        let mut connections = lock(&state.connections);
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}

/// Restarts a crashed target after its pause, if its options set one.
async fn restart_crashed(state: &TargetState) {
    state.crash_switch.set(false);
    if let Some(pause) = state.options.restart_after {
        Timer::after(pause).await;
        state.restart();
        state.down_switch.set(false);
    }
}

async fn freeze_once(state: Arc<TargetState>, freeze: Freeze) {
    Timer::after(freeze.start_after).await;
    state.freeze_switch.set(true);
    Timer::after(freeze.duration).await;
    state.freeze_switch.set(false);
}
