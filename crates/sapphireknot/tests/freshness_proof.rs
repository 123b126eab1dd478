//! Freshness proofs, role leases and fencing tokens.

use std::time::Duration;

use sapphireknot::{
    freshness::FreshnessTracker,
    ids::{FencingToken, HostId},
    roles::{FencingGuard, HeldLease, HeldRoles},
    time::MonoTime,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> MonoTime {
    MonoTime(seconds * 1_000_000)
}

/// Guards against a proof that is taken for more recent than it is, or that replaces a more recent one.
#[test]
fn proof_age() {
    let mut tracker = FreshnessTracker::new(5 * SECOND);
    assert_eq!(tracker.fresh_until(at(10), &[]), MonoTime::default());
    tracker.record_reply(at(10), 2 * SECOND);
    assert_eq!(tracker.fresh_until(at(12), &[]), at(13));
    tracker.record_reply(at(11), 4 * SECOND);
    assert_eq!(tracker.fresh_until(at(12), &[]), at(13));
    tracker.record_read(at(9));
    assert_eq!(tracker.fresh_until(at(12), &[]), at(14));
}

/// Guards against a host that treats the store as down, and therefore serves keys without a proof, although half of the
/// hosts in the store's region reach the store or have not reported.
#[test]
fn store_down_needs_majority() {
    let hosts: Vec<HostId> = (0..4).map(|idx| format!("h{idx}").parse().unwrap()).collect();
    let mut tracker = FreshnessTracker::new(5 * SECOND);
    for host in &hosts[..2] {
        tracker.record_report(host.clone(), true, at(10), Duration::ZERO);
    }
    assert_eq!(tracker.down_until(at(10), &hosts), None, "two of four are no majority");
    tracker.record_report(hosts[2].clone(), true, at(11), SECOND / 2);
    assert_eq!(tracker.down_until(at(11), &hosts), Some(at(12)));
    assert_eq!(tracker.fresh_until(at(11), &hosts), at(12));
    assert_eq!(tracker.down_until(at(12), &hosts), None, "a report expires after two seconds");
    tracker.record_report(hosts[0].clone(), true, at(12), Duration::ZERO);
    tracker.record_report(hosts[1].clone(), true, at(12), Duration::ZERO);
    tracker.record_report(hosts[2].clone(), true, at(12), Duration::ZERO);
    assert!(tracker.down_until(at(12), &hosts).is_some());
    tracker.record_report(hosts[2].clone(), false, at(12), Duration::ZERO);
    assert_eq!(tracker.down_until(at(12), &hosts), None, "two of four are no majority");
    // A late reply must not restore the earlier report.
    tracker.record_report(hosts[2].clone(), true, at(12), SECOND);
    assert_eq!(tracker.down_until(at(12), &hosts), None);
    assert!(tracker.down_until(at(12), &hosts[..3]).is_some(), "two of three are a majority");
    assert_eq!(tracker.down_until(at(12), &hosts[2..]), None);
}

/// Guards against a role that is used after its lease expired, and against a message of a previous holder.
#[test]
fn expired_role_and_outdated_token() {
    let (mut lease, mut roles) = (HeldLease::default(), HeldRoles::default());
    lease.record_renewal(at(100), 10 * SECOND);
    roles.take("role/watch/d0/0".to_owned(), FencingToken(7));
    let token = |now| roles.token("role/watch/d0/0", &lease, now);
    assert_eq!(token(at(108)), Some(FencingToken(7)));
    assert_eq!(token(at(109)), None, "the clock drift margin is a tenth of the lease");
    assert_eq!(roles.token("role/watch/d0/1", &lease, at(100)), None);
    let mut guard = FencingGuard::default();
    assert!(guard.admits("role/planner/s", FencingToken(7)));
    guard.record("role/planner/s", FencingToken(9));
    guard.record("role/planner/s", FencingToken(8));
    assert!(!guard.admits("role/planner/s", FencingToken(8)));
    assert!(guard.admits("role/planner/s", FencingToken(9)));
    assert!(guard.admits("role/planner/t", FencingToken(1)));
}
