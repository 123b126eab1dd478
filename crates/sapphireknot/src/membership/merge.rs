//! Precedence of updates about a host.

use super::{MemberRecord, MemberState};

/// Merges into `known` what is newer in `update`; returns whether anything changed that has to be disseminated.
///
/// A higher incarnation replaces everything. Within one incarnation the later state in the order of [`MemberState`]
/// wins, and the host's reports about itself are ordered by their version.
pub(super) fn merge_record(known: &mut MemberRecord, update: &MemberRecord) -> bool {
    if update.incarnation != known.incarnation {
        let is_newer = update.incarnation > known.incarnation;
        if is_newer {
            *known = update.clone();
        }
        return is_newer;
    }
    let mut must_disseminate = false;
    if update.version > known.version {
        must_disseminate = update.generation != known.generation;
        let state = known.state;
        *known = MemberRecord { state, ..update.clone() };
    }
    if update.state > known.state {
        known.state = update.state;
        must_disseminate = true;
    }
    must_disseminate
}

/// Whether this host must refute an update about itself by raising its incarnation.
pub(super) fn needs_refutation(own: &MemberRecord, update: &MemberRecord) -> bool {
    if update.incarnation > own.incarnation {
        return true;
    }
    let is_accused =
        matches!(update.state, MemberState::Suspect | MemberState::Failed | MemberState::Left);
    update.incarnation == own.incarnation && is_accused && own.state != MemberState::Left
}
