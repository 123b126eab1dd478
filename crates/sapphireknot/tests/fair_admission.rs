//! Weighted fair queueing of requests.

use std::{collections::BTreeMap, time::Duration};

use arbtest::arbtest;
use sapphireknot::{
    admission::{FairQueue, QueueError, QueueItem, QueueLimits},
    ids::OrganisationId,
    time::MonoTime,
};

const LIMITS: QueueLimits = QueueLimits { per_organisation: 100, total: 1_000 };
const NO_DEADLINE: MonoTime = MonoTime(u64::MAX);

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("id")
}

fn drain(queue: &mut FairQueue<&'static str>, count: usize) -> BTreeMap<&'static str, usize> {
    let mut served = BTreeMap::new();
    for _ in 0..count {
        if let Some(QueueItem::Ready(name)) = queue.pop(MonoTime(0)) {
            *served.entry(name).or_insert(0) += 1;
        }
    }
    served
}

/// Guards against an organisation with many queued requests that delays the others, and against shares that ignore the
/// weights.
#[test]
fn weighted_shares() {
    let mut queue = FairQueue::new(LIMITS);
    for _ in 0..90 {
        queue
            .push(organisation("large"), 1, NO_DEADLINE, MonoTime(0), "large")
            .expect("the queue has space");
    }
    for _ in 0..30 {
        queue
            .push(organisation("small"), 1, NO_DEADLINE, MonoTime(0), "small")
            .expect("the queue has space");
        queue
            .push(organisation("heavy"), 2, NO_DEADLINE, MonoTime(0), "heavy")
            .expect("the queue has space");
    }
    let served = drain(&mut queue, 40);
    assert_eq!(served, BTreeMap::from([("heavy", 20), ("large", 10), ("small", 10)]));
}

/// Guards against an idle organisation that accumulates credit and then blocks the others.
#[test]
fn idle_organisation() {
    let mut queue = FairQueue::new(LIMITS);
    for _ in 0..50 {
        queue
            .push(organisation("busy"), 1, NO_DEADLINE, MonoTime(0), "busy")
            .expect("the queue has space");
    }
    drain(&mut queue, 30);
    for _ in 0..20 {
        queue
            .push(organisation("idle"), 1, NO_DEADLINE, MonoTime(0), "idle")
            .expect("the queue has space");
    }
    assert_eq!(drain(&mut queue, 20), BTreeMap::from([("busy", 10), ("idle", 10)]));
}

/// Guards against a request that starts after its deadline, and against an unbounded queue.
#[test]
fn bounds_and_deadlines() {
    let limits = QueueLimits { per_organisation: 2, total: 3 };
    let mut queue = FairQueue::new(limits);
    let (now, later) = (MonoTime(1_000), MonoTime(1_000).after(Duration::from_millis(1)));
    assert_eq!(queue.push(organisation("a"), 1, now, now, 1), Err(QueueError::DeadlinePassed));
    assert_eq!(queue.push(organisation("a"), 1, later, now, 1), Ok(()));
    assert_eq!(queue.push(organisation("a"), 1, NO_DEADLINE, now, 2), Ok(()));
    assert_eq!(queue.push(organisation("a"), 1, NO_DEADLINE, now, 3), Err(QueueError::Full));
    assert_eq!(queue.push(organisation("b"), 1, NO_DEADLINE, now, 4), Ok(()));
    assert_eq!(queue.push(organisation("c"), 1, NO_DEADLINE, now, 5), Err(QueueError::Full));
    assert_eq!(queue.pop(later), Some(QueueItem::Expired(1)));
    let rest = [queue.pop(later), queue.pop(later)];
    assert!(rest.iter().all(|it| matches!(it, Some(QueueItem::Ready(2 | 4)))));
    assert_eq!(queue.pop(later), None);
}

/// Guards against an organisation that gets less than its share because expired entries count as served.
#[test]
fn expired_entries_use_no_capacity() {
    let mut queue = FairQueue::new(LIMITS);
    for _ in 0..50 {
        queue
            .push(organisation("late"), 1, MonoTime(1), MonoTime(0), "late")
            .expect("the queue has space");
    }
    queue
        .push(organisation("steady"), 1, NO_DEADLINE, MonoTime(0), "steady")
        .expect("the queue has space");
    while queue.len() > 1 {
        assert_eq!(queue.pop_where(MonoTime(1), |_| false), Some(QueueItem::Expired("late")));
    }
    for _ in 0..20 {
        queue
            .push(organisation("late"), 1, NO_DEADLINE, MonoTime(1), "late")
            .expect("the queue has space");
        queue
            .push(organisation("steady"), 1, NO_DEADLINE, MonoTime(1), "steady")
            .expect("the queue has space");
    }
    let mut served = BTreeMap::new();
    for _ in 0..20 {
        let Some(QueueItem::Ready(name)) = queue.pop(MonoTime(1)) else {
            panic!("no entry is ready")
        };
        *served.entry(name).or_insert(0) += 1;
    }
    assert_eq!(served, BTreeMap::from([("late", 10), ("steady", 10)]));
}

/// Guards against an entry that does not fit and blocks the others, and against removed entries that still count
/// towards the limits.
#[test]
fn skipped_and_removed_entries() {
    let mut queue = FairQueue::new(QueueLimits { per_organisation: 2, total: 3 });
    queue.push(organisation("a"), 1, NO_DEADLINE, MonoTime(0), 1).expect("the queue has space");
    queue.push(organisation("a"), 1, NO_DEADLINE, MonoTime(0), 2).expect("the queue has space");
    queue.push(organisation("b"), 1, NO_DEADLINE, MonoTime(0), 3).expect("the queue has space");
    assert_eq!(queue.pop_where(MonoTime(0), |it| *it == 2), Some(QueueItem::Ready(2)));
    queue.push(organisation("a"), 1, NO_DEADLINE, MonoTime(0), 4).expect("the queue has space");
    assert!(queue.is_full(&organisation("b")));
    queue.retain(|it, _| *it != 3);
    assert!(!queue.is_full(&organisation("b")));
    assert_eq!(queue.pop(MonoTime(0)), Some(QueueItem::Ready(1)));
    assert_eq!(queue.pop(MonoTime(0)), Some(QueueItem::Ready(4)));
}

/// Guards against entries that are lost, duplicated, or out of order within an organisation.
#[test]
fn queue_fuzz() {
    for case in 0..64u64 {
        arbtest(|u| {
            let mut queue = FairQueue::new(QueueLimits { per_organisation: 8, total: 20 });
            let mut waiting: BTreeMap<u8, Vec<u32>> = BTreeMap::new();
            let mut now = MonoTime(0);
            for number in 0..u.arbitrary_len::<u16>()? as u32 {
                now = MonoTime(now.0 + u64::from(u.int_in_range(0..=5u8)?));
                if u.ratio(3, 5)? {
                    let owner = u.int_in_range(0..=4u8)?;
                    let start_by = MonoTime(now.0 + u64::from(u.int_in_range(0..=40u8)?));
                    let weight = u.int_in_range(1..=4u32)?;
                    let id = organisation(&format!("o{owner}"));
                    let value = (owner, number, start_by);
                    if queue.push(id, weight, start_by, now, value).is_ok() {
                        waiting.entry(owner).or_default().push(number);
                    }
                } else if let Some(item) = queue.pop(now) {
                    let (owner, number, start_by) = match item {
                        QueueItem::Ready(it) => {
                            assert!(now < it.2, "started after its deadline");
                            it
                        }
                        QueueItem::Expired(it) => it,
                    };
                    assert!(start_by > MonoTime(0));
                    let expected = waiting.get_mut(&owner).map(|it| it.remove(0));
                    assert_eq!(expected, Some(number));
                }
                let total: usize = waiting.values().map(Vec::len).sum();
                assert_eq!(queue.len(), total);
                assert!(total <= 20 && waiting.values().all(|it| it.len() <= 8));
            }
            Ok(())
        })
        .seed((case << 32) | 2_048)
        .run();
    }
}
