use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, NodeId};
use bay_wire::{GateAddress, LoadMessage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::budget::Budget;
use crate::permit::Release;
use crate::target::Target;
use crate::{
    LoadOutput, Observation, Permit, Pick, PoolConfig, Purpose, TargetId, TargetSpec, Ticket, Wish,
};

/// Pause before a waiting request asks again.
const QUEUE_POLL: Duration = Duration::from_millis(2);

/// Time to a hedge before latencies are known.
const HEDGE_AFTER: Duration = Duration::from_millis(100);

/// The targets of one service, as one gate shares them.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    targets: SlotMap<TargetId, Target>,
    retries: Budget,
    hedges: Budget,
    releases: Receiver<Release>,
    release: Sender<Release>,
    next_ticket: u64,
    rng: SmallRng,
}

impl Pool {
    /// A pool without targets.
    pub fn new(config: PoolConfig, _now: Time) -> Pool {
        let (release, releases) = channel();
        Pool {
            retries: Budget::new(config.retry_budget),
            hedges: Budget::new(config.hedge_budget),
            rng: SmallRng::seed_from_u64(config.seed),
            config,
            targets: SlotMap::with_key(),
            releases,
            release,
            next_ticket: 0,
        }
    }

    /// Sets the targets in place of the earlier ones.
    pub fn set_targets(&mut self, _now: Time, specs: &[TargetSpec]) {
        self.targets
            .retain(|_, target| specs.iter().any(|spec| spec.address == target.spec.address));
        for spec in specs {
            let known = self.targets.values_mut().find(|t| t.spec.address == spec.address);
            match known {
                Some(target) => target.spec = *spec,
                None => {
                    self.targets.insert(Target { spec: *spec, in_flight: 0 });
                }
            }
        }
    }

    /// Sets the gates that share the targets, this one among them.
    pub fn set_gates(&mut self, _now: Time, _gates: &[GateAddress]) {}

    /// Picks a target for a request.
    pub fn pick(&mut self, now: Time, wish: &Wish<'_>) -> Pick {
        self.drain_releases();
        if wish.purpose == Purpose::First && wish.ticket.is_none() {
            self.retries.earn();
            self.hedges.earn();
        }
        let Some(id) = self.choose(wish) else {
            return self.wait_or_refuse(now, wish);
        };
        if wish.purpose == Purpose::Hedge && !self.hedges.spend() {
            return refuse(ErrorKind::ServiceOverloaded);
        }
        let target = &mut self.targets[id];
        target.in_flight += 1;
        let release = Release { target: id };
        Pick::Go(Permit::new(target.spec.address, false, release, self.release.clone()))
    }

    /// Takes what an attempt showed about its target.
    pub fn observe(&mut self, _now: Time, _target: TargetId, _seen: Observation) {}

    /// Time after which a slow attempt is hedged, or `None` if hedges are off.
    pub fn hedge_after(&self) -> Option<Duration> {
        (self.config.hedge_budget > 0.0).then_some(HEDGE_AFTER)
    }

    /// Pays for a retry, if the budget allows it.
    pub fn retry_allowed(&mut self, _now: Time) -> bool {
        self.retries.spend()
    }

    /// The next waiting request that may ask again before its time.
    pub fn pop_ready(&mut self, _now: Time) -> Option<Ticket> {
        None
    }

    /// Gives up a place in the queue.
    pub fn leave_queue(&mut self, _ticket: Ticket) {}

    /// Takes a message from another gate's pool of the same service.
    pub fn on_message(
        &mut self,
        _now: Time,
        _from: NodeId,
        message: LoadMessage,
        _out: &mut Vec<LoadOutput>,
    ) {
        match message {}
    }

    /// Does what is due and collects the messages to send; to be called after any other method
    /// too, as picks and observations lead to messages.
    pub fn tick(&mut self, _now: Time, _out: &mut Vec<LoadOutput>) {
        self.drain_releases();
    }

    /// The time of the next [`Pool::tick`].
    pub fn next_deadline(&mut self) -> Option<Time> {
        None
    }

    fn choose(&mut self, wish: &Wish<'_>) -> Option<TargetId> {
        let fits = |(id, target): &(TargetId, &Target)| {
            target.spec.accepts
                && target.in_flight < self.config.limits.slots
                && wish.only.is_none_or(|only| only == target.spec.address)
                && !wish.exclude.contains(id)
        };
        let rng = &mut self.rng;
        self.targets
            .iter()
            .filter(fits)
            .min_by_key(|(_, target)| (target.in_flight, rng.random::<u32>()))
            .map(|(id, _)| id)
    }

    fn wait_or_refuse(&mut self, now: Time, wish: &Wish<'_>) -> Pick {
        let any = self.targets.values().any(|target| {
            target.spec.accepts && wish.only.is_none_or(|only| only == target.spec.address)
        });
        if !any {
            return refuse(ErrorKind::NoTarget);
        }
        let until = now + QUEUE_POLL;
        if wish.purpose == Purpose::Hedge || until >= wish.deadline {
            return refuse(ErrorKind::ServiceOverloaded);
        }
        self.next_ticket += 1;
        Pick::Wait { ticket: wish.ticket.unwrap_or(Ticket(self.next_ticket)), until }
    }

    fn drain_releases(&mut self) {
        while let Ok(release) = self.releases.try_recv() {
            if let Some(target) = self.targets.get_mut(release.target) {
                target.in_flight = target.in_flight.saturating_sub(1);
            }
        }
    }
}

fn refuse(kind: ErrorKind) -> Pick {
    Pick::Refuse { kind, retry_after: Duration::from_secs(1) }
}
