use std::collections::BTreeMap;
use std::sync::Arc;

use async_executor::Executor;
use async_net::TcpListener;
use futures_lite::StreamExt;
use http_types::{Request, Response, StatusCode};

use super::shell_state::ShellState;

/// Serves health checks and counters to the platform's load balancer and operators.
pub(crate) async fn serve_admin(
    shared: Arc<ShellState>,
    listener: TcpListener,
    executor: Arc<Executor<'static>>,
) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        let task_shared = Arc::clone(&shared);
        let work = async move {
            // A broken connection affects only its client.
            let _ =
                async_h1::accept(stream, |req| handle_request(Arc::clone(&task_shared), req)).await;
        };
        executor.spawn(work).detach();
    }
}

async fn handle_request(shared: Arc<ShellState>, req: Request) -> http_types::Result<Response> {
    let mut res = Response::new(StatusCode::Ok);
    match req.url().path() {
        "/live" => res.set_body("live\n"),
        "/ready" if shared.is_ready() => res.set_body("ready\n"),
        "/ready" => {
            res.set_status(StatusCode::ServiceUnavailable);
            res.set_body("not ready\n");
        }
        "/counters" => res.set_body(serde_json::to_string(&counters(&shared))?),
        _ => res.set_status(StatusCode::NotFound),
    }
    Ok(res)
}

fn counters(shared: &ShellState) -> BTreeMap<String, u64> {
    shared.publish_counts();
    let mut totals = shared.counters.totals();
    let buffers = &shared.resources.buffer_gauge;
    totals.insert(String::from("buffers.held_bytes"), buffers.held_bytes());
    totals.insert(String::from("buffers.peak_bytes"), buffers.peak_bytes());
    totals.insert(String::from("connections.callers"), u64::from(shared.admission.open_count()));
    totals
}
