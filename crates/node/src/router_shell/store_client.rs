use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HttpCall, ObjectPage, RouterSettings, RouterWire, StoreHealth};
use bay_store::{ChangesBody, Object, StoreError, StoreReply, StoreRequest, StoreResult};
use bay_time::{BootClock, Clock, Time};
use bay_types::{Revision, StoreEra};
use futures_lite::future;

use super::answer_body::BodyLimit;
use super::http_client::{CallAnswer, CallError, send_call};
use super::store_era::{self, LocalRequest};
use crate::http1::buffer_gauge::BufferGauge;
use crate::http1::connection::{Connection, ConnectionResources};

/// Timeout for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the store's answer to a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that is added to a watch's wait for its timeout.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Divisor of the machine's memory that gives the limit of all answers that are being read, from which
/// a large one is given up.
const ANSWER_MEMORY_SHARE: u64 = 8;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 3;

/// HTTP client of the platform's store, with idle connections and a circuit breaker.
pub(crate) struct StoreClient {
    address: SocketAddr,
    wire: Rc<dyn RouterWire>,
    resources: Arc<ConnectionResources>,
    /// Counts the answers that are being read, apart from the buffers of requests.
    answer_gauge: Arc<BufferGauge>,
    max_answer_bytes: u64,
    idle_connections: RefCell<Vec<Connection>>,
    health: RefCell<StoreHealth>,
    /// Whether this router is the granter; the others rely on its calls.
    is_granter: Cell<bool>,
    /// When the store last answered again after it was lost.
    recovered_at: Cell<Option<Time>>,
    /// Era of the store, if an answer has told it.
    told_era: Cell<Option<StoreEra>>,
    /// Whether the store has answered this process.
    has_answered: Cell<bool>,
    /// Number of restorations since the start of the process.
    restorations: Cell<u64>,
}

/// Reason why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendError {
    /// The call failed.
    Failed(StoreError),
    /// The answer is too long, or too long for the memory left.
    TooLong,
}

impl From<SendError> for StoreError {
    fn from(error: SendError) -> StoreError {
        match error {
            SendError::Failed(error) => error,
            SendError::TooLong => StoreError::Unknown,
        }
    }
}

impl StoreClient {
    /// Creates a client of the store.
    pub(crate) fn new(
        settings: &RouterSettings,
        wire: Rc<dyn RouterWire>,
        resources: &Arc<ConnectionResources>,
    ) -> StoreClient {
        StoreClient {
            address: settings.store,
            wire,
            resources: Arc::clone(resources),
            answer_gauge: Arc::default(),
            max_answer_bytes: settings.memory_bytes / ANSWER_MEMORY_SHARE,
            idle_connections: RefCell::default(),
            health: RefCell::default(),
            is_granter: Cell::new(false),
            recovered_at: Cell::new(None),
            told_era: Cell::default(),
            has_answered: Cell::new(false),
            restorations: Cell::new(0),
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
        let era = self.era();
        match store_era::localize(request, era) {
            LocalRequest::Send(local) => self.send(&local, era, timeout).await,
            LocalRequest::ListAgain => Ok(list_again()),
            LocalRequest::ReadInstead(read) => match self.send(&read, era, timeout).await? {
                StoreReply::Object(found) => Ok(StoreReply::Conflict(found)),
                _ => Err(StoreError::Unknown),
            },
        }
    }

    /// Sends a request with revisions of an era. If the store was restored meanwhile, a watch has missed
    /// changes, and a conditional write may have matched another object by accident.
    async fn send(&self, request: &StoreRequest, era: StoreEra, timeout: Duration) -> StoreResult {
        let sent = self.send_with_timeout(&self.wire.store_call(request), timeout).await;
        let answer = match (sent, request) {
            // Lists come in pages.
            (Err(SendError::TooLong), StoreRequest::Watch { .. }) => return Ok(list_again()),
            (sent, _) => sent.map_err(StoreError::from)?,
        };
        let answer_era = self.record_era(&answer)?;
        let reply = self.wire.parse_store_answer(request, answer.status, &answer.body);
        let reply = self.record_outcome(reply)?;
        match request {
            _ if answer_era == era => {}
            StoreRequest::Watch { .. } => return Ok(list_again()),
            StoreRequest::Put { .. } | StoreRequest::Delete { .. }
                if matches!(reply, StoreReply::Written(_)) =>
            {
                return Err(StoreError::Unknown);
            }
            _ => {}
        }
        Ok(store_era::qualify(reply, answer_era))
    }

    /// Records the era of an answer and returns it.
    ///
    /// # Errors
    /// Returns `Unknown` for a late answer of an earlier era.
    fn record_era(&self, answer: &CallAnswer) -> Result<StoreEra, StoreError> {
        let known = self.era();
        // Only the answers of a store that can be restored have an era.
        let told = answer.fields.store_era.or(self.told_era.get());
        let era = told.unwrap_or_default();
        if era < known {
            return Err(StoreError::Unknown);
        }
        // The first answer to a process tells the era that it starts in.
        if era > known && self.has_answered.get() {
            log::warn!(store:% = self.address, era = era.0; "store restored from an older copy");
            self.restorations.set(self.restorations.get() + 1);
        }
        self.told_era.set(told);
        self.has_answered.set(true);
        Ok(era)
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
        let mut list_era = None;
        loop {
            let call = self.wire.list_call(prefix, after.as_deref(), allow_stale);
            let sent = self.send_with_timeout(&call, CALL_TIMEOUT).await;
            let answer = sent.map_err(StoreError::from)?;
            let era = self.record_era(&answer)?;
            if *list_era.get_or_insert(era) != era {
                return Err(StoreError::Unknown);
            }
            let page = self.wire.parse_page(prefix, answer.status, &answer.body);
            let ObjectPage { objects: page_objects, next, revision: page_revision } =
                self.record_outcome(page)?;
            let qualified =
                |object: Object| Object { revision: object.revision.in_era(era), ..object };
            objects.extend(page_objects.into_iter().map(qualified));
            // A watch from the first page's revision covers changes between the pages.
            let from = *revision.get_or_insert(page_revision.in_era(era));
            match next {
                Some(name) => after = Some(name),
                None => return Ok((objects, from)),
            }
        }
    }

    /// Returns the era of the store in its last answers.
    pub(crate) fn era(&self) -> StoreEra {
        self.told_era.get().unwrap_or_default()
    }

    /// Returns the era of the store, if it tells one; the first one may be zero.
    pub(crate) fn told_era(&self) -> Option<StoreEra> {
        self.told_era.get()
    }

    /// Returns how often this process has seen the store restored from an older copy.
    pub(crate) fn restorations(&self) -> u64 {
        self.restorations.get()
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
    ) -> Result<CallAnswer, SendError> {
        if !self.health.borrow_mut().allow_call(BootClock.now(), self.is_granter.get()) {
            return Err(SendError::Failed(StoreError::Suspended));
        }
        let Some(mut connection) = self.connect().await else {
            return self.record_outcome(Err(SendError::Failed(StoreError::Unreachable)));
        };
        let limit = BodyLimit { gauge: &self.answer_gauge, max_held_bytes: self.max_answer_bytes };
        let work = send_call(&*self.wire, &mut connection, self.address, http, limit);
        let timer = async {
            Timer::after(timeout).await;
            Err(CallError::Lost)
        };
        let answer = match future::or(work, timer).await {
            Ok(answer) => answer,
            Err(error) => {
                // The idle connections may be dead too.
                self.idle_connections.borrow_mut().clear();
                return self.record_outcome(Err(match error {
                    CallError::Lost => SendError::Failed(StoreError::Unknown),
                    CallError::TooLong => {
                        log::warn!(path = http.path; "answer of the store is too long");
                        SendError::TooLong
                    }
                }));
            }
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
    fn record_outcome<T, E>(&self, result: Result<T, E>) -> Result<T, E>
    where
        E: Copy + Into<StoreError>,
    {
        match result.as_ref().map_err(|error| (*error).into()) {
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

/// Returns the reply to a watch from a revision that the store does not have.
fn list_again() -> StoreReply {
    let body = ChangesBody { revision: Revision(0), compacted: true, changes: Vec::new() };
    StoreReply::Changes(body)
}
