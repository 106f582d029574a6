//! Members and terms as other parts want to see them.

use bay_member::{Member, MemberState};
use bay_own::{Holder, StewardState, StewardView, TermRecord};
use bay_types::{ServiceName, ZoneName};
use bay_wire::TermStatus;

/// The counter for a member that has come into this state.
pub(crate) fn member_counter(member: &Member) -> &'static str {
    match member.state {
        MemberState::Alive => "member.alive",
        MemberState::Suspect => "member.suspect",
        MemberState::Leaving => "member.leaving",
        MemberState::Dead => "member.dead",
    }
}

/// A term as operators see it.
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

/// A member as ownership sees it.
pub(crate) fn steward_view(member: &Member, candidate: bool) -> StewardView {
    let state = match member.state {
        MemberState::Alive | MemberState::Suspect => StewardState::Alive,
        MemberState::Leaving => StewardState::Leaving,
        MemberState::Dead => StewardState::Dead,
    };
    let holder = Holder { node: member.node, incarnation: member.incarnation };
    StewardView { holder, zone: member.zone, state, candidate }
}
