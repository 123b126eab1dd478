//! Claims on idempotency keys across hosts.

use std::{collections::BTreeMap, time::Duration};

use arbtest::arbtest;
use sapphireknot::{
    idempotency::{
        ClaimDecision, ClaimHolder, ClaimKey, ClaimLimits, ClaimOutcome, ClaimReply, ClaimTable,
        claim_owners, decide_claim,
    },
    ids::{HostId, IncarnationId},
    keys::KeyDigest,
    time::MonoTime,
};

const LIMITS: ClaimLimits = ClaimLimits { window: Duration::from_millis(100), max_keys: 1_000 };

fn key(number: u8) -> ClaimKey {
    ClaimKey { organisation: "acme".parse().expect("id"), digest: KeyDigest::of(&[number]) }
}

fn host(number: usize) -> HostId {
    format!("h{number}").parse().expect("id")
}

fn holder(host_number: usize, request: u64) -> ClaimHolder {
    ClaimHolder { host: host(host_number), incarnation: IncarnationId(1), request }
}

/// Guards against a reply that depends on whether a claim was lost and sent again.
#[test]
fn retried_claim() {
    let mut table = ClaimTable::new(LIMITS, true, MonoTime(0));
    let granted = ClaimReply::Granted { is_complete: true };
    assert_eq!(table.claim(key(1), holder(1, 1), MonoTime(1)), granted);
    assert_eq!(table.claim(key(1), holder(1, 1), MonoTime(2)), granted);
    assert_eq!(table.claim(key(1), holder(1, 2), MonoTime(2)), ClaimReply::InProgress);
    table.finish(&key(1), &holder(1, 2), ClaimOutcome::NotRun, MonoTime(3));
    assert_eq!(table.claim(key(1), holder(2, 1), MonoTime(3)), ClaimReply::InProgress);
    table.finish(&key(1), &holder(1, 1), ClaimOutcome::Ran, MonoTime(4));
    assert_eq!(table.claim(key(1), holder(2, 1), MonoTime(5)), ClaimReply::Ran);
}

/// Guards against a second run after an owner restarted and lost its record of the first.
#[test]
fn owners_with_incomplete_window() {
    let mut table = ClaimTable::new(LIMITS, false, MonoTime(0));
    let incomplete = table.claim(key(1), holder(1, 1), MonoTime(1));
    assert_eq!(decide_claim(&[Some(incomplete), None]), ClaimDecision::Unknown);
    assert_eq!(decide_claim(&[None, None, None]), ClaimDecision::Unknown);
    let complete = ClaimReply::Granted { is_complete: true };
    assert_eq!(decide_claim(&[Some(incomplete), Some(complete), None]), ClaimDecision::Unknown);
    assert_eq!(
        decide_claim(&[Some(incomplete), Some(complete), Some(complete)]),
        ClaimDecision::Run
    );
    assert_eq!(
        decide_claim(&[Some(complete), Some(complete), Some(ClaimReply::Ran)]),
        ClaimDecision::Ran
    );
}

/// Host of the fuzz test.
#[derive(Debug)]
struct ClaimHost {
    table: ClaimTable,
    is_up: bool,
}

/// Guards against two runs of one key within its window. Owners crash and restart without records, and claims, replies
/// and outcomes are lost.
#[test]
fn claim_fuzz() {
    for case in 0..96u64 {
        arbtest(|u| {
            let ids: Vec<HostId> = (0..5).map(host).collect();
            let mut now = MonoTime(1_000);
            let mut hosts: Vec<ClaimHost> = ids
                .iter()
                .map(|_| ClaimHost { table: ClaimTable::new(LIMITS, true, now), is_up: true })
                .collect();
            let mut runs: BTreeMap<u8, MonoTime> = BTreeMap::new();
            for request in 0..u.arbitrary_len::<u32>()? as u64 {
                now = now.after(Duration::from_micros(u.int_in_range(0..=20_000)?));
                let target = u.int_in_range(0..=4usize)?;
                match u.int_in_range(0..=9u8)? {
                    0 => hosts[target].is_up = false,
                    1 | 2 if !hosts[target].is_up => {
                        let table = ClaimTable::new(LIMITS, false, now);
                        hosts[target] = ClaimHost { table, is_up: true };
                    }
                    _ => {
                        let number = u.int_in_range(0..=2u8)?;
                        let claimant = holder(target, request);
                        let owners = claim_owners(&key(number), &ids);
                        let mut replies = Vec::new();
                        for owner in &owners {
                            let index = ids.iter().position(|it| it == *owner).expect("known");
                            // The claim or its reply may be lost.
                            let is_delivered = hosts[index].is_up && u.ratio(7, 8)?;
                            let reply = is_delivered.then(|| {
                                hosts[index].table.claim(key(number), claimant.clone(), now)
                            });
                            replies.push(if u.ratio(1, 8)? { None } else { reply });
                        }
                        if decide_claim(&replies) != ClaimDecision::Run {
                            continue;
                        }
                        let last_run = runs.insert(number, now);
                        let is_outside_window =
                            last_run.is_none_or(|it| now >= it.after(LIMITS.window));
                        assert!(is_outside_window, "key {number} ran at {last_run:?} and {now}");
                        for owner in &owners {
                            let index = ids.iter().position(|it| it == *owner).expect("known");
                            if hosts[index].is_up && u.ratio(3, 4)? {
                                let outcome = ClaimOutcome::Ran;
                                hosts[index].table.finish(&key(number), &claimant, outcome, now);
                            }
                        }
                    }
                }
            }
            Ok(())
        })
        .seed((case << 32) | 4_096)
        .run();
    }
}
