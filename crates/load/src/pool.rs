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

use crate::home::Home;
use crate::latencies::Latencies;
use crate::lending::WaitingGate;
use crate::permit::Release;
use crate::queue::Queue;
use crate::ready_list::ReadyList;
use crate::retry_pacer::RetryPacer;
use crate::target::Target;
use crate::token_bucket::TokenBucket;
use crate::{LoadOutput, PoolConfig, TargetId, Ticket};

/// One gate's share of the targets of one service.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: PoolConfig,
    pub(crate) targets: SlotMap<TargetId, Target>,
    pub(crate) by_address: HashMap<SocketAddr, TargetId>,
    pub(crate) ready_list: ReadyList,
    pub(crate) gates: Vec<GateAddress>,
    pub(crate) homes: HashMap<NodeId, Home>,
    /// Other gates that are home to at least one target in service, sorted.
    pub(crate) lending_gates: Vec<NodeId>,
    /// Other gates from which this gate has requested slots that are not yet lent.
    pub(crate) pending_homes: Vec<NodeId>,
    /// Whether a target in this gate's zone is in service.
    pub(crate) has_same_zone_target: bool,
    /// Targets in service that this gate is home to.
    pub(crate) own_targets: Vec<TargetId>,
    /// Other gates whose requests for slots are not yet fulfilled, sorted by rank.
    pub(crate) waiting_gates: VecDeque<WaitingGate>,
    pub(crate) queue: Queue,
    pub(crate) latencies: Latencies,
    /// Loans to return to their homes with the next flush.
    pub(crate) pending_returns: BTreeMap<NodeId, Vec<Loan>>,
    pub(crate) outbox: Vec<LoadOutput>,
    pub(crate) next_sweep: Option<Time>,
    pub(crate) last_loan_id: u32,
    pub(crate) rng: SmallRng,
    pub(crate) retry_bucket: TokenBucket,
    pub(crate) hedge_bucket: TokenBucket,
    pub(crate) retry_pacer: RetryPacer,
    release_receiver: Receiver<Release>,
    pub(crate) release_sender: Sender<Release>,
    pub(crate) last_request_number: u64,
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(config: PoolConfig, now: Time) -> Pool {
        let (release_sender, release_receiver) = channel();
        let mut rng = SmallRng::seed_from_u64(config.seed);
        Pool {
            retry_bucket: TokenBucket::new(config.retry_budget),
            hedge_bucket: TokenBucket::new(config.hedge_budget),
            retry_pacer: RetryPacer::new(now),
            last_loan_id: rng.random(),
            rng,
            config,
            targets: SlotMap::with_key(),
            by_address: HashMap::new(),
            ready_list: ReadyList::default(),
            gates: Vec::new(),
            homes: HashMap::new(),
            lending_gates: Vec::new(),
            pending_homes: Vec::new(),
            has_same_zone_target: false,
            own_targets: Vec::new(),
            waiting_gates: VecDeque::new(),
            queue: Queue::default(),
            latencies: Latencies::new(),
            pending_returns: BTreeMap::new(),
            outbox: Vec::new(),
            next_sweep: None,
            release_receiver,
            release_sender,
            last_request_number: 0,
        }
    }

    /// Returns the time after which a slow attempt is hedged; `None` if hedging is off or too few
    /// latencies have been recorded.
    pub fn hedge_delay(&self) -> Option<Duration> {
        if self.config.hedge_budget <= 0.0 {
            return None;
        }
        self.latencies.hedge_delay()
    }

    /// Spends one retry from the retry budget; returns whether the budget allowed it.
    pub fn try_spend_retry(&mut self, _now: Time) -> bool {
        self.retry_bucket.try_spend()
    }

    /// Returns the next queued request that may call [`Pool::pick`] again before its poll time.
    pub fn pop_ready(&mut self, now: Time) -> Option<Ticket> {
        self.drain_releases(now);
        if self.queue.is_empty() {
            return None;
        }
        let any = !self.ready_list.is_empty();
        let ticket = self.queue.next_to_serve(|entry| match entry.only {
            Some(address) => self.has_free_slot(now, address),
            None => any,
        })?;
        self.queue.get_mut(ticket)?.called = true;
        Some(ticket)
    }

    /// Removes a request from the queue.
    pub fn leave_queue(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Returns how many connections, including idle ones, this gate may keep to a target now. The
    /// sum over all gates stays within the target's limit.
    pub fn connection_cap(&self, id: TargetId) -> u32 {
        let limits = self.config.limits;
        let gates = self.gates.len().max(1) as u32;
        let share = limits.connections.saturating_sub(limits.slots) / gates;
        let Some(target) = self.targets.get(id) else {
            return 0;
        };
        share + target.in_flight.len() as u32
    }

    /// Handles a message from another gate's pool of the same service.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: NodeId,
        message: LoadMessage,
        out: &mut Vec<LoadOutput>,
    ) {
        self.drain_releases(now);
        match message {
            LoadMessage::Borrow { asked, want, only, ahead } => {
                let waiter = WaitingGate::new(now, from, asked, u32::from(want), only);
                self.handle_borrow(now, waiter, ahead);
            }
            LoadMessage::Lend { asked, loans, spare } => {
                self.handle_lend(now, from, asked, &loans, spare);
            }
            LoadMessage::Renew { asked, settled, loans } => {
                self.handle_renew(now, from, asked, settled, &loans);
            }
            LoadMessage::Renewed { asked, renewed, refused, spare } => {
                self.handle_renewal_reply(now, from, asked, &renewed, &refused, spare);
            }
            LoadMessage::Return { loans } => self.handle_return(now, from, &loans),
            LoadMessage::Recall { target } => self.handle_recall(now, target),
            LoadMessage::ReportCondition { target, condition } => {
                self.handle_condition(now, from, target, condition)
            }
        }
        self.schedule_sweep(now);
        self.flush(out);
    }

    /// Runs the sweep if it is due and collects the messages to send. Call it after every other
    /// method as well, since picks and observations also queue messages.
    pub fn tick(&mut self, now: Time, out: &mut Vec<LoadOutput>) {
        self.drain_releases(now);
        if self.next_sweep.is_some_and(|at| at <= now) {
            self.sweep(now);
        }
        self.flush(out);
    }

    /// Returns when to call [`Pool::tick`] next; [`Time::ZERO`] while messages are queued.
    pub fn next_deadline(&mut self) -> Option<Time> {
        if self.outbox.is_empty() && self.pending_returns.is_empty() {
            return self.next_sweep;
        }
        Some(Time::ZERO)
    }

    /// Frees the slots of dropped permits and lends them to waiting gates.
    pub(crate) fn drain_releases(&mut self, now: Time) {
        let mut any = false;
        while let Ok(release) = self.release_receiver.try_recv() {
            self.queue.record_ended(release.customer);
            self.end_request(now, release);
            any = true;
        }
        if any {
            self.serve_waiting_gates(now);
        }
    }

    fn end_request(&mut self, now: Time, release: Release) {
        let Some(target) = self.targets.get_mut(release.target) else {
            return;
        };
        let Some(index) =
            target.in_flight.iter().position(|request| request.number == release.number)
        else {
            return;
        };
        let request = target.in_flight.swap_remove(index);
        if let Some(loan) = request.loan {
            self.mark_loan_idle(now, release.target, loan);
        }
        self.ready_list.refresh(&mut self.targets, release.target, now);
    }

    fn flush(&mut self, out: &mut Vec<LoadOutput>) {
        for (to, loans) in std::mem::take(&mut self.pending_returns) {
            out.push(LoadOutput { to, message: LoadMessage::Return { loans } });
        }
        out.append(&mut self.outbox);
    }
}
