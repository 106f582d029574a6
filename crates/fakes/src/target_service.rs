use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_time::{BootClock, Clock};
use bay_types::{SliceId, Token};
use bay_wire::Order;
use futures_lite::future;

use crate::target_connection::{TargetConnection, TargetRequest};
use crate::target_response::TargetResponse;
use crate::target_state::{Busy, Slot, TargetState, lock};
use crate::{Admission, ResponseFault};

/// Time by which a late answer misses its deadline.
const LATE_BY: Duration = Duration::from_millis(200);

/// How the work on a request ended.
enum Work {
    Finished,
    Cancelled,
    Expired,
}

/// Serves a gate's requests one after the other.
pub(crate) async fn serve_connection(stream: TcpStream, state: Arc<TargetState>) -> io::Result<()> {
    let mut connection = TargetConnection::new(stream);
    while let Some(req) = connection.read_head().await? {
        let body = connection.read_body(&req).await;
        if body.is_err() {
            lock(&state.counts).truncated += 1;
        }
        if !serve(&mut connection, &req, &body?, &state).await? {
            break;
        }
    }
    Ok(())
}

/// Serves one request; returns whether the connection can be used again.
async fn serve(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    body: &[u8],
    state: &Arc<TargetState>,
) -> io::Result<bool> {
    if req.path == "/bay/order" {
        connection.write(&answer_order(body, state).encode()).await?;
        return Ok(true);
    }
    if state.options.is_owner && admit(req, state) == Admission::NotOwner {
        connection.write(&TargetResponse::not_run(req, "not-owner").encode()).await?;
        return Ok(true);
    }
    if state.options.crash_on.as_ref().is_some_and(|mark| req.path.contains(mark)) {
        state.begin(req, body.len() as u64);
        return crash(state).await;
    }
    let slot = match state.take_slot() {
        Ok(slot) => slot,
        Err(Busy::Crash) => return crash(state).await,
        Err(busy) => {
            let reason = if busy == Busy::Cold { "cold" } else { "shed" };
            connection.write(&TargetResponse::not_run(req, reason).encode()).await?;
            return Ok(true);
        }
    };
    state.begin(req, body.len() as u64);
    run(connection, req, body, state, slot).await
}

async fn run(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    body: &[u8],
    state: &Arc<TargetState>,
    slot: Slot,
) -> io::Result<bool> {
    let wished = req.header("fake-fault").and_then(ResponseFault::parse);
    let fault = wished.or(*lock(&state.fault));
    let work = work(connection, req, state, fault).await;
    drop(slot);
    count(&work, state);
    if !matches!(work, Work::Finished) {
        return Ok(false);
    }
    let answer = TargetResponse::done(req, body.len(), state.report());
    match fault {
        Some(fault) => answer.write_wrong(connection, fault).await,
        None => {
            connection.write(&answer.encode()).await?;
            Ok(true)
        }
    }
}

fn count(work: &Work, state: &TargetState) {
    let mut counts = lock(&state.counts);
    match work {
        Work::Finished => counts.finished += 1,
        Work::Cancelled => counts.cancelled += 1,
        Work::Expired => counts.expired += 1,
    }
}

/// Spends the time of a request, unless that is of no more use.
async fn work(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    state: &TargetState,
    fault: Option<ResponseFault>,
) -> Work {
    let wished = req.number("fake-service-ms").map(Duration::from_millis);
    let time = wished.unwrap_or_else(|| state.service_time());
    if fault == Some(ResponseFault::Late) {
        Timer::after(req.deadline().unwrap_or(time) + LATE_BY).await;
        return Work::Finished;
    }
    let finish = async {
        if !time.is_zero() {
            Timer::after(time).await;
        }
        Work::Finished
    };
    if !state.options.honours_deadlines {
        return finish.await;
    }
    let expire = async {
        match req.deadline() {
            Some(left) if left < time => {
                Timer::after(left).await;
            }
            _ => future::pending().await,
        }
        Work::Expired
    };
    let cancel = async {
        connection.closed().await;
        Work::Cancelled
    };
    future::or(finish, future::or(expire, cancel)).await
}

async fn crash(state: &TargetState) -> io::Result<bool> {
    if state.options.crash_exits {
        std::process::exit(1);
    }
    lock(&state.counts).crashes += 1;
    state.crashed.set(true);
    state.down.set(true);
    // The server drops this task along with all its connections.
    future::pending().await
}

fn answer_order(body: &[u8], state: &TargetState) -> TargetResponse {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return TargetResponse::plain(400, String::from("expected an order\n"));
    };
    let reply = lock(&state.owner).handle_order(BootClock.now(), &order);
    match serde_json::to_string(&reply) {
        Ok(text) => TargetResponse::plain(200, text),
        Err(_) => TargetResponse::plain(500, String::new()),
    }
}

fn admit(req: &TargetRequest, state: &TargetState) -> Admission {
    match (req.number("bay-slice"), req.number("bay-token")) {
        (Some(slice), Some(token)) => {
            lock(&state.owner).admit(BootClock.now(), SliceId(slice as u32), Token(token))
        }
        _ => Admission::NotOwner,
    }
}
