use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{CallFailure, RetryPause, StoreRead, object_key};
use bay_store::{StoreError, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock, Time};
use bay_types::Revision;

use super::granter;
use super::hosts;
use super::shell_state::ShellState;

mod documents;

pub(crate) use documents::{apply_config_text, host_from_key, invalidate_connections};

use documents::FeedDocuments;

/// Longest wait of a watch of documents that must take effect within a bounded time. It is short,
/// because only a reply shows that the connection still works.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of the first watch of the zones after an outage of the store.
const RECOVERY_WAIT: Duration = Duration::from_millis(50);

/// Longest wait of the granter's watch of the configuration. Its heartbeats vouch for the version only
/// for a short time after a reply.
const GRANTER_CONFIG_WAIT: Duration = Duration::from_millis(600);

/// Longest wait of a watch of the registered routers.
const HOSTS_WAIT: Duration = Duration::from_secs(10);

/// Longest wait of a watch of server entries, and pause after it. Entries change with every
/// heartbeat of a server, so the pause gathers several changes in one reply.
const SERVERS_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait of the first watch of the configuration after a stale list, where API keys need a proof
/// that they have not been withdrawn.
const FIRST_PROOF_WAIT: Duration = Duration::from_millis(100);

/// Interval between checks of whether the granter still relays a feed.
const GRANTER_FEED_POLL: Duration = Duration::from_millis(200);

/// Time after the start within which a router hears from the granter if there is one.
const FIRST_HEARTBEAT_WAIT: Duration = Duration::from_millis(800);

/// Longest time after the start that a router waits for the granter's feed before it watches the
/// store itself.
const STARTUP_WAIT: Duration = Duration::from_millis(2_500);

/// Kind of documents that a router keeps up to date from the store or the granter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Feed {
    Config,
    Servers,
    /// Zones that are out of service.
    Zones,
    /// Registered routers.
    Hosts,
}

/// Starts a task for each feed, and one that registers this router.
pub(crate) fn start_feeds(shell: &Rc<ShellState>) {
    for feed in [Feed::Config, Feed::Servers, Feed::Zones, Feed::Hosts] {
        shell.spawn(run_feed(Rc::clone(shell), feed));
    }
    shell.spawn(hosts::register_host(Rc::clone(shell)));
}

impl Feed {
    fn key_prefix(self, shell: &ShellState) -> &str {
        match self {
            Feed::Config => shell.wire.config_prefix(),
            Feed::Servers => shell.wire.server_prefix(),
            Feed::Zones => shell.wire.zone_prefix(),
            Feed::Hosts => object_key::HOSTS,
        }
    }

    /// Returns what this router must read from the store now; `started` is when it began to follow
    /// the documents.
    fn required_read(self, shell: &ShellState, now: Time, started: Time) -> StoreRead {
        if granter::granter_term(shell).is_some() {
            return StoreRead::Watch;
        }
        let granter_feed = shell.granter_feed.borrow();
        let state = granter_feed.state(now);
        // A process that starts in a running fleet soon hears from the granter, which sends it the
        // larger documents.
        let age = now.since(started);
        let may_hear =
            age < FIRST_HEARTBEAT_WAIT || (granter_feed.has_heartbeat() && age < STARTUP_WAIT);
        match self {
            Feed::Servers if granter_feed.has_current_servers(now) => StoreRead::Skip,
            Feed::Servers if granter_feed.awaits_servers(now) => StoreRead::Skip,
            Feed::Servers if may_hear && !shell.router.borrow().directory().is_loaded() => {
                StoreRead::Skip
            }
            Feed::Servers => StoreRead::Watch,
            Feed::Config => {
                let known = shell.router.borrow().config().map(|config| config.version);
                match granter_feed.config_read(now, known) {
                    StoreRead::Skip if needs_key_proof(shell, now, started) => StoreRead::Watch,
                    read => read,
                }
            }
            Feed::Zones if state.is_some() => StoreRead::Skip,
            Feed::Zones => StoreRead::Watch,
            // Only the granter must see changes of the routers at once; it tells the others.
            Feed::Hosts => {
                let known = shell.router_hosts.borrow().len();
                let is_outdated = state.is_some_and(|state| state.host_count as usize != known);
                let is_too_large = known.max(1) > hosts::MAX_RELAYED_HOSTS;
                match (known == 0 && !may_hear) || (is_outdated && is_too_large) {
                    true => StoreRead::List,
                    false => StoreRead::Skip,
                }
            }
        }
    }

    /// Returns the longest wait of a watch; `follows_stale_list` tells whether nothing is known to be
    /// current yet.
    fn watch_wait(
        self,
        shell: &ShellState,
        is_granter: bool,
        follows_stale_list: bool,
    ) -> Duration {
        let max = shell.router.borrow().max_config_watch().filter(|_| self == Feed::Config);
        let max = max.map(|max| if follows_stale_list { FIRST_PROOF_WAIT.min(max) } else { max });
        let wait = match self {
            Feed::Config if is_granter => GRANTER_CONFIG_WAIT,
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones => WATCH_WAIT,
            Feed::Hosts => HOSTS_WAIT,
        };
        max.map_or(wait, |max| wait.min(max))
    }

    /// Records that the documents are as the store has them.
    fn record_read(self, shell: &ShellState) {
        let now = BootClock.now();
        let mut publisher = shell.feed_publisher.borrow_mut();
        match self {
            Feed::Config => publisher.record_config_read(now),
            Feed::Servers => publisher.record_servers_read(now),
            Feed::Zones => publisher.record_zones_read(now),
            Feed::Hosts => {}
        }
    }

    /// Returns the pause between watches.
    fn watch_interval(self) -> Duration {
        match self {
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones | Feed::Hosts => Duration::ZERO,
        }
    }
}

/// Keeps the documents of a feed up to date.
async fn run_feed(shell: Rc<ShellState>, feed: Feed) {
    let started = BootClock.now();
    // Revision from which to watch; `None` if the documents must be listed first.
    let mut last_revision: Option<Revision> = None;
    let mut has_listed = false;
    // Whether the next list may be stale. Not after a watch from a stale list has failed.
    let mut allow_stale = true;
    // Whether the last read was a stale list.
    let mut listed_stale = false;
    let mut documents = FeedDocuments::default();
    let mut retry_pause = RetryPause::new();
    let mut last_read = None;
    loop {
        let now = BootClock.now();
        let is_granter = granter::granter_term(&shell).is_some();
        let is_starting = now.since(started) < STARTUP_WAIT && !is_granter;
        let read = feed.required_read(&shell, now, started);
        if last_read.replace(read) != Some(read) {
            log_read_change(&shell, now, feed, read);
        }
        match read {
            StoreRead::Skip => {
                // If the granter falls silent, the servers are watched from where it left off.
                last_revision = match feed {
                    Feed::Servers => shell.router.borrow().directory().latest_revision(),
                    Feed::Config | Feed::Zones | Feed::Hosts => None,
                };
                Timer::after(GRANTER_FEED_POLL).await;
                continue;
            }
            // Waits for the granter's feed, which makes the watch unnecessary.
            StoreRead::Watch
                if is_starting
                    && has_listed
                    && !(feed == Feed::Config && needs_key_proof(&shell, now, started)) =>
            {
                Timer::after(GRANTER_FEED_POLL / 2).await;
                continue;
            }
            StoreRead::List => last_revision = None,
            StoreRead::Watch => {}
        }
        let is_list = last_revision.is_none();
        let may_list_stale = !has_listed || (feed == Feed::Servers && !is_granter);
        let prefix = feed.key_prefix(&shell).to_owned();
        let was_lost = shell.store.is_lost();
        let sent_at = BootClock.now();
        let list_is_stale = allow_stale && may_list_stale;
        // Whether the documents are now as the store has them.
        let result = match last_revision {
            // A follower's list, and the first one, may be stale: the granter's feed or the next
            // watch brings what has changed since.
            None => match shell.store.list(&prefix, list_is_stale).await {
                Ok((objects, revision)) => {
                    has_listed = true;
                    record_store_recovery(&shell, was_lost);
                    documents.record_restorations(shell.store.restorations());
                    documents.replace_all(&shell, feed, objects, revision);
                    last_revision = Some(revision);
                    Ok(!list_is_stale)
                }
                Err(StoreError::Suspended) => Err(CallFailure::Suspended),
                Err(error) => {
                    log::info!(feed:? = feed, error:% = error; "list failed");
                    Err(CallFailure::Failed)
                }
            },
            Some(since) => {
                // The election waits for the first read of the zones after an outage.
                let wait = match feed == Feed::Zones && granter::are_zones_unknown(&shell) {
                    true => RECOVERY_WAIT,
                    false => feed.watch_wait(&shell, is_granter, listed_stale),
                };
                let request = StoreRequest::Watch { prefix, since, wait };
                match shell.store.call(&request).await {
                    Ok(StoreReply::Changes(body)) => {
                        record_store_recovery(&shell, was_lost);
                        if body.compacted {
                            log::info!(feed:? = feed; "store history compacted; listing again");
                            last_revision = None;
                            allow_stale = !listed_stale && !documents.is_restored(&shell);
                            Ok(false)
                        } else {
                            allow_stale = true;
                            documents.apply_changes(&shell, feed, body.changes);
                            last_revision = Some(body.revision.max(since));
                            Ok(true)
                        }
                    }
                    Err(StoreError::Suspended) => Err(CallFailure::Suspended),
                    other => {
                        log::info!(feed:? = feed, result:? = other; "watch failed");
                        Err(CallFailure::Failed)
                    }
                }
            }
        };
        documents.expire_kept_zones(&shell, feed);
        let is_current = match result {
            Ok(is_current) => is_current,
            Err(failure) => {
                let is_granter = granter::granter_term(&shell).is_some();
                Timer::after(retry_pause.record_failure(failure, is_granter)).await;
                continue;
            }
        };
        retry_pause.record_success();
        listed_stale = is_list && list_is_stale;
        if is_current {
            feed.record_read(&shell);
            if feed == Feed::Config && documents.has_usable_config() {
                shell.router.borrow_mut().record_config_read(sent_at);
            }
        }
        // A watch follows a stale list at once.
        if !listed_stale {
            Timer::after(feed.watch_interval()).await;
        }
    }
}

/// Returns whether API keys need a proof that only a read of the configuration gives. A process that
/// starts waits until it may have heard from the granter.
fn needs_key_proof(shell: &ShellState, now: Time, started: Time) -> bool {
    now.since(started) >= FIRST_HEARTBEAT_WAIT && shell.router.borrow().needs_config_read(now)
}

/// Logs that a feed is read from another source, with the granter's state by which that was decided.
fn log_read_change(shell: &ShellState, now: Time, feed: Feed, read: StoreRead) {
    let granter_feed = shell.granter_feed.borrow();
    let state = granter_feed.last_state(now);
    log::info!(
        feed:? = feed,
        read:? = read,
        is_granter = granter::granter_term(shell).is_some(),
        state_age_ms:? = state.map(|(_, age)| age.as_millis()),
        granter_config:? = state.map(|(state, _)| state.config_version),
        config = shell.config_version();
        "source of documents changed"
    );
}

/// Tells the router that the store has answered, if it was lost before the call.
fn record_store_recovery(shell: &ShellState, was_lost: bool) {
    let last_failure = shell.store.last_failure();
    if was_lost && shell.granter_feed.borrow().may_have_lapsed(last_failure) {
        shell.router.borrow_mut().handle_store_recovery(BootClock.now());
    }
}
