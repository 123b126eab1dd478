//! Copies of the store's contents, and the selection among copies of several hosts.

use std::time::Duration;

use sapphireknot::steering::{
    copy_search::{CopyAnswer, CopySearch, SearchStep},
    feed_copy::{
        CopyOffer, CopyRevision, CopySource, CopyUpdate, FeedCopy, OfferedEntry, RawEntry,
    },
};

use crate::support::at;

/// Age from which the host that offers a copy counts as one that lost the store.
const STALE: Duration = Duration::from_secs(21);

fn entry(key: &str, revision: u64, value: Option<&str>) -> RawEntry {
    RawEntry {
        key: key.to_owned(),
        revision: CopyRevision(revision),
        value: value.map(|it| it.as_bytes().into()),
    }
}

/// Copy of a host whose store last responded at `at(0)`.
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

/// A host must not offer a copy before it has applied the changes that followed its complete read.
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

/// A change that the store sends again must not replace a newer value from a complete read.
#[test]
fn repeated_change() {
    let mut copy = FeedCopy::default();
    copy.replace(vec![entry("a", 9, Some("new"))], CopyRevision(5));
    copy.apply_changes(vec![entry("a", 6, Some("old")), entry("a", 7, None)], CopyRevision(9));
    copy.confirm(at(0));
    assert_eq!(offer_of(&copy, CopyRevision(0)).entries[0].value.as_deref(), Some(&b"new"[..]));
}

/// A host must not return to a state older than its own.
#[test]
fn older_offer() {
    let new = stored(vec![entry("a", 8, Some("new"))], 9);
    let old = stored(vec![entry("a", 3, Some("old"))], 5);
    let mut copy = FeedCopy::default();
    assert!(copy.adopt(offer_of(&new, copy.known())).is_some());
    assert_eq!(copy.adopt(offer_of(&old, CopyRevision(0))), None);
    assert_eq!(copy.known(), CopyRevision(9));
    // The same holds for a read of the store that lags behind.
    assert!(copy.is_after(CopyRevision(8)));
    assert!(!copy.is_after(CopyRevision(9)));
}

/// An offer that arrives late must not replace what the store has sent in the meantime, even if its revision is higher.
#[test]
fn late_offer() {
    let peer = stored(vec![entry("a", 8, Some("peer"))], 9);
    let mut copy = stored(vec![entry("a", 3, Some("store"))], 5);
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None);
    assert_eq!(copy.source(), CopySource::Store);
}

/// A host that lost the store must take newer copies of other hosts, and must ignore them once the store is back.
#[test]
fn lost_store() {
    let mut peer = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    let mut copy = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    copy.mark_store_lost();
    assert!(!copy.follows_store());
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None, "an offer without newer changes");
    assert_eq!(copy.source(), CopySource::Store);
    peer.apply_changes(vec![entry("a", 6, None), entry("c", 7, Some("3"))], CopyRevision(7));
    peer.confirm(at(1_000));
    let update = copy.adopt(offer_of(&peer, copy.known())).expect("update");
    let changes = vec![entry("c", 7, Some("3")), entry("a", 7, None)];
    assert_eq!(update, CopyUpdate { is_complete: false, entries: changes });
    assert_eq!(copy.source(), CopySource::Peer);
    copy.confirm(at(2_000));
    peer.apply_changes(vec![entry("b", 9, None)], CopyRevision(9));
    assert_eq!(copy.adopt(offer_of(&peer, copy.known())), None);
}

/// A host that asks again must get all changes since its last request, removals included, but no values that it already
/// has.
#[test]
fn later_changes() {
    let mut peer = stored(vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))], 5);
    let mut copy = FeedCopy::default();
    let update = copy.adopt(offer_of(&peer, copy.known())).expect("update");
    let all = vec![entry("a", 2, Some("1")), entry("b", 3, Some("2"))];
    assert_eq!(update, CopyUpdate { is_complete: true, entries: all });
    assert_eq!(copy.source(), CopySource::Peer);
    peer.apply_changes(vec![entry("b", 6, None), entry("c", 7, Some("3"))], CopyRevision(7));
    peer.confirm(at(2_000));
    let offer = offer_of(&peer, copy.known());
    let kept = OfferedEntry { key: "a".to_owned(), revision: CopyRevision(2), value: None };
    assert_eq!(offer.entries[0], kept);
    let update = copy.adopt(offer).expect("update");
    let changes = vec![entry("c", 7, Some("3")), entry("b", 7, None)];
    assert_eq!(update, CopyUpdate { is_complete: false, entries: changes });
    assert_eq!(copy.age(at(2_500)), Some(Duration::from_millis(500)));
}

/// An offer omits the values that its receiver is known to have. A host that lacks one of them must reject the offer,
/// or its copy would be incomplete.
#[test]
fn missing_value() {
    let peer = stored(vec![entry("a", 2, Some("1")), entry("b", 6, Some("2"))], 7);
    let mut copy = FeedCopy::default();
    assert_eq!(copy.adopt(offer_of(&peer, CopyRevision(5))), None);
    assert!(copy.adopt(offer_of(&peer, copy.known())).is_some());
}

/// The age of a copy must be counted from the store's last response, also when the copy is forwarded a second time.
#[test]
fn age_of_forwarded_copy() {
    let first = stored(vec![entry("a", 2, Some("1"))], 5);
    let mut second = FeedCopy::default();
    second.adopt(offer_of(&first, second.known()));
    let mut third = FeedCopy::default();
    third.adopt(offer_of(&second, third.known()));
    assert_eq!(third.age(at(40_000)), Some(Duration::from_secs(40)));
    // The same state, offered by a host with a later response of the store.
    let mut fresh = stored(vec![entry("a", 2, Some("1"))], 5);
    fresh.confirm(at(30_000));
    assert_eq!(third.adopt(offer_of(&fresh, third.known())), None);
    assert_eq!(third.age(at(40_000)), Some(Duration::from_secs(10)));
}

/// A host must take the newest copy that it is offered, not the first one.
#[test]
fn newest_copy() {
    let mut search = CopySearch::default();
    let answers =
        vec![answer(1, 5, 900), answer(2, 7, 100), answer(3, 7, 500), answer(4, 6, 1_000)];
    let step = search.next_step(answers, STALE, at(1_000), |_| true);
    assert_eq!(step, SearchStep::Take(answer(3, 7, 500)));
    assert_eq!(search.next_step(Vec::new(), STALE, at(1_000), |_| true), SearchStep::NoCopy);
}

/// A host must not take a stale copy before it has asked the hosts that the copy lists, but must take it if none of
/// them has a newer one.
#[test]
fn stale_copy() {
    for newer in [None, Some(answer(2, 9, 59_000))] {
        let mut search = CopySearch::default();
        let old = answer(1, 5, 10_000);
        let step = search.next_step(vec![old.clone()], STALE, at(60_000), |_| true);
        assert_eq!(step, SearchStep::AskMore);
        assert_eq!(search.candidate(), Some(&old));
        let step = search.next_step(newer.iter().cloned().collect(), STALE, at(61_000), |_| true);
        assert_eq!(step, SearchStep::Take(newer.unwrap_or(old)));
        assert_eq!(search.candidate(), None);
    }
    let step = CopySearch::default().next_step(vec![answer(1, 5, 0)], STALE, at(60_000), |_| false);
    assert_eq!(step, SearchStep::Take(answer(1, 5, 0)));
}
