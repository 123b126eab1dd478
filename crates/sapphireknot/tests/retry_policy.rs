//! Retry rules and their budget.

use arbtest::arbtest;
use sapphireknot::retry::{AttemptOutcome, RetryBudget, RetryDecision, RetryPolicy};

const ENDS: [AttemptOutcome; 3] =
    [AttemptOutcome::NotSent, AttemptOutcome::Shed, AttemptOutcome::MaybeRan];

fn check(seed: u64) {
    arbtest(|u| {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        while !u.is_empty() {
            let is_idempotent = u.arbitrary()?;
            let mut policy = RetryPolicy::new(is_idempotent, 3);
            budget.deposit();
            requests += 1;
            let mut may_have_run = false;
            loop {
                let end = *u.choose(&ENDS)?;
                may_have_run |= end == AttemptOutcome::MaybeRan;
                match policy.record_attempt(end, &mut budget) {
                    RetryDecision::Retry => {
                        retries += 1;
                        assert!(is_idempotent || !may_have_run, "a request may run twice");
                    }
                    RetryDecision::NotRun => break assert!(!may_have_run, "not run is untrue"),
                    RetryDecision::Unknown => break assert!(may_have_run),
                }
            }
        }
        assert!(retries <= 10 + requests / 10, "{retries} retries of {requests} requests");
        Ok(())
    })
    .seed(seed)
    .run();
}

/// Guards against a second run, an untrue `not-run` and more retries than a tenth of requests.
#[test]
fn keeps_rules_for_any_sequence_of_ends() {
    for seed in 0..100u64 {
        for size in [16, 256, 4_096] {
            check((seed << 32) | size);
        }
    }
}

fn check_beside(seed: u64) {
    arbtest(|u| {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        while !u.is_empty() {
            let is_idempotent = u.arbitrary()?;
            let mut policy = RetryPolicy::new(is_idempotent, 3);
            budget.deposit();
            requests += 1;
            let (mut begun, mut running) = (1, 1);
            while running > 0 && !u.is_empty() {
                if u.arbitrary()? {
                    if policy.reserve(&mut budget) {
                        assert!(is_idempotent, "two attempts at once may both run");
                        if u.arbitrary()? {
                            (begun, running, retries) = (begun + 1, running + 1, retries + 1);
                        } else {
                            policy.release(&mut budget);
                        }
                    }
                    continue;
                }
                running -= 1;
                if policy.record_attempt(*u.choose(&ENDS)?, &mut budget) == RetryDecision::Retry {
                    (begun, running, retries) = (begun + 1, running + 1, retries + 1);
                }
            }
            assert!(begun <= 3, "{begun} attempts");
        }
        assert!(retries <= 10 + requests / 10, "{retries} retries of {requests} requests");
        Ok(())
    })
    .seed(seed)
    .run();
}

/// Guards against attempts beyond the limit, or retries beyond the budget, when attempts run beside one another.
#[test]
fn keeps_rules_for_attempts_beside_one_another() {
    for seed in 0..100u64 {
        for size in [16, 256, 4_096] {
            check_beside((seed << 32) | size);
        }
    }
}
