//! What a node tells operators, and others that ask for them.

use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_wire::{ClusterStatus, KeyVersion, MemberStatus, NodeVersions, Role, encode};
use xxhash_rust::xxh3::xxh3_64;

use super::Peers;
use crate::packet::{Outgoing, PacketKind, split_list};
use crate::survey::Survey;
use crate::{Member, MemberState, PeersOutput};

/// Time for which a finished survey is not repeated.
const SURVEY_KEPT: Duration = Duration::from_secs(2);

impl Peers {
    /// Asks every node which configuration it has in force, unless that was done just now.
    ///
    /// [`PeersOutput::Surveyed`] follows within about two seconds.
    pub fn survey(&mut self, now: Time, out: &mut Vec<PeersOutput>) {
        let running = self.survey.as_ref().is_some_and(|survey| !survey.finished);
        if running {
            return;
        }
        if self.surveyed.is_some_and(|at| now.since(at) < SURVEY_KEPT) {
            out.push(PeersOutput::Surveyed);
            return;
        }
        let live = self.membership.members().filter(|member| member.state != MemberState::Dead);
        let live: Vec<Member> = live.collect();
        let nodes = live.iter().map(|member| (member.node, member.steward)).collect();
        let gates = live.iter().filter(|member| member.gate.is_some());
        let gates = gates.map(|member| member.node).collect();
        let expected = self.spread.configuration();
        self.surveys = self.surveys.wrapping_add(1);
        let items = versions_hash(&expected);
        self.survey = Some(Survey::new(now, self.surveys, items, expected, nodes, gates));
    }

    /// What the latest survey found; the terms are left to the caller.
    pub fn status(&self) -> ClusterStatus {
        let survey = self.survey.as_ref();
        ClusterStatus {
            node: self.membership.own().node,
            fresh: survey.is_some_and(|survey| survey.finished),
            items: survey.map(Survey::items).unwrap_or_default(),
            members: self.membership.members().map(member_status).collect(),
            lagging: survey.map(Survey::lagging).unwrap_or_default(),
            silent: survey.map(Survey::silent).unwrap_or_default(),
            silent_gates: survey.map(Survey::silent_gates).unwrap_or_default(),
            terms: Vec::new(),
        }
    }

    pub(super) fn answer_survey(
        &self,
        to: SocketAddr,
        survey: u32,
        items: u64,
        sends: &mut Vec<Outgoing>,
    ) {
        let own = NodeVersions {
            node: self.membership.own().node,
            role: Role::Steward,
            versions: Some(self.spread.configuration()),
        };
        for report in std::iter::once(own).chain(self.spread.links.in_force()) {
            for nodes in split_report(report, items) {
                let kind = PacketKind::SurveyAnswer { survey, nodes: vec![nodes] };
                sends.push(Outgoing { to, kind });
            }
        }
    }
}

/// Leaves the versions out if they are those asked about, else parts them into datagrams.
fn split_report(report: NodeVersions, asked: u64) -> Vec<NodeVersions> {
    let NodeVersions { node, role, versions } = report;
    let versions = versions.unwrap_or_default();
    if versions_hash(&versions) == asked {
        return vec![NodeVersions { node, role, versions: None }];
    }
    if versions.is_empty() {
        return vec![NodeVersions { node, role, versions: Some(versions) }];
    }
    let part = |versions| NodeVersions { node, role, versions: Some(versions) };
    split_list(versions).into_iter().map(part).collect()
}

fn versions_hash(versions: &[KeyVersion]) -> u64 {
    // Versions are far shorter than a frame, so that they always encode.
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
