//! Conversions of members and terms for the owner, the counters and the status.

use bay_member::{Member, MemberState};
use bay_own::{Holder, StewardState, StewardView, TermRecord};
use bay_types::{ServiceName, ZoneName};
use bay_wire::TermStatus;

/// Returns the counter of transitions into the member's state.
pub(crate) fn member_counter(member: &Member) -> &'static str {
    match member.state {
        MemberState::Alive => "member.alive",
        MemberState::Suspect => "member.suspect",
        MemberState::Leaving => "member.leaving",
        MemberState::Dead => "member.dead",
    }
}

/// Converts a term to its entry in the status.
pub(crate) fn term_status(
    (service, zone, record): (ServiceName, ZoneName, &TermRecord),
) -> TermStatus {
    TermStatus {
        service,
        zone,
        term: record.number,
        keeper: record.keeper.node,
        deputy: record.deputy.map(|deputy| deputy.node),
    }
}

/// Converts a member for the owner; a suspect member counts as alive.
pub(crate) fn steward_view(member: &Member, candidate: bool) -> StewardView {
    let state = match member.state {
        MemberState::Alive | MemberState::Suspect => StewardState::Alive,
        MemberState::Leaving => StewardState::Leaving,
        MemberState::Dead => StewardState::Dead,
    };
    let holder = Holder { node: member.node, incarnation: member.incarnation };
    StewardView { holder, zone: member.zone, state, candidate }
}
