use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HttpCall, ObjectPage, RouterWire, StoreHealth};
use bay_store::{Object, StoreError, StoreRequest, StoreResult};
use bay_time::{BootClock, Clock, Time};
use bay_types::Revision;
use futures_lite::future;

use super::http_client::{CallAnswer, send_call};
use crate::http1::connection::{Connection, ConnectionResources};

/// Timeout for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the store's answer to a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that is added to a watch's wait for its timeout.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections.
const MAX_IDLE: usize = 3;

/// HTTP client of the platform's store, with idle connections and a circuit breaker.
pub(crate) struct StoreClient {
    address: SocketAddr,
    wire: Rc<dyn RouterWire>,
    resources: Arc<ConnectionResources>,
    idle_connections: RefCell<Vec<Connection>>,
    health: RefCell<StoreHealth>,
    /// Whether this router is the granter; the others rely on its calls.
    is_granter: Cell<bool>,
    /// When the store last answered again after it was lost.
    recovered_at: Cell<Option<Time>>,
}

impl StoreClient {
    /// Creates a client of the store at an address.
    pub(crate) fn new(
        address: SocketAddr,
        wire: Rc<dyn RouterWire>,
        resources: &Arc<ConnectionResources>,
    ) -> StoreClient {
        StoreClient {
            address,
            wire,
            resources: Arc::clone(resources),
            idle_connections: RefCell::default(),
            health: RefCell::default(),
            is_granter: Cell::new(false),
            recovered_at: Cell::new(None),
        }
    }

    /// Sends a request to the store and waits for its reply.
    ///
    /// # Errors
    /// Returns an error that says whether a write may have taken effect.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreResult {
        let timeout = match request {
            StoreRequest::Watch { wait, .. } => *wait + WATCH_MARGIN,
            _ => CALL_TIMEOUT,
        };
        let answer = self.send_with_timeout(&self.wire.store_call(request), timeout).await?;
        self.record_outcome(self.wire.parse_store_answer(request, answer.status, &answer.body))
    }

    /// Reads all objects with a prefix page by page, and the revision from which to watch them. A
    /// list that may be stale costs the store less.
    ///
    /// # Errors
    /// Returns an error if a page cannot be read.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        allow_stale: bool,
    ) -> Result<(Vec<Object>, Revision), StoreError> {
        let mut objects = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let call = self.wire.list_call(prefix, after.as_deref(), allow_stale);
            let answer = self.send_with_timeout(&call, CALL_TIMEOUT).await?;
            let page = self.wire.parse_page(prefix, answer.status, &answer.body);
            let ObjectPage { objects: page_objects, next, revision: page_revision } =
                self.record_outcome(page)?;
            objects.extend(page_objects);
            // A watch from the first page's revision covers changes between the pages.
            let from = *revision.get_or_insert(page_revision);
            match next {
                Some(name) => after = Some(name),
                None => return Ok((objects, from)),
            }
        }
    }

    /// Returns whether the store counts as lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.health.borrow().is_lost()
    }

    /// Returns when a call last failed.
    pub(crate) fn last_failure(&self) -> Option<Time> {
        self.health.borrow().last_failure()
    }

    /// Returns when the store last answered again after it was lost.
    pub(crate) fn recovered_at(&self) -> Option<Time> {
        self.recovered_at.get()
    }

    /// Records whether this router is the granter.
    pub(crate) fn set_granter(&self, is_granter: bool) {
        self.is_granter.set(is_granter);
    }

    /// Sends a call on an idle or new connection, if the circuit breaker allows it.
    async fn send_with_timeout(
        &self,
        http: &HttpCall,
        timeout: Duration,
    ) -> Result<CallAnswer, StoreError> {
        if !self.health.borrow_mut().allow_call(BootClock.now(), self.is_granter.get()) {
            return Err(StoreError::Suspended);
        }
        let Some(mut connection) = self.connect().await else {
            return self.record_outcome(Err(StoreError::Unreachable));
        };
        let work = send_call(&*self.wire, &mut connection, self.address, http);
        let timer = async {
            Timer::after(timeout).await;
            None
        };
        let Some(answer) = future::or(work, timer).await else {
            // The idle connections may be dead too.
            self.idle_connections.borrow_mut().clear();
            return self.record_outcome(Err(StoreError::Unknown));
        };
        let mut idle = self.idle_connections.borrow_mut();
        if answer.reusable && idle.len() < MAX_IDLE {
            connection.release_buffer();
            idle.push(connection);
        }
        Ok(answer)
    }

    /// Returns an idle connection that the store has not closed, or a new one.
    async fn connect(&self) -> Option<Connection> {
        loop {
            let idle = self.idle_connections.borrow_mut().pop();
            match idle {
                Some(connection) if connection.is_idle() => return Some(connection),
                Some(_) => {}
                None => break,
            }
        }
        let open = async {
            let connection = Connection::connect(self.address, &self.resources).await.ok()?;
            // A watch receives nothing for a long time, so only probes detect a lost peer.
            connection.enable_probes();
            Some(connection)
        };
        let timer = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        future::or(open, timer).await
    }

    /// Records in the circuit breaker whether the store has answered; a rejection is an answer too.
    fn record_outcome<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Ok(_) | Err(StoreError::Rejected) => {
                if self.health.borrow_mut().record_success() {
                    self.recovered_at.set(Some(BootClock.now()));
                    log::info!(store:% = self.address; "store answers again");
                }
            }
            Err(error) => {
                if self.health.borrow_mut().record_failure(BootClock.now()) {
                    log::warn!(store:% = self.address, error:% = error; "store lost");
                }
            }
        }
        result
    }
}
