//! Cluster status for operators, and replies to other nodes' surveys.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{ClusterStatus, KeyVersion, MemberStatus, NodeVersions, Role, encode};
use xxhash_rust::xxh3::xxh3_64;

use super::Peers;
use crate::packet::{OutgoingPacket, PacketKind, split_list};
use crate::survey::Survey;
use crate::{Member, MemberState, PeersOutput};

/// Time for which the result of a survey is reused.
const SURVEY_MAX_AGE: Duration = Duration::from_secs(2);

impl Peers {
    /// Starts a survey of the configuration in force on every node. A survey that is running or has
    /// just finished is reused.
    ///
    /// [`PeersOutput::SurveyFinished`] follows within about two seconds.
    pub fn start_survey(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        let running = self.survey.as_ref().is_some_and(|survey| !survey.finished);
        if running {
            return;
        }
        if self.last_survey.is_some_and(|at| now.since(at) < SURVEY_MAX_AGE) {
            out.push(PeersOutput::SurveyFinished);
            return;
        }
        let live = self.membership.members().filter(|member| member.state != MemberState::Dead);
        let live: Vec<Member> = live.collect();
        let nodes = live.iter().map(|member| (member.node, member.steward)).collect();
        let gates = live.iter().filter(|member| member.gate.is_some());
        let gates = gates.map(|member| member.node).collect();
        let expected = self.items.configuration();
        self.survey_count = self.survey_count.wrapping_add(1);
        let expected_hash = versions_hash(&expected);
        self.survey =
            Some(Survey::new(now, self.survey_count, expected_hash, expected, nodes, gates));
    }

    /// Returns the result of the latest survey. The caller fills in `terms`.
    pub fn cluster_status(&self) -> ClusterStatus {
        let survey = self.survey.as_ref();
        ClusterStatus {
            node: self.membership.own_record().node,
            fresh: survey.is_some_and(|survey| survey.finished),
            items: survey.map(Survey::items).unwrap_or_default(),
            members: self.membership.members().map(member_status).collect(),
            lagging: survey.map(Survey::lagging).unwrap_or_default(),
            silent: survey.map(Survey::silent_nodes).unwrap_or_default(),
            silent_gates: survey.map(Survey::silent_gates).unwrap_or_default(),
            terms: Vec::new(),
        }
    }

    pub(super) fn answer_survey(
        &self,
        to: SocketAddr,
        survey: u32,
        expected_hash: u64,
        sends: &mut Vec<OutgoingPacket>,
    ) {
        let own = NodeVersions {
            node: self.membership.own_record().node,
            role: Role::Steward,
            versions: Some(self.items.configuration()),
        };
        for report in std::iter::once(own).chain(self.items.links.in_force()) {
            for nodes in split_report(report, expected_hash) {
                let kind = PacketKind::SurveyAnswer { survey, nodes: vec![nodes] };
                sends.push(OutgoingPacket { to, kind });
            }
        }
    }
}

/// Omits the versions if their hash is `expected_hash`; otherwise splits them into datagrams.
fn split_report(report: NodeVersions, expected_hash: u64) -> Vec<NodeVersions> {
    let NodeVersions { node, role, versions } = report;
    let versions = versions.unwrap_or_default();
    if versions_hash(&versions) == expected_hash {
        return vec![NodeVersions { node, role, versions: None }];
    }
    if versions.is_empty() {
        return vec![NodeVersions { node, role, versions: Some(versions) }];
    }
    let part = |versions| NodeVersions { node, role, versions: Some(versions) };
    split_list(versions).into_iter().map(part).collect()
}

fn versions_hash(versions: &[KeyVersion]) -> u64 {
    // Versions are far shorter than a frame, so encoding them cannot fail.
    xxh3_64(&encode(&versions).unwrap_or_default())
}

fn member_status(member: Member) -> MemberStatus {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    };
    MemberStatus {
        node: member.node,
        zone: member.zone,
        steward: member.steward,
        gate: member.gate,
        incarnation: member.incarnation,
        state: state.to_owned(),
    }
}
