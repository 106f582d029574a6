use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::object_key;
use bay_store::{StoreError, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock, Time};
use bay_types::Revision;

use super::granting;
use super::hosts;
use super::shell::Shell;

mod applying;

pub(crate) use applying::{host_name, log_server};

use applying::FeedState;

/// Longest wait of a watch of documents with a bound on when they are in force; short, since only
/// an answer shows that the connection has not gone silent.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a watch of the routers.
const HOSTS_WAIT: Duration = Duration::from_secs(10);

/// Time between two watches of the servers' entries, which change with every heartbeat.
const SERVERS_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two checks of whether the granter tells what is in the store.
const FED_CHECK: Duration = Duration::from_millis(200);

/// Longest time for which a new process waits for the granter's news before it watches the store.
const STARTUP_WAIT: Duration = Duration::from_millis(2_500);

/// Pause after a failed call; it doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls of the granter, which tells the others.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Longest pause between failed calls of the others; shorter than the time after which a router
/// that the store serves again is bound by what it says.
const MAX_FOLLOWER_PAUSE: Duration = Duration::from_millis(1_200);

/// A kind of documents that the router follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Feed {
    Config,
    Servers,
    Zones,
    Hosts,
}

/// Follows the documents in the store.
pub(crate) fn start(shell: &Rc<Shell>) {
    for feed in [Feed::Config, Feed::Servers, Feed::Zones, Feed::Hosts] {
        shell.spawn(follow(Rc::clone(shell), feed));
    }
    shell.spawn(hosts::register(Rc::clone(shell)));
}

impl Feed {
    fn prefix(self, shell: &Shell) -> &str {
        match self {
            Feed::Config => shell.wire.config_prefix(),
            Feed::Servers => shell.wire.server_prefix(),
            Feed::Zones => shell.wire.zone_prefix(),
            Feed::Hosts => object_key::HOSTS,
        }
    }

    fn need(self, shell: &Shell, now: Time) -> Need {
        let follows = granting::term(shell).is_none();
        // Only the granter has to know at once which routers there are.
        if self == Feed::Hosts && follows && !shell.hosts.borrow().is_empty() {
            let fed = shell.fed.borrow();
            let told = fed.state(now).map(|state| state.host_count);
            let known = shell.hosts.borrow().len() as u32;
            return if told.is_none_or(|told| told == known) { Need::Nothing } else { Need::List };
        }
        let fed = shell.fed.borrow();
        let Some(state) = fed.state(now).filter(|_| follows) else {
            return Need::Watch;
        };
        let current = match self {
            Feed::Servers if fed.has_current_servers(now) => return Need::Nothing,
            Feed::Servers => return Need::Watch,
            Feed::Config => {
                shell.router.borrow().config().map(|config| config.version)
                    >= Some(state.config_version)
            }
            Feed::Zones => return Need::Nothing,
            Feed::Hosts => false,
        };
        if current { Need::Nothing } else { Need::List }
    }

    /// Longest wait of a watch.
    fn wait(self) -> Duration {
        match self {
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones => WATCH_WAIT,
            Feed::Hosts => HOSTS_WAIT,
        }
    }

    /// Time between two watches.
    fn interval(self) -> Duration {
        match self {
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones | Feed::Hosts => Duration::ZERO,
        }
    }
}

/// What a feed has to read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// Nothing: the granter tells it.
    Nothing,
    /// All documents once, as the granter has read other ones.
    List,
    /// The changes as they come.
    Watch,
}

async fn follow(shell: Rc<Shell>, feed: Feed) {
    let started = BootClock.now();
    let mut known: Option<Revision> = None;
    let mut listed = false;
    let mut state = FeedState::default();
    let mut pause = RETRY_PAUSE;
    loop {
        let now = BootClock.now();
        let starting = now.since(started) < STARTUP_WAIT && granting::term(&shell).is_none();
        match feed.need(&shell, now) {
            Need::Nothing => {
                known = None;
                Timer::after(FED_CHECK).await;
                continue;
            }
            Need::Watch if starting && listed => {
                Timer::after(FED_CHECK / 2).await;
                continue;
            }
            Need::List => known = None,
            Need::Watch => {}
        }
        let prefix = feed.prefix(&shell).to_owned();
        let was_lost = shell.store.is_lost();
        let ok = match known {
            // Changes since an old list follow from the granter, or from a watch.
            None => match shell.store.list(&prefix, !listed).await {
                Ok((objects, revision)) => {
                    listed = true;
                    store_back(&shell, was_lost);
                    state.replace(&shell, feed, objects, revision);
                    known = Some(revision);
                    true
                }
                Err(StoreError::Suspended) => false,
                Err(error) => {
                    log::info!(feed:? = feed, error:% = error; "list failed");
                    false
                }
            },
            Some(since) => {
                let request = StoreRequest::Watch { prefix, since, wait: feed.wait() };
                match shell.store.call(&request).await {
                    Ok(StoreReply::Changes(body)) => {
                        store_back(&shell, was_lost);
                        if body.compacted {
                            log::info!(feed:? = feed; "history lost; listing anew");
                            known = None;
                        } else {
                            state.change(&shell, feed, body.changes);
                            known = Some(body.revision.max(since));
                        }
                        true
                    }
                    Err(StoreError::Suspended) => false,
                    other => {
                        log::info!(feed:? = feed, result:? = other; "watch failed");
                        false
                    }
                }
            }
        };
        if ok {
            match feed {
                Feed::Servers => shell.told.borrow_mut().on_read(BootClock.now()),
                Feed::Zones => shell.told.borrow_mut().on_zones_read(),
                Feed::Config | Feed::Hosts => {}
            }
            pause = RETRY_PAUSE;
            Timer::after(feed.interval()).await;
        } else {
            Timer::after(pause).await;
            let granter = granting::term(&shell).is_some();
            pause = (pause * 2).min(if granter { MAX_RETRY_PAUSE } else { MAX_FOLLOWER_PAUSE });
        }
    }
}

fn store_back(shell: &Shell, was_lost: bool) {
    if was_lost {
        shell.router.borrow_mut().handle_store_recovery(BootClock.now());
    }
}
