use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{GrantOrder, HoldTimes, OrderResult, OwnerId};
use bay_router::ServerProcess;
use bay_time::{BootClock, Clock, Time};
use futures_lite::future;

use super::http_client::{CallError, send_call};
use super::server_connection;
use super::server_notices;
use super::shell_state::ShellState;
use crate::gate_shell::{ConnectError, PooledConnection};

/// Time from the decision to send an order within which it must have a connection or tunnel.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for a server's answer to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

// The granter counts holds from the decision to send a grant; a later one would outlast them.
const _: () = assert!(
    CONNECT_TIMEOUT.as_millis() + GRANT_TIMEOUT.as_millis() < HoldTimes::MAX_ORDER_TIME.as_millis()
);

/// Timeout for a server's answer to a release, for which it first finishes its work on the keys.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum open connections to one server, those of requests included.
const MAX_CONNECTIONS: usize = 6;

/// Pause between tries while all connections are in use.
const CONNECTION_PAUSE: Duration = Duration::from_millis(5);

/// Sends an order to a server, unless too much time has passed since it was decided. Without an
/// answer, the result says whether the order may still take effect.
pub(crate) async fn send_order(
    shell: &Rc<ShellState>,
    owner: OwnerId,
    to: SocketAddr,
    order: &GrantOrder,
    decided_at: Time,
) -> OrderResult {
    let OwnerId { server, started } = owner;
    let process = ServerProcess { server, started, address: to };
    let connect_timeout = (decided_at + CONNECT_TIMEOUT).since(BootClock.now());
    if connect_timeout.is_zero() {
        return OrderResult::NotSent;
    }
    let Some(identifier) = shell.router.borrow().directory().identifier(server) else {
        return OrderResult::NotSent;
    };
    let mut pooled = match connect(shell, &process, connect_timeout).await {
        Ok(pooled) => pooled,
        Err(result) => return result,
    };
    let http = shell.wire.order_call(identifier, order);
    let timeout = match order {
        GrantOrder::Grant { .. } => GRANT_TIMEOUT,
        GrantOrder::Release { .. } => RELEASE_TIMEOUT,
    };
    let limit = shell.answer_limit();
    let work = send_call(&*shell.wire, &mut pooled.connection, to, &http, limit);
    let timer = async {
        Timer::after(timeout).await;
        Err(CallError::Lost)
    };
    let answer = match future::or(work, timer).await {
        Ok(answer) => answer,
        Err(error) => {
            if error == CallError::TooLong {
                shell.counters.add("answer.too-long", 1);
                log::warn!(server:% = server; "answer to an order is too long");
            }
            // The reset discards what is still unsent, so this part of the order cannot arrive late.
            pooled.connection.set_reset_on_close();
            return OrderResult::Unanswered;
        }
    };
    let result = shell.wire.parse_order_answer(order, answer.status, &answer.fields);
    server_notices::record_order_answer(shell, &process, &result, &answer.fields);
    // A second copy of this answer would name no request either.
    pooled.connection.set_requires_request_id();
    if answer.reusable {
        pooled.return_to_pool();
    }
    result
}

/// Acquires a connection to a server, waiting while all are in use.
async fn connect(
    shell: &Rc<ShellState>,
    process: &ServerProcess,
    timeout: Duration,
) -> Result<PooledConnection, OrderResult> {
    let max_idle = shell.limits.reuse_timeout;
    let acquire = async {
        loop {
            match server_connection::connect(shell, process, MAX_CONNECTIONS, max_idle).await {
                Ok(pooled) => return Ok(pooled),
                Err(ConnectError::AtLimit) => Timer::after(CONNECTION_PAUSE).await,
                Err(ConnectError::Refused) => return Err(OrderResult::NotListening),
            };
        }
    };
    let timer = async {
        Timer::after(timeout).await;
        Err(OrderResult::NotSent)
    };
    future::or(acquire, timer).await
}
