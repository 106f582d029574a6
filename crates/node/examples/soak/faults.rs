use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::proxy::Mode;
use crate::router::Router;
use crate::server::{Server, Servers};
use crate::store::{Store, StoreMode};

/// A fault that is under way, and when it ends.
pub struct UnderWay {
    pub until: Time,
    what: Fault,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A router is paused.
    Pause(usize),
    /// A router is killed, or stopped by a signal, and started again later.
    Stop(usize, bool),
    /// The way from a router to the store misbehaves.
    StoreWay(usize, Mode),
    /// The store misbehaves for all.
    Store(StoreMode),
    /// A server crashes and starts again later under its name.
    Crash(usize),
    /// The way to a server misbehaves.
    ServerWay(usize, Mode),
    /// A server's heartbeats do not reach the store.
    Unlisted(usize),
    /// A server drains, then starts anew.
    Drain(usize),
    /// A zone is out.
    ZoneOut,
}

/// What faults act on.
pub struct World<'a> {
    pub routers: &'a mut [Router],
    pub servers: &'a Arc<Servers>,
    pub store: &'a Store,
}

impl World<'_> {
    /// Starts a random fault that overlaps those under way.
    pub fn begin(&mut self, now: Time, random: &mut SmallRng) -> UnderWay {
        let router = random.random_range(0..self.routers.len());
        let server = random.random_range(0..self.servers.all.len());
        let mode = match random.random_range(0..4) {
            0 => Mode::Delay(Duration::from_millis(random.random_range(5..150))),
            1 => Mode::Reset,
            2 => Mode::Silent,
            _ => Mode::OneWay,
        };
        let what = match random.random_range(0..10) {
            0 => Fault::Pause(router),
            1 => Fault::Stop(router, true),
            2 => Fault::Stop(router, false),
            3 => Fault::StoreWay(router, mode),
            4 if random.random_bool(0.5) => Fault::Store(StoreMode::Busy),
            4 => Fault::Store(StoreMode::LostAnswers),
            5 => Fault::Crash(server),
            6 => Fault::ServerWay(server, mode),
            7 => Fault::Unlisted(server),
            8 => Fault::Drain(server),
            _ => Fault::ZoneOut,
        };
        println!("{:8.3} begins {what:?}", seconds(now));
        self.apply(what);
        let span = Duration::from_millis(random.random_range(300..5_000));
        UnderWay { until: now + span, what }
    }

    fn apply(&mut self, what: Fault) {
        match what {
            Fault::Pause(index) => self.routers[index].signal(Signal::STOP),
            Fault::Stop(index, kill) => {
                let signal = if kill { Signal::KILL } else { Signal::TERM };
                self.routers[index].signal(Signal::CONT);
                self.routers[index].signal(signal);
            }
            Fault::StoreWay(index, mode) => self.routers[index].store.set(mode),
            Fault::Store(mode) => self.store.set(mode),
            Fault::Crash(index) => self.servers.all[index].crash(),
            Fault::ServerWay(index, mode) => self.servers.all[index].proxy.set(mode),
            Fault::Unlisted(index) => {
                self.servers.all[index].listed.store(false, Ordering::SeqCst);
            }
            Fault::Drain(index) => {
                self.servers.all[index].draining.store(true, Ordering::SeqCst);
            }
            Fault::ZoneOut => {
                self.store.write("evacuations/b", Some(serde_json::json!({})));
                self.store.compact();
            }
        }
    }

    /// Ends a fault.
    pub fn end(&mut self, now: Time, fault: &UnderWay) {
        println!("{:8.3} ends {:?}", seconds(now), fault.what);
        match fault.what {
            Fault::Pause(index) => self.routers[index].signal(Signal::CONT),
            Fault::Stop(index, _) => {
                // A paused process takes a signal only once it goes on.
                self.routers[index].signal(Signal::CONT);
                self.routers[index].signal(Signal::KILL);
                self.routers[index].wait();
                self.routers[index].start();
            }
            Fault::StoreWay(index, _) => self.routers[index].store.set(Mode::Pass),
            Fault::Store(_) => self.store.set(StoreMode::Up),
            Fault::Crash(index) | Fault::Drain(index) => restart(&self.servers.all[index]),
            Fault::ServerWay(index, _) => self.servers.all[index].proxy.set(Mode::Pass),
            Fault::Unlisted(index) => {
                self.servers.all[index].listed.store(true, Ordering::SeqCst);
            }
            Fault::ZoneOut => {
                self.store.write("evacuations/b", None);
            }
        }
    }

    /// Starts routers that have ended by themselves; returns how many there were.
    pub fn revive(&mut self) -> usize {
        let mut ended = 0;
        for router in &mut *self.routers {
            if router.has_ended() {
                ended += 1;
                router.wait();
                router.start();
            }
        }
        ended
    }
}

fn restart(server: &Server) {
    server.crash();
    server.restart();
}

/// Seconds of a clock reading, for the schedule that is printed.
pub fn seconds(now: Time) -> f64 {
    now.as_nanos() as f64 / 1e9
}
