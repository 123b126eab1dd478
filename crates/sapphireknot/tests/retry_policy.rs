//! Retry policy and retry budget.

use arbtest::arbtest;
use sapphireknot::retry::{AttemptOutcome, RetryBudget, RetryDecision, RetryPolicy};

const OUTCOMES: [AttemptOutcome; 3] =
    [AttemptOutcome::NotSent, AttemptOutcome::Shed, AttemptOutcome::MaybeRan];

fn check_sequential(seed: u64) {
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
                let outcome = *u.choose(&OUTCOMES)?;
                may_have_run |= outcome == AttemptOutcome::MaybeRan;
                match policy.record_attempt(outcome, &mut budget) {
                    RetryDecision::Retry => {
                        retries += 1;
                        assert!(
                            is_idempotent || !may_have_run,
                            "a non-idempotent request may run twice"
                        );
                    }
                    RetryDecision::NotRun => {
                        break assert!(
                            !may_have_run,
                            "a request that may have run is reported as not run"
                        );
                    }
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

/// Guards against a second run of a non-idempotent request, a request wrongly reported as `not-run`, and retries that
/// exceed a tenth of the requests.
#[test]
fn policy_holds_for_any_sequence_of_outcomes() {
    for seed in 0..100u64 {
        for size in [16, 256, 4_096] {
            check_sequential((seed << 32) | size);
        }
    }
}

fn check_concurrent(seed: u64) {
    arbtest(|u| {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        while !u.is_empty() {
            let is_idempotent = u.arbitrary()?;
            let mut policy = RetryPolicy::new(is_idempotent, 3);
            budget.deposit();
            requests += 1;
            let (mut started, mut running) = (1, 1);
            while running > 0 && !u.is_empty() {
                if u.arbitrary()? {
                    if policy.reserve(&mut budget) {
                        assert!(is_idempotent, "concurrent attempts of a non-idempotent request");
                        if u.arbitrary()? {
                            (started, running, retries) = (started + 1, running + 1, retries + 1);
                        } else {
                            policy.release(&mut budget);
                        }
                    }
                    continue;
                }
                running -= 1;
                if policy.record_attempt(*u.choose(&OUTCOMES)?, &mut budget) == RetryDecision::Retry
                {
                    (started, running, retries) = (started + 1, running + 1, retries + 1);
                }
            }
            assert!(started <= 3, "{started} attempts");
        }
        assert!(retries <= 10 + requests / 10, "{retries} retries of {requests} requests");
        Ok(())
    })
    .seed(seed)
    .run();
}

/// Guards against more attempts than the limit and more retries than the budget when attempts run concurrently.
#[test]
fn limits_hold_for_concurrent_attempts() {
    for seed in 0..100u64 {
        for size in [16, 256, 4_096] {
            check_concurrent((seed << 32) | size);
        }
    }
}
