use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::proxy::ProxyMode;
use crate::router::Router;
use crate::server::{NoticeKind, Server, Servers};
use crate::store::{Store, StoreCopy, StoreMode};

/// A fault that has started, with the time at which it ends.
pub struct ActiveFault {
    pub ends_at: Time,
    kind: Fault,
    /// Copy of the store, for its restoration.
    copy: Option<StoreCopy>,
}

/// A kind of fault, with the index of the router or server that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A router process is paused.
    PauseRouter(usize),
    /// A router process is killed (`true`) or asked to stop by `SIGTERM` (`false`). It is restarted
    /// once it has exited. When the fault ends, it is killed and restarted in any case.
    StopRouter(usize, bool),
    /// The connections of a router to the store are disturbed.
    StoreConnection(usize, ProxyMode),
    /// The store fails for all routers.
    StoreFailure(StoreMode),
    /// A server crashes. It starts again under the same name when the fault ends.
    CrashServer(usize),
    /// The connections to a server are disturbed.
    ServerConnection(usize, ProxyMode),
    /// The heartbeats of a server do not reach the store.
    LoseHeartbeats(usize),
    /// A server drains, then restarts.
    DrainServer(usize),
    /// A server says in its answers that it leaves, but not in its entry, then restarts.
    LeaveServer(usize),
    /// A server turns requests away and asks for a pause until the fault ends.
    PauseServer(usize),
    /// The store comes back from a copy when the fault ends, which is made when it starts.
    RestoreStore,
    /// The same with a copy from before the start of the routers.
    RestoreFirstCopy,
    /// Zone `b` is evacuated, and the watch history of the store is dropped.
    EvacuateZone,
}

/// The processes and stand-ins that faults affect.
pub struct Cluster<'a> {
    pub routers: &'a mut [Router],
    pub servers: &'a Arc<Servers>,
    pub store: &'a Store,
    /// Copy of the store from before the start of the routers.
    pub first_copy: StoreCopy,
}

impl Cluster<'_> {
    /// Starts a random fault. It may overlap with faults that are active.
    pub fn start_random_fault(&mut self, now: Time, random: &mut SmallRng) -> ActiveFault {
        let router = random.random_range(0..self.routers.len());
        let server = random.random_range(0..self.servers.all.len());
        let mode = match random.random_range(0..4) {
            0 => ProxyMode::Delay(Duration::from_millis(random.random_range(5..150))),
            1 => ProxyMode::Close,
            2 => ProxyMode::Blackhole,
            _ => ProxyMode::DropResponses,
        };
        let fault = match random.random_range(0..10) {
            0 => Fault::PauseRouter(router),
            1 => Fault::StopRouter(router, true),
            2 => Fault::StopRouter(router, false),
            3 => Fault::StoreConnection(router, mode),
            4 if random.random_bool(0.5) => Fault::StoreFailure(StoreMode::Unavailable),
            4 => Fault::StoreFailure(StoreMode::RepliesLost),
            5 => Fault::CrashServer(server),
            6 => Fault::ServerConnection(server, mode),
            7 => Fault::LoseHeartbeats(server),
            8 => Fault::DrainServer(server),
            _ => Fault::EvacuateZone,
        };
        let duration = Duration::from_millis(random.random_range(300..5_000));
        self.start_fault(now, fault, duration)
    }

    /// Starts a random fault that servers or the store tell of in their answers.
    pub fn start_told_fault(&mut self, now: Time, random: &mut SmallRng) -> ActiveFault {
        let server = random.random_range(0..self.servers.all.len());
        let fault = match random.random_range(0..3) {
            0 => Fault::LeaveServer(server),
            1 => Fault::PauseServer(server),
            _ => Fault::RestoreStore,
        };
        let duration = Duration::from_millis(random.random_range(1_000..5_000));
        let fault = match fault {
            // The remainder is as good as a draw, and leaves the other faults of a seed as they are.
            Fault::RestoreStore if duration.as_millis().is_multiple_of(2) => {
                Fault::RestoreFirstCopy
            }
            fault => fault,
        };
        self.start_fault(now, fault, duration)
    }

    fn start_fault(&mut self, now: Time, fault: Fault, duration: Duration) -> ActiveFault {
        println!("{:8.3} fault started: {fault:?}", as_seconds(now));
        let copy = match fault {
            Fault::RestoreStore => Some(self.store.copy()),
            Fault::RestoreFirstCopy => Some(self.first_copy.clone()),
            _ => None,
        };
        self.apply(fault, duration);
        ActiveFault { ends_at: now + duration, kind: fault, copy }
    }

    fn apply(&mut self, fault: Fault, duration: Duration) {
        match fault {
            Fault::PauseRouter(index) => self.routers[index].signal(Signal::STOP),
            Fault::StopRouter(index, kill) => {
                let signal = if kill { Signal::KILL } else { Signal::TERM };
                self.routers[index].signal(Signal::CONT);
                self.routers[index].signal(signal);
            }
            Fault::StoreConnection(index, mode) => self.routers[index].store_proxy.set_mode(mode),
            Fault::StoreFailure(mode) => self.store.set_mode(mode),
            Fault::CrashServer(index) => self.servers.all[index].crash(),
            Fault::ServerConnection(index, mode) => self.servers.all[index].proxy.set_mode(mode),
            Fault::LoseHeartbeats(index) => {
                self.servers.all[index].sends_heartbeats.store(false, Ordering::SeqCst);
            }
            Fault::DrainServer(index) => {
                self.servers.all[index].is_draining.store(true, Ordering::SeqCst);
            }
            Fault::LeaveServer(index) => {
                self.servers.all[index].set_notice(Some(NoticeKind::Leaving));
            }
            Fault::PauseServer(index) => {
                self.servers.all[index].set_notice(Some(NoticeKind::Pause(duration)));
            }
            Fault::RestoreStore | Fault::RestoreFirstCopy => {}
            Fault::EvacuateZone => {
                self.store.write("evacuations/b", Some(serde_json::json!({})));
                self.store.compact();
            }
        }
    }

    /// Ends a fault and restores what it disturbed, even if another active fault still disturbs it.
    pub fn end_fault(&mut self, now: Time, fault: ActiveFault) {
        println!("{:8.3} fault ended: {:?}", as_seconds(now), fault.kind);
        match fault.kind {
            Fault::PauseRouter(index) => self.routers[index].signal(Signal::CONT),
            Fault::StopRouter(index, _) => {
                // A paused process handles a signal only after it continues.
                self.routers[index].signal(Signal::CONT);
                self.routers[index].signal(Signal::KILL);
                self.routers[index].wait();
                self.routers[index].start();
            }
            Fault::StoreConnection(index, _) => {
                self.routers[index].store_proxy.set_mode(ProxyMode::Forward)
            }
            Fault::StoreFailure(_) => self.store.set_mode(StoreMode::Up),
            Fault::CrashServer(index) | Fault::DrainServer(index) | Fault::LeaveServer(index) => {
                restart_server(&self.servers.all[index])
            }
            Fault::ServerConnection(index, _) => {
                self.servers.all[index].proxy.set_mode(ProxyMode::Forward)
            }
            Fault::LoseHeartbeats(index) => {
                self.servers.all[index].sends_heartbeats.store(true, Ordering::SeqCst);
            }
            Fault::PauseServer(index) => self.servers.all[index].set_notice(None),
            Fault::RestoreStore | Fault::RestoreFirstCopy => {
                if let Some(copy) = fault.copy {
                    self.store.restore(copy);
                }
            }
            Fault::EvacuateZone => {
                self.store.write("evacuations/b", None);
            }
        }
    }

    /// Restarts the routers that have exited, for whatever reason. Returns their number.
    pub fn restart_exited_routers(&mut self) -> usize {
        let mut exited = 0;
        for router in &mut *self.routers {
            if router.has_exited() {
                exited += 1;
                router.wait();
                router.start();
            }
        }
        exited
    }
}

fn restart_server(server: &Server) {
    server.crash();
    server.restart();
}

/// Converts a clock reading to seconds, for the printed schedule.
pub fn as_seconds(now: Time) -> f64 {
    now.as_nanos() as f64 / 1e9
}
