//! Simulated quota enforcement: the highest ratio of admitted to allowed requests and the wrongful refusals of token
//! transfer, compared with an equal split and a split by the demand of the last second.

mod load;
mod simulation;
mod split;
mod stats;
mod transfer;

use clap::Command;
use indicatif::ProgressBar;

use self::{
    load::Fault,
    simulation::{QuotaPolicy, run_simulation},
    split::SplitPolicy,
    stats::AdmissionStats,
    transfer::TransferPolicy,
};
use crate::report::Report;

/// Returns the `quota` subcommand.
pub(crate) fn command() -> Command {
    Command::new("quota")
        .about("Quota admission over all hosts under skew, bursts, shifting load and faults")
}

/// Names of the compared policies, as printed.
const POLICIES: [&str; 3] = ["transfer", "equal split", "last second"];

/// Creates the policy of the given name from [`POLICIES`].
fn new_policy(name: &str, seed: u64) -> Box<dyn QuotaPolicy> {
    match name {
        "transfer" => Box::new(TransferPolicy::new(seed)),
        "equal split" => Box::new(SplitPolicy::equal()),
        _ => Box::new(SplitPolicy::by_last_second()),
    }
}

/// Simulates every policy under every fault with `runs` seeds from `seed` on.
///
/// A row holds the highest values and the sums over all seeds.
pub(crate) fn run(seed: u64, runs: u64) -> Report {
    let steps = runs * (POLICIES.len() * Fault::ALL.len()) as u64;
    let progress = ProgressBar::new(steps);
    let mut rows = Vec::new();
    for fault in Fault::ALL {
        for name in POLICIES {
            let mut totals = AdmissionStats::default();
            for run in 0..runs {
                let seed = seed + run;
                totals.merge(&run_simulation(new_policy(name, seed), fault, seed));
                progress.inc(1);
            }
            let mut row = vec![fault.name().to_owned(), name.to_owned()];
            row.extend(totals.cells());
            rows.push(row);
        }
    }
    progress.finish_and_clear();
    let columns = [
        "fault",
        "policy",
        "highest admitted / allowed",
        "wrongfully refused, worst organisation",
        "each in percent, largest first",
        "wrongfully refused, all",
        "requests",
        "longest wait",
        "messages per host and second",
    ];
    Report {
        name: "quota".to_owned(),
        seed,
        runs,
        columns: columns.iter().map(|it| (*it).to_owned()).collect(),
        rows,
    }
}
