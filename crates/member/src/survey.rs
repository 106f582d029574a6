use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{
    ItemKey, ItemStatus, ItemVersion, KeyVersion, LaggingItem, LaggingProcess, NodeVersions, Role,
};

use crate::packet::{Outgoing, PacketKind};

/// Nodes asked at once, so that their answers do not overflow a socket's buffer.
const BATCH: usize = 32;
/// Time between two batches.
const BATCH_PAUSE: Duration = Duration::from_millis(10);
/// Time after which the silent nodes are asked once more.
const ASK_AGAIN: Duration = Duration::from_millis(400);
/// Time that the nodes have for their answers to the last batch.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time that the other answers of the last steward have.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// Asks every node once, for an operator, which configuration it has in force.
///
/// It costs nothing while no operator asks, and its answer is fresh.
#[derive(Debug)]
pub(crate) struct Survey {
    number: u32,
    items: u64,
    expected: Vec<KeyVersion>,
    nodes: BTreeMap<NodeId, SocketAddr>,
    gates: Vec<NodeId>,
    queue: VecDeque<NodeId>,
    answers: BTreeMap<(NodeId, Role), Answer>,
    next_batch: Time,
    asked_again: bool,
    pub(crate) finished: bool,
}

#[derive(Debug)]
enum Answer {
    AsExpected,
    Versions(BTreeMap<ItemKey, ItemVersion>),
}

impl Survey {
    pub(crate) fn new(
        now: Time,
        number: u32,
        items: u64,
        expected: Vec<KeyVersion>,
        nodes: BTreeMap<NodeId, SocketAddr>,
        gates: Vec<NodeId>,
    ) -> Survey {
        let queue = nodes.keys().copied().collect();
        let answers = BTreeMap::new();
        Survey {
            number,
            items,
            expected,
            nodes,
            gates,
            queue,
            answers,
            next_batch: now,
            asked_again: false,
            finished: false,
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Time> {
        (!self.finished).then_some(self.next_batch)
    }

    /// Asks the next nodes; returns whether the survey has just ended.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Outgoing>) -> bool {
        if self.finished || now < self.next_batch {
            return false;
        }
        if self.queue.is_empty() {
            if self.asked_again || self.silent().is_empty() {
                self.finished = true;
                return true;
            }
            self.asked_again = true;
            self.queue = self.silent().into();
        }
        for _ in 0..BATCH {
            let Some(node) = self.queue.pop_front() else {
                break;
            };
            let kind = PacketKind::SurveyAsk { survey: self.number, items: self.items };
            out.push(Outgoing { to: self.nodes[&node], kind });
        }
        self.next_batch = now + self.pause();
        false
    }

    /// Takes answers. Once every steward has answered, the survey ends a little later, as the
    /// answers for gates may come behind.
    pub(crate) fn on_answer(&mut self, now: Time, number: u32, nodes: Vec<NodeVersions>) {
        if number != self.number || self.finished {
            return;
        }
        for report in nodes {
            self.take(report);
        }
        if self.queue.is_empty() && self.silent().is_empty() {
            self.next_batch = self.next_batch.min(now + LAST_ANSWERS);
        }
    }

    /// The nodes that have not answered.
    pub(crate) fn silent(&self) -> Vec<NodeId> {
        let answered = |node: &NodeId| self.answers.contains_key(&(*node, Role::Steward));
        self.nodes.keys().filter(|node| !answered(node)).copied().collect()
    }

    /// The nodes whose gate no steward has told of.
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

    fn pause(&self) -> Duration {
        match (self.queue.is_empty(), self.asked_again) {
            (false, _) => BATCH_PAUSE,
            (true, false) => ASK_AGAIN,
            (true, true) => ANSWER_TIME,
        }
    }

    fn take(&mut self, report: NodeVersions) {
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
