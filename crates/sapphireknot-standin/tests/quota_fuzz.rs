//! Quotas of all hosts together under faults.

use arbtest::arbtest;
use sapphireknot_standin::quota_simulation::check_run;

/// Sizes of inputs in bytes, with the number of seeds of each.
const RUNS: [(u64, u64); 3] = [(512, 200), (4_096, 200), (32_768, 100)];

/// Guards against hosts that together admit more than rate and burst, or hold more than the whole share or its tokens.
#[test]
fn whole_under_faults() {
    for (size, seeds) in RUNS {
        for seed in 0..seeds {
            arbtest(check_run).seed(seed << 32 | size).run();
        }
    }
}
