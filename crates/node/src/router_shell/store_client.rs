use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HttpCall, ObjectPage, RouterWire, StoreHealth};
use bay_store::{Object, StoreError, StoreRequest, StoreResult};
use bay_time::{BootClock, Clock};
use bay_types::Revision;
use futures_lite::future;

use super::http_client::{CallAnswer, call};
use crate::http1::connection::{Connection, ConnectionResources};

/// Longest time for a connection to the store to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for the store to answer a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time for the answer to a watch after its wait has ended.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Most idle connections that are kept.
const MAX_IDLE: usize = 3;

/// The client of the platform's store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    wire: Rc<dyn RouterWire>,
    meters: Arc<ConnectionResources>,
    idle: RefCell<Vec<Connection>>,
    health: RefCell<StoreHealth>,
    /// Whether this router is the granter.
    granter: Cell<bool>,
}

impl StoreClient {
    /// A client of the store at an address.
    pub(crate) fn new(
        address: SocketAddr,
        wire: Rc<dyn RouterWire>,
        meters: &Arc<ConnectionResources>,
    ) -> StoreClient {
        StoreClient {
            address,
            wire,
            meters: Arc::clone(meters),
            idle: RefCell::default(),
            health: RefCell::default(),
            granter: Cell::new(false),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    /// Returns an error that says whether a write may have taken effect.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreResult {
        let timeout = match request {
            StoreRequest::Watch { wait, .. } => *wait + WATCH_MARGIN,
            _ => CALL_TIMEOUT,
        };
        let answer = self.exchange(&self.wire.store_call(request), timeout).await?;
        self.note(self.wire.parse_store_answer(request, answer.status, &answer.body))
    }

    /// Reads all objects with a prefix, and the revision from which to watch them; what may be old
    /// costs less.
    ///
    /// # Errors
    /// Returns an error if a page could not be read.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        may_be_old: bool,
    ) -> Result<(Vec<Object>, Revision), StoreError> {
        let mut objects = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let call = self.wire.list_call(prefix, after.as_deref(), may_be_old);
            let answer = self.exchange(&call, CALL_TIMEOUT).await?;
            let page = self.wire.parse_page(prefix, answer.status, &answer.body);
            let ObjectPage { objects: more, next, revision: at } = self.note(page)?;
            objects.extend(more);
            // Changes between two pages are watched from the first one on.
            let from = *revision.get_or_insert(at);
            match next {
                Some(name) => after = Some(name),
                None => return Ok((objects, from)),
            }
        }
    }

    /// Whether the store has not answered for a while.
    pub(crate) fn is_lost(&self) -> bool {
        self.health.borrow().is_lost()
    }

    /// Takes note of whether this router is the granter, on whom the others rely.
    pub(crate) fn set_granter(&self, granter: bool) {
        self.granter.set(granter);
    }

    async fn exchange(&self, http: &HttpCall, timeout: Duration) -> Result<CallAnswer, StoreError> {
        if !self.health.borrow_mut().allow_call(BootClock.now(), self.granter.get()) {
            return Err(StoreError::Suspended);
        }
        let Some(mut connection) = self.connect().await else {
            return self.note(Err(StoreError::Unreachable));
        };
        let work = call(&*self.wire, &mut connection, self.address, http);
        let late = async {
            Timer::after(timeout).await;
            None
        };
        let Some(answer) = future::or(work, late).await else {
            // Other connections may have gone silent with this one.
            self.idle.borrow_mut().clear();
            return self.note(Err(StoreError::Unknown));
        };
        let mut idle = self.idle.borrow_mut();
        if answer.reusable && idle.len() < MAX_IDLE {
            connection.release_buffer();
            idle.push(connection);
        }
        Ok(answer)
    }

    async fn connect(&self) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.is_idle() => return Some(connection),
                Some(_) => {}
                None => break,
            }
        }
        let open = async {
            let connection = Connection::connect(self.address, &self.meters).await.ok()?;
            // A watch waits for long without a byte.
            connection.enable_probes();
            Some(connection)
        };
        let late = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        future::or(open, late).await
    }

    /// Keeps track of whether the store answers.
    fn note<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Ok(_) | Err(StoreError::Rejected) => {
                if self.health.borrow_mut().record_success() {
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
