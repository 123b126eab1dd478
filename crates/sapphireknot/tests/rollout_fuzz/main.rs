//! Rollouts under faults against a simple oracle.
//!
//! `cargo run -p sapphireknot --example fuzz_rollout -- --seconds 600` searches longer with random seeds.

mod simulation;

use arbtest::arbtest;

/// Size of an input in bytes; enough to pass the deadline in most runs.
const INPUT_BYTES: u64 = 24 << 10;

/// Guards against shares over the cap, after a trip, after the deadline or without fresh evidence, and against counts
/// that are merged twice, while planners die and pause, the store fails and messages are lost, doubled and reordered;
/// and against an oracle that is never exercised because no rollout gets anywhere.
#[test]
fn faults_keep_the_rules() {
    let mut outcomes = [0; 3];
    for seed in 0..32_u64 {
        let property = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
            let world = simulation::run_world(u)?;
            outcomes[0] += usize::from(world.is_done());
            outcomes[1] += usize::from(world.is_reverted());
            outcomes[2] += usize::from(world.has_trip());
            Ok(())
        };
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
    assert!(outcomes.iter().all(|it| *it >= 3), "done, reverted, tripped: {outcomes:?}");
}
