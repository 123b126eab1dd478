//! Copies of what the store holds, and which of several is taken.

use std::time::Duration;

use sapphireknot::steering::{
    copy_search::{CopyAnswer, CopySearch, SearchStep},
    feed_copy::{
        CopyOffer, CopyRevision, CopySource, CopyUpdate, FeedCopy, OfferedEntry, RawEntry,
    },
};

use crate::support::at;

/// Age from which copies in these tests are those of hosts that lost the store.
const STALE: Duration = Duration::from_secs(21);

fn entry(key: &str, revision: u64, value: Option<&str>) -> RawEntry {
    RawEntry {
        key: key.to_owned(),
        revision: CopyRevision(revision),
        value: value.map(|it| it.as_bytes().into()),
    }
}

/// Copy of a host that follows the store since `at(0)`.
fn stored(entries: Vec<RawEntry>, revision: u64) -> FeedCopy {
    let mut copy = FeedCopy::default();
    copy.replace(entries, CopyRevision(revision));
    copy.confirm(at(0));
    copy
}

fn offer_of(copy: &FeedCopy, known: CopyRevision) -> CopyOffer {
    copy.offer(known).expect("the copy is complete")
}

fn answer(port: u16, revision: u64, confirmed_ms: u64) -> CopyAnswer {
    let offer = CopyOffer {
        revision: CopyRevision(revision),
        confirmed_at: at(confirmed_ms),
        entries: Vec::new(),
    };
    CopyAnswer { peer: ([127, 0, 0, 1], port).into(), offer }
}

/// Guards against a host that hands on a read from which the latest changes are missing.
#[test]
fn incomplete_copy() {
    let mut copy = FeedCopy::default();
    assert_eq!(copy.offer(CopyRevision(0)), None);
    copy.replace(vec![entry("a", 4, Some("1"))], CopyRevision(5));
    assert_eq!(copy.offer(CopyRevision(0)), None);
    copy.apply_changes(vec![entry("a", 6, None), entry("b", 7, Some("2"))], CopyRevision(7));
    copy.confirm(at(0));
    let offer = offer_of(&copy, CopyRevision(0));
    assert_eq!(offer.revision, CopyRevision(7));
    assert_eq!(offer.entries.iter().map(|it| &*it.key).collect::<Vec<_>>(), ["b"]);
}

/// Guards against an entry of a read that was late and is put back by an older change which the store tells again.
#[test]
fn repeated_change() {
    let mut copy = FeedCopy::default();
    copy.replace(vec![entry("a", 9, Some("new"))], CopyRevision(5));
    copy.apply_changes(vec![entry("a", 6, Some("old")), entry("a", 7, None)], CopyRevision(9));
    copy.confirm(at(0));
    assert_eq!(offer_of(&copy, CopyRevision(0)).entries[0].value.as_deref(), Some(&b"new"[..]));
}

/// Guards against a host that goes back to an older state than the one that it works with.
#[test]
fn older_offer() {
    let new = stored(vec![entry("a", 8, Some("new"))], 9);
    let old = stored(vec![entry("a", 3, Some("old"))], 5);
    let mut copy = FeedCopy::default();
    assert!(copy.adopt(offer_of(&new, copy.known())).is_some());
    assert_eq!(copy.adopt(offer_of(&old, CopyRevision(0))), None);
    assert_eq!(copy.known(), CopyRevision(9));
    // A lagging read of the store, too.
    assert!(copy.is_after(CopyRevision(8)));
    assert!(!copy.is_after(CopyRevision(9)));
}

/// Guards against an offer that arrives late and replaces what the store has told meanwhile.
#[test]
fn late_offer() {
    let peer = stored(vec![entry("a", 8, Some("peer"))], 9);
    let mut copy = stored(vec![entry("a", 3, Some("store"))], 5);
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None);
    assert_eq!(copy.source(), CopySource::Store);
}

/// Guards against a host that keeps an old state after it has lost the store although another one knows more, and against
/// one that listens to others again after the store's return.
#[test]
fn lost_store() {
    let mut peer = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    let mut copy = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    copy.mark_store_lost();
    assert!(!copy.follows_store());
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None, "nothing is new");
    assert_eq!(copy.source(), CopySource::Store);
    peer.apply_changes(vec![entry("a", 6, None), entry("c", 7, Some("3"))], CopyRevision(7));
    peer.confirm(at(1_000));
    let news = copy.adopt(offer_of(&peer, copy.known())).expect("news");
    let changes = vec![entry("c", 7, Some("3")), entry("a", 7, None)];
    assert_eq!(news, CopyUpdate { is_complete: false, entries: changes });
    assert_eq!(copy.source(), CopySource::Peer);
    copy.confirm(at(2_000));
    peer.apply_changes(vec![entry("b", 9, None)], CopyRevision(9));
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None);
}

/// Guards against changes, removals above all, that a host misses when it asks again, and against values that are sent
/// again although the host has them.
#[test]
fn later_changes() {
    let mut peer = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    let mut copy = FeedCopy::default();
    let news = copy.adopt(offer_of(&peer, copy.known())).expect("news");
    let all = vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))];
    assert_eq!(news, CopyUpdate { is_complete: true, entries: all });
    assert_eq!(copy.source(), CopySource::Peer);
    peer.apply_changes(vec![entry("b", 6, None), entry("c", 7, Some("3"))], CopyRevision(7));
    peer.confirm(at(2_000));
    let offer = offer_of(&peer, copy.known());
    let kept = OfferedEntry { key: "a".to_owned(), revision: CopyRevision(2), value: None };
    assert_eq!(offer.entries[0], kept);
    let news = copy.adopt(offer).expect("news");
    let changes = vec![entry("c", 7, Some("3")), entry("b", 7, None)];
    assert_eq!(news, CopyUpdate { is_complete: false, entries: changes });
    assert_eq!(copy.age(at(2_500)), Some(Duration::from_millis(500)));
}

/// Guards against a copy with holes: an offer that leaves out what the host has, though the host does not have it.
#[test]
fn missing_value() {
    let peer = stored(vec![entry("a", 2, Some("1")), entry("b", 6, Some("2"))], 7);
    let mut copy = FeedCopy::default();
    assert_eq!(copy.adopt(offer_of(&peer, CopyRevision(5))), None);
    assert!(copy.adopt(offer_of(&peer, copy.known())).is_some());
}

/// Guards against an age that starts anew when a copy is handed on a second time.
#[test]
fn age_kept() {
    let first = stored(vec![entry("a", 2, Some("1"))], 5);
    let mut second = FeedCopy::default();
    second.adopt(offer_of(&first, second.known()));
    let mut third = FeedCopy::default();
    third.adopt(offer_of(&second, third.known()));
    assert_eq!(third.age(at(40_000)), Some(Duration::from_secs(40)));
    // The same state, told by a host that heard the store later.
    let mut fresh = stored(vec![entry("a", 2, Some("1"))], 5);
    fresh.confirm(at(30_000));
    assert_eq!(third.adopt(offer_of(&fresh, third.known())), None);
    assert_eq!(third.age(at(40_000)), Some(Duration::from_secs(10)));
}

/// Guards against a host that takes the first copy instead of the newest one.
#[test]
fn newest_copy() {
    let mut search = CopySearch::default();
    let answers =
        vec![answer(1, 5, 900), answer(2, 7, 100), answer(3, 7, 500), answer(4, 6, 1_000)];
    let step = search.next_step(answers, STALE, at(1_000), |_| true);
    assert_eq!(step, SearchStep::Take(answer(3, 7, 500)));
    assert_eq!(search.next_step(Vec::new(), STALE, at(1_000), |_| true), SearchStep::NoCopy);
}

/// Guards against a host that takes a copy of a host which lost the store long ago although that copy names others, and
/// against one that never serves as no host knows more.
#[test]
fn stale_copy() {
    for later in [None, Some(answer(2, 9, 59_000))] {
        let mut search = CopySearch::default();
        let old = answer(1, 5, 10_000);
        let step = search.next_step(vec![old.clone()], STALE, at(60_000), |_| true);
        assert_eq!(step, SearchStep::AskMore);
        assert_eq!(search.candidate(), Some(&old));
        let step = search.next_step(later.iter().cloned().collect(), STALE, at(61_000), |_| true);
        assert_eq!(step, SearchStep::Take(later.unwrap_or(old)));
        assert_eq!(search.candidate(), None);
    }
    let step = CopySearch::default().next_step(vec![answer(1, 5, 0)], STALE, at(60_000), |_| false);
    assert_eq!(step, SearchStep::Take(answer(1, 5, 0)));
}
