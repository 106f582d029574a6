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
use crate::target_state::{Slot, SlotRefusal, TargetState, lock};
use crate::{Admission, ResponseFault};

/// Time between the deadline and a late response.
const LATE_BY: Duration = Duration::from_millis(200);

/// Outcome of the work on a request.
enum WorkOutcome {
    Finished,
    Cancelled,
    Expired,
}

/// Serves the requests of one connection in sequence.
pub(crate) async fn serve_connection(stream: TcpStream, state: Arc<TargetState>) -> io::Result<()> {
    let mut connection = TargetConnection::new(stream);
    while let Some(req) = connection.read_head().await? {
        let body = connection.read_body(&req).await;
        if body.is_err() {
            lock(&state.counts).truncated += 1;
        }
        if !serve_request(&mut connection, &req, &body?, &state).await? {
            break;
        }
    }
    Ok(())
}

/// Serves one request; returns whether the connection can be reused.
async fn serve_request(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    body: &[u8],
    state: &Arc<TargetState>,
) -> io::Result<bool> {
    if req.path == "/bay/order" {
        connection.write(&handle_order(body, state).encode()).await?;
        return Ok(true);
    }
    if state.options.is_owner && admit(req, state) == Admission::NotOwner {
        connection.write(&TargetResponse::for_rejection(req, "not-owner").encode()).await?;
        return Ok(true);
    }
    if state.options.crash_on.as_ref().is_some_and(|mark| req.path.contains(mark)) {
        state.record_start(req, body.len() as u64);
        return crash(state).await;
    }
    let slot = match state.acquire_slot() {
        Ok(slot) => slot,
        Err(SlotRefusal::Crash) => return crash(state).await,
        Err(refusal) => {
            let reason = if refusal == SlotRefusal::Cold { "cold" } else { "shed" };
            connection.write(&TargetResponse::for_rejection(req, reason).encode()).await?;
            return Ok(true);
        }
    };
    state.record_start(req, body.len() as u64);
    run_request(connection, req, body, state, slot).await
}

async fn run_request(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    body: &[u8],
    state: &Arc<TargetState>,
    slot: Slot,
) -> io::Result<bool> {
    let requested = req.header("fake-fault").and_then(ResponseFault::parse);
    let fault = requested.or(*lock(&state.fault));
    let outcome = simulate_work(connection, req, state, fault).await;
    drop(slot);
    count_outcome(&outcome, state);
    if !matches!(outcome, WorkOutcome::Finished) {
        return Ok(false);
    }
    let response = TargetResponse::for_run(req, body.len(), state.load_report());
    match fault {
        Some(fault) => response.write_faulty(connection, fault).await,
        None => {
            connection.write(&response.encode()).await?;
            Ok(true)
        }
    }
}

fn count_outcome(outcome: &WorkOutcome, state: &TargetState) {
    let mut counts = lock(&state.counts);
    match outcome {
        WorkOutcome::Finished => counts.finished += 1,
        WorkOutcome::Cancelled => counts.cancelled += 1,
        WorkOutcome::Expired => counts.expired += 1,
    }
}

/// Waits for the service time, the deadline or the end of the connection, whichever comes first.
///
/// A target that doesn't honour deadlines waits for the service time alone. The fault `Late` waits
/// until after the deadline.
async fn simulate_work(
    connection: &mut TargetConnection,
    req: &TargetRequest,
    state: &TargetState,
    fault: Option<ResponseFault>,
) -> WorkOutcome {
    let requested = req.number("fake-service-ms").map(Duration::from_millis);
    let time = requested.unwrap_or_else(|| state.service_time());
    if fault == Some(ResponseFault::Late) {
        Timer::after(req.deadline().unwrap_or(time) + LATE_BY).await;
        return WorkOutcome::Finished;
    }
    let finish = async {
        if !time.is_zero() {
            Timer::after(time).await;
        }
        WorkOutcome::Finished
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
        WorkOutcome::Expired
    };
    let cancel = async {
        connection.wait_closed().await;
        WorkOutcome::Cancelled
    };
    future::or(finish, future::or(expire, cancel)).await
}

/// Ends the process, or breaks all connections of the target; never returns.
async fn crash(state: &TargetState) -> io::Result<bool> {
    if state.options.crash_exits {
        std::process::exit(1);
    }
    lock(&state.counts).crashes += 1;
    state.crash_switch.set(true);
    state.down_switch.set(true);
    // The server drops this task with all its connections.
    future::pending().await
}

fn handle_order(body: &[u8], state: &TargetState) -> TargetResponse {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return TargetResponse::new(400, String::from("expected an order\n"));
    };
    let reply = lock(&state.owner).handle_order(BootClock.now(), &order);
    match serde_json::to_string(&reply) {
        Ok(text) => TargetResponse::new(200, text),
        Err(_) => TargetResponse::new(500, String::new()),
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
