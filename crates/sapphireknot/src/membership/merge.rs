//! Order of what is told of a host.

use super::{MemberRecord, MemberState};

/// Takes over from `told` what is newer than `known`; tells whether anything changed that others need to learn.
///
/// A higher incarnation replaces everything. Within one incarnation the later state in the order of [`MemberState`]
/// wins, and what the host tells of itself is ordered by its version.
pub(super) fn merge_record(known: &mut MemberRecord, told: &MemberRecord) -> bool {
    if told.incarnation != known.incarnation {
        let is_newer = told.incarnation > known.incarnation;
        if is_newer {
            *known = told.clone();
        }
        return is_newer;
    }
    let mut is_news = false;
    if told.version > known.version {
        is_news = told.generation != known.generation;
        let state = known.state;
        *known = MemberRecord { state, ..told.clone() };
    }
    if told.state > known.state {
        known.state = told.state;
        is_news = true;
    }
    is_news
}

/// Whether this host must answer what is `told` of it by raising its incarnation.
pub(super) fn needs_refutation(own: &MemberRecord, told: &MemberRecord) -> bool {
    if told.incarnation > own.incarnation {
        return true;
    }
    let is_accused =
        matches!(told.state, MemberState::Suspect | MemberState::Failed | MemberState::Left);
    told.incarnation == own.incarnation && is_accused && own.state != MemberState::Left
}
