use std::sync::Arc;

use async_net::TcpListener;
use futures_lite::StreamExt;
use http_types::{Request, Response, StatusCode};

use crate::steward_shell::ShellState;

/// Serves health checks, counters and the cluster status to operators. No request changes the
/// steward.
pub(crate) async fn serve_admin(shared: Arc<ShellState>, listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        let task_shared = Arc::clone(&shared);
        let work = async move {
            // A broken connection affects only its client.
            let _ =
                async_h1::accept(stream, |req| handle_request(Arc::clone(&task_shared), req)).await;
        };
        shared.executor().spawn(work).detach();
    }
}

async fn handle_request(shared: Arc<ShellState>, req: Request) -> http_types::Result<Response> {
    let mut res = Response::new(StatusCode::Ok);
    match req.url().path() {
        "/live" => res.set_body("live\n"),
        "/counters" => res.set_body(serde_json::to_string(&shared.counters().totals())?),
        "/status" => match shared.request_status().await {
            Some(status) => res.set_body(serde_json::to_string(&status)?),
            None => res.set_status(StatusCode::ServiceUnavailable),
        },
        _ => res.set_status(StatusCode::NotFound),
    }
    Ok(res)
}
