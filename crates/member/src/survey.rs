use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{
    ItemKey, ItemStatus, ItemVersion, KeyVersion, LaggingItem, LaggingProcess, NodeVersions, Role,
};

use crate::packet::{OutgoingPacket, PacketKind};

/// Nodes asked at once. It bounds the burst of answers, which could overflow a socket buffer.
const BATCH_SIZE: usize = 32;
/// Interval between batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after the last batch before silent nodes are asked once more.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout for answers to the last batch of repeated requests.
const FINAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time allowed for the gates' answers once every steward has answered.
const GATE_ANSWER_DELAY: Duration = Duration::from_millis(100);

/// A query to every node for the configuration in force, run on an operator's request.
///
/// It causes no traffic while no operator asks, and its result is up to date.
#[derive(Debug)]
pub(crate) struct Survey {
    number: u32,
    expected_hash: u64,
    /// The configuration that this node holds; others are compared with it.
    expected: Vec<KeyVersion>,
    nodes: BTreeMap<NodeId, SocketAddr>,
    /// Nodes whose gates are expected to be reported.
    gates: Vec<NodeId>,
    /// Nodes still to be asked in this round.
    queue: VecDeque<NodeId>,
    answers: BTreeMap<(NodeId, Role), Answer>,
    next_batch: Time,
    retried: bool,
    pub(crate) finished: bool,
}

#[derive(Debug)]
enum Answer {
    /// The reported hash equals that of the expected versions.
    AsExpected,
    /// The versions in force, merged from all datagrams of the answer.
    Versions(BTreeMap<ItemKey, ItemVersion>),
}

impl Survey {
    pub(crate) fn new(
        now: Time,
        number: u32,
        expected_hash: u64,
        expected: Vec<KeyVersion>,
        nodes: BTreeMap<NodeId, SocketAddr>,
        gates: Vec<NodeId>,
    ) -> Survey {
        let queue = nodes.keys().copied().collect();
        let answers = BTreeMap::new();
        Survey {
            number,
            expected_hash,
            expected,
            nodes,
            gates,
            queue,
            answers,
            next_batch: now,
            retried: false,
            finished: false,
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        (!self.finished).then_some(self.next_batch)
    }

    /// Sends the next batch of requests; returns whether the survey has just finished.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<OutgoingPacket>) -> bool {
        if self.finished || now < self.next_batch {
            return false;
        }
        if self.queue.is_empty() {
            if self.retried || self.silent_nodes().is_empty() {
                self.finished = true;
                return true;
            }
            self.retried = true;
            self.queue = self.silent_nodes().into();
        }
        for _ in 0..BATCH_SIZE {
            let Some(node) = self.queue.pop_front() else {
                break;
            };
            let kind = PacketKind::SurveyRequest {
                survey: self.number,
                versions_hash: self.expected_hash,
            };
            out.push(OutgoingPacket { to: self.nodes[&node], kind });
        }
        self.next_batch = now + self.next_delay();
        false
    }

    /// Records answers. Once every steward has answered, the survey ends after a short delay, since
    /// answers for gates may arrive later.
    pub(crate) fn handle_answer(&mut self, now: Time, number: u32, nodes: Vec<NodeVersions>) {
        if number != self.number || self.finished {
            return;
        }
        for report in nodes {
            self.record(report);
        }
        if self.queue.is_empty() && self.silent_nodes().is_empty() {
            self.next_batch = self.next_batch.min(now + GATE_ANSWER_DELAY);
        }
    }

    /// Returns the nodes whose steward has not answered.
    pub(crate) fn silent_nodes(&self) -> Vec<NodeId> {
        let answered = |node: &NodeId| self.answers.contains_key(&(*node, Role::Steward));
        self.nodes.keys().filter(|node| !answered(node)).copied().collect()
    }

    /// Returns the nodes whose gate no steward has reported.
    pub(crate) fn silent_gates(&self) -> Vec<NodeId> {
        let answered = |node: &NodeId| self.answers.contains_key(&(*node, Role::Gate));
        self.gates.iter().filter(|node| !answered(node)).copied().collect()
    }

    pub(crate) fn items(&self) -> Vec<ItemStatus> {
        let status = |expected: &KeyVersion| {
            let has = |answer: &&Answer| answer.version(expected) >= expected.version;
            ItemStatus {
                key: expected.key,
                version: expected.version,
                in_force: self.answers.values().filter(has).count() as u32,
                asked: self.answers.len() as u32,
            }
        };
        self.expected.iter().map(status).collect()
    }

    pub(crate) fn lagging(&self) -> Vec<LaggingProcess> {
        let mut lagging = Vec::new();
        for ((node, role), answer) in &self.answers {
            let lags = |expected: &&KeyVersion| answer.version(expected) < expected.version;
            let item = |expected: &KeyVersion| LaggingItem {
                key: expected.key,
                in_force: answer.version(expected),
                expected: expected.version,
            };
            let items: Vec<LaggingItem> = self.expected.iter().filter(lags).map(item).collect();
            if !items.is_empty() {
                lagging.push(LaggingProcess { node: *node, role: *role, items });
            }
        }
        lagging
    }

    fn next_delay(&self) -> Duration {
        match (self.queue.is_empty(), self.retried) {
            (false, _) => BATCH_INTERVAL,
            (true, false) => RETRY_DELAY,
            (true, true) => FINAL_TIMEOUT,
        }
    }

    fn record(&mut self, report: NodeVersions) {
        let key = (report.node, report.role);
        let Some(versions) = report.versions else {
            self.answers.insert(key, Answer::AsExpected);
            return;
        };
        let empty = || Answer::Versions(BTreeMap::new());
        if let Answer::Versions(known) = self.answers.entry(key).or_insert_with(empty) {
            known.extend(versions.into_iter().map(|have| (have.key, have.version)));
        }
    }
}

impl Answer {
    fn version(&self, expected: &KeyVersion) -> ItemVersion {
        match self {
            Answer::AsExpected => expected.version,
            Answer::Versions(versions) => versions.get(&expected.key).copied().unwrap_or_default(),
        }
    }
}
