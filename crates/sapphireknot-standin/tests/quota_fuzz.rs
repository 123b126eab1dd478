//! Property test of the quota limits summed over all hosts under faults.

use arbtest::arbtest;
use sapphireknot_standin::quota_simulation::check_run;

/// Input sizes in bytes, each with its number of seeds.
const INPUT_SIZES: [(u64, u64); 3] = [(512, 200), (4_096, 200), (32_768, 100)];

/// Guards against hosts that in total admit more than rate and burst allow, or hold more than the whole share or its
/// tokens.
#[test]
fn total_quota_holds_under_faults() {
    for (size, seeds) in INPUT_SIZES {
        for seed in 0..seeds {
            arbtest(check_run).seed(seed << 32 | size).run();
        }
    }
}
