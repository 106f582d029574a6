use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, NodeId};
use bay_wire::{Condition, GateAddress, LoadMessage, Loan};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::budget::Budget;
use crate::home::Home;
use crate::latencies::{Latencies, Pace};
use crate::lending::Asker;
use crate::permit::Release;
use crate::queue::Queue;
use crate::ready::Ready;
use crate::return_times::ReturnTimes;
use crate::target::{Busy, Target};
use crate::{
    LoadOutput, NotRun, Observation, Permit, Pick, PoolConfig, Purpose, Seen, TargetId, Ticket,
    Wish,
};

/// Time after which a waiting request asks again if it has not been called.
const QUEUE_POLL: Duration = Duration::from_millis(2);

/// Requests that may wait at a gate, as a multiple of its even share of all slots.
const QUEUE_PER_SLOT: usize = 2;

/// Requests that may wait at a gate at least.
const MIN_QUEUE: usize = 8;

/// The targets of one service, as one gate shares them with the others.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: PoolConfig,
    pub(crate) targets: SlotMap<TargetId, Target>,
    pub(crate) by_address: HashMap<SocketAddr, TargetId>,
    pub(crate) ready: Ready,
    pub(crate) gates: Vec<GateAddress>,
    pub(crate) homes: HashMap<NodeId, Home>,
    /// Other gates that are home to a target that takes work.
    pub(crate) lenders: Vec<NodeId>,
    /// Other gates from which slots were asked and not yet got.
    pub(crate) asked: Vec<NodeId>,
    /// Whether a target of this gate's zone takes work.
    pub(crate) has_near: bool,
    /// Targets that this gate is home to.
    pub(crate) homed: Vec<TargetId>,
    pub(crate) askers: VecDeque<Asker>,
    pub(crate) queue: Queue,
    pub(crate) latencies: Latencies,
    pub(crate) returns: BTreeMap<NodeId, Vec<Loan>>,
    pub(crate) outbox: Vec<LoadOutput>,
    pub(crate) next_sweep: Option<Time>,
    pub(crate) next_loan: u32,
    pub(crate) rng: SmallRng,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    return_times: ReturnTimes,
    releases: Receiver<Release>,
    release: Sender<Release>,
    next_number: u64,
}

impl Pool {
    /// A pool without targets.
    pub fn new(config: PoolConfig, now: Time) -> Pool {
        let (release, releases) = channel();
        let mut rng = SmallRng::seed_from_u64(config.seed);
        Pool {
            retries: Budget::new(config.retry_budget),
            hedges: Budget::new(config.hedge_budget),
            return_times: ReturnTimes::new(now),
            next_loan: rng.random(),
            rng,
            config,
            targets: SlotMap::with_key(),
            by_address: HashMap::new(),
            ready: Ready::default(),
            gates: Vec::new(),
            homes: HashMap::new(),
            lenders: Vec::new(),
            asked: Vec::new(),
            has_near: false,
            homed: Vec::new(),
            askers: VecDeque::new(),
            queue: Queue::default(),
            latencies: Latencies::new(),
            returns: BTreeMap::new(),
            outbox: Vec::new(),
            next_sweep: None,
            releases,
            release,
            next_number: 0,
        }
    }

    /// Picks a target for a request.
    pub fn pick(&mut self, now: Time, wish: &Wish<'_>) -> Pick {
        self.drain_releases(now);
        self.arm(now);
        if let Some(pick) = self.displaced(now, wish) {
            return pick;
        }
        if self.overtakes(wish) {
            return self.wait_or_refuse(now, wish);
        }
        match self.choose(now, wish) {
            Some(id) => self.start(now, id, wish),
            None => self.wait_or_refuse(now, wish),
        }
    }

    /// Takes what an attempt showed about its target.
    pub fn observe(&mut self, now: Time, id: TargetId, seen: Observation) {
        self.drain_releases(now);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let pace = self.latencies.pace(seen.latency, seen.reported);
        match seen.seen {
            Seen::Answered => {
                target.silent = false;
                self.latencies.record(now, seen.latency);
                self.return_times.answered(now);
                self.note_pace(now, id, pace, seen.latency);
            }
            Seen::Cancelled if pace == Pace::InTime => {}
            Seen::Cancelled => self.note_pace(now, id, pace, seen.latency),
            Seen::NotRun(NotRun::NotOwner) => {}
            Seen::NotRun(NotRun::Cold | NotRun::Shed) | Seen::Failed => self.saw_cold(now, id),
            Seen::NotRun(NotRun::Draining) => self.saw_slow(now, id),
            Seen::Silent => {
                target.silent = true;
                self.saw_slow(now, id);
            }
        }
        self.ready.refresh(&mut self.targets, id, now);
        self.arm(now);
    }

    /// Time after which a slow attempt is hedged, or `None` if hedges are off or latencies are
    /// not known yet.
    pub fn hedge_after(&self) -> Option<Duration> {
        if self.config.hedge_budget <= 0.0 {
            return None;
        }
        self.latencies.hedge_after()
    }

    /// Pays for a retry, if the budget allows it.
    pub fn retry_allowed(&mut self, _now: Time) -> bool {
        self.retries.spend()
    }

    /// The next waiting request that may ask again before its time.
    pub fn pop_ready(&mut self, now: Time) -> Option<Ticket> {
        self.drain_releases(now);
        if self.queue.is_empty() {
            return None;
        }
        let any = !self.ready.is_empty();
        let ticket = self.queue.next(|entry| match entry.only {
            Some(address) => self.has_free(now, address),
            None => any,
        })?;
        self.queue.get_mut(ticket)?.called = true;
        Some(ticket)
    }

    /// Gives up a place in the queue.
    pub fn leave_queue(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Connections, idle ones among them, that this gate may have to a target now; the sum over
    /// all gates stays within the target's limit.
    pub fn connection_cap(&self, id: TargetId) -> u32 {
        let limits = self.config.limits;
        let gates = self.gates.len().max(1) as u32;
        let share = limits.connections.saturating_sub(limits.slots) / gates;
        let Some(target) = self.targets.get(id) else {
            return 0;
        };
        share + target.busy.len() as u32
    }

    /// Takes a message from another gate's pool of the same service.
    pub fn on_message(
        &mut self,
        now: Time,
        from: NodeId,
        message: LoadMessage,
        out: &mut Vec<LoadOutput>,
    ) {
        self.drain_releases(now);
        match message {
            LoadMessage::Borrow { asked, want, only, ahead } => {
                let asker = Asker::new(now, from, asked, u32::from(want), only);
                self.on_borrow(now, asker, ahead);
            }
            LoadMessage::Lend { asked, loans, spare } => {
                self.on_lend(now, from, asked, &loans, spare);
            }
            LoadMessage::Renew { asked, settled, loans } => {
                self.on_renew(now, from, asked, settled, &loans);
            }
            LoadMessage::Renewed { asked, renewed, refused, spare } => {
                self.on_renewed(now, from, asked, &renewed, &refused, spare);
            }
            LoadMessage::Return { loans } => self.on_return(now, from, &loans),
            LoadMessage::Recall { target } => self.on_recall(now, target),
            LoadMessage::Seen { target, condition } => self.on_seen(now, from, target, condition),
        }
        self.arm(now);
        self.flush(out);
    }

    /// Does what is due and collects the messages to send; to be called after any other method
    /// too, as picks and observations lead to messages.
    pub fn tick(&mut self, now: Time, out: &mut Vec<LoadOutput>) {
        self.drain_releases(now);
        if self.next_sweep.is_some_and(|at| at <= now) {
            self.sweep(now);
        }
        self.flush(out);
    }

    /// The time of the next [`Pool::tick`].
    pub fn next_deadline(&mut self) -> Option<Time> {
        if self.outbox.is_empty() && self.returns.is_empty() {
            return self.next_sweep;
        }
        Some(Time::ZERO)
    }

    /// Notes that a target of another home, or of this one, is in a cold start.
    fn saw_cold(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match &mut target.lender {
            Some(lender) => {
                lender.bearing.restart(now);
                self.recall(id, None);
            }
            None => {
                self.tell_home(id, Condition::Cold);
                self.give_back_all(now, id);
            }
        }
    }

    /// Notes that a target answers much later than others.
    pub(crate) fn saw_slow(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.health.fast();
        match &mut target.lender {
            Some(lender) => {
                lender.mark_slow(now);
                self.recall(id, None);
            }
            None => {
                self.tell_home(id, Condition::Slow);
                self.give_back_all(now, id);
            }
        }
    }

    /// Notes how an attempt's time compares with others.
    fn note_pace(&mut self, now: Time, id: TargetId, pace: Pace, latency: Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match pace {
            Pace::InTime => self.saw_fast(id, now - latency),
            Pace::Late => {
                if target.health.late() {
                    self.saw_slow(now, id);
                }
            }
            Pace::Slow => self.saw_slow(now, id),
        }
    }

    /// Notes that a target has answered an attempt, started at this time, as fast as others.
    fn saw_fast(&mut self, id: TargetId, started: Time) {
        let target = &mut self.targets[id];
        target.health.fast();
        match &mut target.lender {
            Some(lender) => lender.mark_fast(started),
            None if target.trial_since.is_some_and(|since| started >= since) => {
                target.trial_since = None;
                self.tell_home(id, Condition::Fast);
            }
            None => {}
        }
    }

    /// Whether a new request would overtake those that wait.
    fn overtakes(&self, wish: &Wish<'_>) -> bool {
        if wish.ticket.is_some() || wish.only.is_some() || self.queue.is_empty() {
            return false;
        }
        wish.purpose != Purpose::Hedge && self.ready.len() <= self.queue.len()
    }

    fn choose(&mut self, now: Time, wish: &Wish<'_>) -> Option<TargetId> {
        let Some(address) = wish.only else {
            return self.ready.choose(&self.targets, now, wish.exclude, &mut self.rng);
        };
        let id = *self.by_address.get(&address)?;
        (self.has_free(now, address) && !wish.exclude.contains(&id)).then_some(id)
    }

    /// Whether a target has a free slot, for a request that only it may serve.
    fn has_free(&self, now: Time, address: SocketAddr) -> bool {
        let id = self.by_address.get(&address);
        id.is_some_and(|id| self.targets[*id].free_for_only(now) > 0)
    }

    fn start(&mut self, now: Time, id: TargetId, wish: &Wish<'_>) -> Pick {
        match wish.purpose {
            Purpose::First => {
                self.retries.earn();
                self.hedges.earn();
            }
            Purpose::Retry => {}
            Purpose::Hedge if self.hedges.spend() => {}
            Purpose::Hedge => return self.refuse(now, ErrorKind::ServiceOverloaded),
        }
        if let Some(ticket) = wish.ticket {
            self.queue.remove(ticket);
        }
        self.queue.started(wish.customer);
        self.next_number += 1;
        let number = self.next_number;
        let target = &mut self.targets[id];
        let slot = target.take_slot(now);
        target.busy.push(Busy { number, since: now, loan: slot.loan, noted: false });
        let (address, silent) = (target.spec.address, target.silent);
        self.ready.refresh(&mut self.targets, id, now);
        if self.ready.is_empty() {
            self.borrow_ahead(now);
        }
        let release = Release { target: id, number, customer: wish.customer };
        Pick::Go(Permit::new(address, silent, slot.trial, release, self.release.clone()))
    }

    /// The refusal of a waiting request whose place another customer has taken.
    fn displaced(&mut self, now: Time, wish: &Wish<'_>) -> Option<Pick> {
        let ticket = wish.ticket?;
        if !self.queue.get_mut(ticket)?.displaced {
            return None;
        }
        self.queue.remove(ticket);
        Some(self.refuse(now, ErrorKind::CustomerOverShare))
    }

    fn wait_or_refuse(&mut self, now: Time, wish: &Wish<'_>) -> Pick {
        if !self.may_serve(wish.only) {
            return self.leave_and_refuse(now, wish, ErrorKind::NoTarget);
        }
        let until = now + QUEUE_POLL;
        if wish.purpose == Purpose::Hedge || until >= wish.deadline {
            return self.leave_and_refuse(now, wish, ErrorKind::ServiceOverloaded);
        }
        let ticket = match wish.ticket {
            Some(ticket) => self.wait_on(now, ticket),
            None => self.enter_queue(now, wish),
        };
        match ticket {
            Ok(ticket) => Pick::Wait { ticket, until },
            Err(kind) => self.leave_and_refuse(now, wish, kind),
        }
    }

    fn wait_on(&mut self, now: Time, ticket: Ticket) -> Result<Ticket, ErrorKind> {
        let Some(entry) = self.queue.get_mut(ticket) else {
            return Err(ErrorKind::ServiceOverloaded);
        };
        if now.since(entry.since) >= Queue::MAX_WAIT {
            return Err(ErrorKind::ServiceOverloaded);
        }
        self.queue.touch(now, ticket);
        Ok(ticket)
    }

    fn enter_queue(&mut self, now: Time, wish: &Wish<'_>) -> Result<Ticket, ErrorKind> {
        if self.queue.len() >= self.queue_limit() && !self.queue.make_room(wish.customer) {
            return Err(ErrorKind::ServiceOverloaded);
        }
        let ticket = self.queue.push(now, wish.customer, wish.only);
        match wish.only {
            Some(address) => self.borrow_only(now, address),
            None => self.borrow_for_queue(now),
        }
        Ok(ticket)
    }

    fn queue_limit(&self) -> usize {
        let slots = self.targets.len() * self.config.limits.slots as usize;
        let share = slots / self.gates.len().max(1);
        (QUEUE_PER_SLOT * share).max(MIN_QUEUE)
    }

    fn may_serve(&self, only: Option<SocketAddr>) -> bool {
        match only {
            Some(address) => {
                let id = self.by_address.get(&address);
                id.is_some_and(|id| self.targets[*id].spec.accepts)
            }
            None => !self.lenders.is_empty() || !self.homed.is_empty(),
        }
    }

    fn leave_and_refuse(&mut self, now: Time, wish: &Wish<'_>, kind: ErrorKind) -> Pick {
        if let Some(ticket) = wish.ticket {
            self.queue.remove(ticket);
        }
        self.refuse(now, kind)
    }

    fn refuse(&mut self, now: Time, kind: ErrorKind) -> Pick {
        Pick::Refuse { kind, retry_after: self.return_times.next(now, &mut self.rng) }
    }

    /// Takes the slots of dropped permits back.
    pub(crate) fn drain_releases(&mut self, now: Time) {
        let mut any = false;
        while let Ok(release) = self.releases.try_recv() {
            self.queue.ended(release.customer);
            self.end(now, release);
            any = true;
        }
        if any {
            self.serve_askers(now);
        }
    }

    fn end(&mut self, now: Time, release: Release) {
        let Some(target) = self.targets.get_mut(release.target) else {
            return;
        };
        let Some(place) = target.busy.iter().position(|busy| busy.number == release.number) else {
            return;
        };
        let busy = target.busy.swap_remove(place);
        if let Some(loan) = busy.loan {
            self.loan_idle(now, release.target, loan);
        }
        self.ready.refresh(&mut self.targets, release.target, now);
    }

    fn flush(&mut self, out: &mut Vec<LoadOutput>) {
        for (to, loans) in std::mem::take(&mut self.returns) {
            out.push(LoadOutput { to, message: LoadMessage::Return { loans } });
        }
        out.append(&mut self.outbox);
    }
}
