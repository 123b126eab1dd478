//! Changes of the store that a host keeps for those that follow it.

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

/// A copy that follows the store from `revision`.
fn following(revision: u64) -> FeedCopy {
    let mut copy = FeedCopy::default();
    copy.replace(Vec::new(), CopyRevision(revision));
    copy.confirm(at(0));
    copy
}

fn check_follower(u: &mut Unstructured<'_>) -> Result<()> {
    let (mut store, mut collector, mut follower) = (following(0), following(0), following(0));
    let (mut revision, mut log) = (0, Vec::new());
    let mut told: Option<CopyChanges> = None;
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
                let news = log.iter().filter(|it| it.revision > known).cloned().collect();
                collector.apply_changes(news, CopyRevision(revision));
            }
            // The answer may be used late, or never.
            2 => told = collector.changes_since(follower.known()),
            _ => {
                if let Some(news) = told.as_ref().and_then(|it| it.since(follower.known())) {
                    follower.apply_changes(news.entries, news.revision);
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

/// Guards against changes that a follower misses, gets twice in effect, or gets from the future.
#[test]
fn random_answers() {
    for seed in 0..200_u64 {
        arbtest(check_follower).seed(seed << 32 | 2_048).run();
    }
}

/// Guards against changes that are told as complete although earlier ones are no longer kept.
#[test]
fn long_absence() {
    let mut copy = following(10);
    assert!(copy.changes_since(CopyRevision(9)).is_none());
    for revision in 11..3_000 {
        copy.apply_changes(vec![entry(0, revision, false)], CopyRevision(revision));
    }
    assert!(copy.changes_since(CopyRevision(10)).is_none());
    let changes = copy.changes_since(CopyRevision(2_990)).unwrap();
    assert_eq!((changes.entries.len(), changes.revision), (9, CopyRevision(2_999)));
}

/// Guards against changes of a host that lost the store, or that has them from another host.
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
    assert!(copy.changes_since(CopyRevision(11)).is_none(), "what changed before is not known");
    assert!(copy.changes_since(CopyRevision(12)).is_some());
}
