//! Checks simulated rollouts under injected faults against an oracle.
//!
//! `cargo run -p sapphireknot --example fuzz_rollout -- --seconds 600` searches longer with random seeds.

mod simulation;

use arbtest::arbtest;

/// Size of an input in bytes; most runs reach the deadline with it.
const INPUT_BYTES: u64 = 24 << 10;

/// Guards against shares that exceed the cap or increase after a trip, after the deadline or without fresh evidence,
/// and against counts that are merged twice. Planners crash and pause, the store fails, and messages are lost,
/// duplicated and reordered. The minimum numbers of outcomes ensure that the oracle is exercised.
#[test]
fn rollout_invariants_hold_under_faults() {
    let mut outcomes = [0; 3];
    for seed in 0..32_u64 {
        let property = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
            let simulation = simulation::run_simulation(u)?;
            outcomes[0] += usize::from(simulation.is_done());
            outcomes[1] += usize::from(simulation.is_reverted());
            outcomes[2] += usize::from(simulation.has_trip());
            Ok(())
        };
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
    assert!(outcomes.iter().all(|it| *it >= 3), "done, reverted, tripped: {outcomes:?}");
}
