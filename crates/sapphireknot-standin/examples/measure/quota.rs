//! Quotas: highest admitted part of what is allowed, and wrongful refusals, against two static or reactive splits.

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

pub(crate) fn command() -> Command {
    Command::new("quota").about("Admission over all hosts under skew, bursts, moves and faults")
}

const POLICIES: [&str; 3] = ["transfer", "equal split", "last second"];

fn policy(name: &str, seed: u64) -> Box<dyn QuotaPolicy> {
    match name {
        "transfer" => Box::new(TransferPolicy::new(seed)),
        "equal split" => Box::new(SplitPolicy::equal()),
        _ => Box::new(SplitPolicy::by_last_second()),
    }
}

pub(crate) fn run(seed: u64, runs: u64) -> Report {
    let steps = runs * (POLICIES.len() * Fault::ALL.len()) as u64;
    let progress = ProgressBar::new(steps);
    let mut rows = Vec::new();
    for fault in Fault::ALL {
        for name in POLICIES {
            let mut worst = AdmissionStats::default();
            for run in 0..runs {
                let seed = seed + run;
                worst.merge(&run_simulation(policy(name, seed), fault, seed));
                progress.inc(1);
            }
            let mut row = vec![fault.name().to_owned(), name.to_owned()];
            row.extend(worst.cells());
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
