use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{GateAddress, LoadMessage, Loan};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::budget::Budget;
use crate::home::Home;
use crate::latencies::Latencies;
use crate::lending::Asker;
use crate::permit::Release;
use crate::queue::Queue;
use crate::ready::Ready;
use crate::return_times::ReturnTimes;
use crate::target::Target;
use crate::{LoadOutput, PoolConfig, TargetId, Ticket};

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
    pub(crate) return_times: ReturnTimes,
    releases: Receiver<Release>,
    pub(crate) release: Sender<Release>,
    pub(crate) next_number: u64,
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
            LoadMessage::ReportCondition { target, condition } => {
                self.on_seen(now, from, target, condition)
            }
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
