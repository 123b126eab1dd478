//! Recent changes of the store that a host keeps for the hosts that follow it.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use sapphireknot::steering::feed_copy::{
    CopyChanges, CopyOffer, CopyRevision, FeedCopy, OfferedEntry, RawEntry,
};

use crate::support::at;

fn entry(key: usize, revision: u64, is_removed: bool) -> RawEntry {
    let value = (!is_removed).then(|| revision.to_string().into_bytes().into());
    RawEntry { key: format!("k{key}"), revision: CopyRevision(revision), value }
}

/// A copy of a host that follows the store from `revision` on.
fn following(revision: u64) -> FeedCopy {
    let mut copy = FeedCopy::default();
    copy.replace(Vec::new(), CopyRevision(revision));
    copy.confirm(at(0));
    copy
}

/// Applies a random sequence of changes, reads and responses, and compares the follower with the store at its revision.
fn check_follower(u: &mut Unstructured<'_>) -> Result<()> {
    let (mut store, mut collector, mut follower) = (following(0), following(0), following(0));
    let (mut revision, mut log) = (0, Vec::new());
    let mut response: Option<CopyChanges> = None;
    for _ in 0..60 {
        match u.int_in_range(0..=3)? {
            0 => {
                revision += 1;
                let change = entry(u.int_in_range(0..=5)?, revision, u.ratio(1, 3)?);
                store.apply_changes(vec![change.clone()], CopyRevision(revision));
                log.push(change);
            }
            1 => {
                let known = collector.known();
                let changes = log.iter().filter(|it| it.revision > known).cloned().collect();
                collector.apply_changes(changes, CopyRevision(revision));
            }
            // The response may be applied late, or never.
            2 => response = collector.changes_since(follower.known()),
            _ => {
                if let Some(changes) = response.as_ref().and_then(|it| it.since(follower.known())) {
                    follower.apply_changes(changes.entries, changes.revision);
                }
            }
        }
    }
    let known = follower.known();
    let mut expected = following(0);
    expected.apply_changes(log.into_iter().filter(|it| it.revision <= known).collect(), known);
    let none = CopyRevision::default();
    assert_eq!(follower.offer(none), expected.offer(none));
    Ok(())
}

/// A follower must not miss changes, apply one again after a later one, or get changes that are newer than its
/// revision.
#[test]
fn random_responses() {
    for seed in 0..200_u64 {
        arbtest(check_follower).seed(seed << 32 | 2_048).run();
    }
}

/// Changes must not be returned as complete if earlier ones were dropped.
#[test]
fn pruned_changes() {
    let mut copy = following(10);
    assert!(copy.changes_since(CopyRevision(9)).is_none());
    for revision in 11..3_000 {
        copy.apply_changes(vec![entry(0, revision, false)], CopyRevision(revision));
    }
    assert!(copy.changes_since(CopyRevision(10)).is_none());
    let changes = copy.changes_since(CopyRevision(2_990)).unwrap();
    assert_eq!((changes.entries.len(), changes.revision), (9, CopyRevision(2_999)));
}

/// A host must not return changes while it has lost the store, or changes that it got from another host.
#[test]
fn without_store() {
    let mut copy = following(10);
    assert!(copy.changes_since(CopyRevision(10)).is_some());
    copy.mark_store_lost();
    assert!(copy.changes_since(CopyRevision(10)).is_none());
    let entries = vec![OfferedEntry {
        key: "k1".to_owned(),
        revision: CopyRevision(12),
        value: Some(Vec::new().into()),
    }];
    let offer = CopyOffer { revision: CopyRevision(12), confirmed_at: at(0), entries };
    assert!(copy.adopt(offer).is_some());
    assert!(copy.changes_since(CopyRevision(12)).is_none());
    copy.confirm(at(1));
    assert!(
        copy.changes_since(CopyRevision(11)).is_none(),
        "changes before the first confirmation are unknown"
    );
    assert!(copy.changes_since(CopyRevision(12)).is_some());
}
