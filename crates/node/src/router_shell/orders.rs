use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{GrantOrder, OrderResult};
use bay_types::ServerName;
use futures_lite::future;

use super::http_client::call;
use super::shell::Shell;
use crate::gate_shell::{ConnectError, PooledConnection};

/// Longest time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for a server to answer a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time for a server to end its work on released keys.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Connections to one server that orders may use.
const MAX_CONNECTIONS: usize = 6;

/// Pause while all connections are in use.
const CONNECTION_PAUSE: Duration = Duration::from_millis(5);

/// Sends an order to a server.
pub(crate) async fn send(
    shell: &Rc<Shell>,
    server: ServerName,
    to: SocketAddr,
    order: &GrantOrder,
) -> OrderResult {
    let mut leased = match connect(shell, to).await {
        Ok(leased) => leased,
        Err(result) => return result,
    };
    let http = shell.wire.order_call(server, order);
    let timeout = match order {
        GrantOrder::Grant { .. } => GRANT_TIMEOUT,
        GrantOrder::Release { .. } => RELEASE_TIMEOUT,
    };
    let work = call(&*shell.wire, &mut leased.connection, to, &http);
    let late = async {
        Timer::after(timeout).await;
        None
    };
    let Some(answer) = future::or(work, late).await else {
        leased.connection.set_reset_on_close();
        return OrderResult::Unanswered;
    };
    let result = shell.wire.parse_order_answer(order, answer.status, &answer.fields);
    if answer.reusable {
        leased.return_to_pool();
    }
    result
}

async fn connect(shell: &Rc<Shell>, to: SocketAddr) -> Result<PooledConnection, OrderResult> {
    let lease = async {
        loop {
            match shell.pool.acquire(to, false, MAX_CONNECTIONS).await {
                Ok(leased) => return Ok(leased),
                Err(ConnectError::AtLimit) => Timer::after(CONNECTION_PAUSE).await,
                Err(ConnectError::Refused) => return Err(OrderResult::NotListening),
            };
        }
    };
    let late = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(OrderResult::NotSent)
    };
    future::or(lease, late).await
}
