//! Simulated rollouts of good and faulty versions, steered by the rollout planner and by two baselines.

mod baseline;
mod cases;
mod simulation;

use std::{
    io::{self, Write},
    thread,
};

use clap::{ArgMatches, Command};
use serde::Serialize;

use self::{
    cases::{RolloutCase, all_cases},
    simulation::{RolloutMethod, RunResult, run_case},
};

/// Number of simulations that run in parallel.
const THREADS: usize = 3;

/// Aggregated results of one case under one steering method.
#[derive(Debug, Serialize)]
struct CaseSummary {
    case: &'static str,
    is_good: bool,
    method: &'static str,
    runs: usize,
    completed: usize,
    taken_back: usize,
    harmed_mean: f64,
    harmed_max: u64,
    share_after_2s_mean: Option<f64>,
    share_after_2s_max: Option<f64>,
    seconds_mean: f64,
    /// Reasons given in the runs that rolled back a good version or did not roll back a faulty one.
    wrong_reasons: Vec<String>,
}

/// Returns the `rollout` subcommand.
pub(crate) fn command() -> Command {
    Command::new("rollout")
        .about("Rollouts of good and faulty versions under the planner and two baselines")
}

/// Runs every case under every steering method and prints the summaries.
pub(crate) fn run(matches: &ArgMatches) -> io::Result<()> {
    let numeric_option = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let (runs, seed) = (numeric_option("runs"), numeric_option("seed"));
    let mut summaries = Vec::new();
    for case in all_cases() {
        for method in RolloutMethod::ALL {
            summaries.push(summarise(&case, method, &run_seeds(&case, method, seed, runs)));
        }
    }
    let mut out = io::stdout().lock();
    if matches.get_one::<String>("output").is_some_and(|it| it == "json") {
        serde_json::to_writer_pretty(&mut out, &summaries)?;
        return writeln!(out);
    }
    write_table(&mut out, &summaries)
}

/// Runs a case with `runs` consecutive seeds from `seed` on, split over [`THREADS`] threads.
fn run_seeds(case: &RolloutCase, method: RolloutMethod, seed: u64, runs: u64) -> Vec<RunResult> {
    let seeds: Vec<_> = (seed..seed + runs).collect();
    let chunk = seeds.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let start = |seeds: &'_ [u64]| {
            let seeds = seeds.to_vec();
            scope.spawn(move || {
                seeds.into_iter().map(|it| run_case(case, method, it)).collect::<Vec<_>>()
            })
        };
        let handles: Vec<_> = seeds.chunks(chunk).map(start).collect();
        handles
            .into_iter()
            .flat_map(|it| it.join().expect("simulation threads do not panic"))
            .collect()
    })
}

fn summarise(case: &RolloutCase, method: RolloutMethod, results: &[RunResult]) -> CaseSummary {
    let mean = |sum: f64, count: usize| sum / count.max(1) as f64;
    let shares: Vec<f64> = results.iter().filter_map(|it| it.share_after_2s).collect();
    let wrong_verdicts = results.iter().filter(|it| it.is_reverted == case.is_good());
    let has_shares = !shares.is_empty();
    CaseSummary {
        case: case.name,
        is_good: case.is_good(),
        method: method.name(),
        runs: results.len(),
        completed: results.iter().filter(|it| it.is_completed).count(),
        taken_back: results.iter().filter(|it| it.is_reverted).count(),
        harmed_mean: mean(results.iter().map(|it| it.harmed as f64).sum(), results.len()),
        harmed_max: results.iter().map(|it| it.harmed).max().unwrap_or_default(),
        share_after_2s_mean: has_shares.then(|| mean(shares.iter().sum(), shares.len())),
        share_after_2s_max: has_shares.then(|| shares.iter().copied().fold(0.0, f64::max)),
        seconds_mean: mean(
            results.iter().map(|it| it.last_change_second as f64).sum(),
            results.len(),
        ),
        wrong_reasons: wrong_verdicts.filter_map(|it| it.reason.clone()).collect(),
    }
}

fn write_table<W>(out: &mut W, summaries: &[CaseSummary]) -> io::Result<()>
where
    W: Write,
{
    writeln!(
        out,
        "| case | method | runs | completed | taken back | harmed mean | harmed max | share after 2 s mean | max | verdict after |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    let percent =
        |it: Option<f64>| it.map_or("-".to_owned(), |that| format!("{:.1}%", 100.0 * that));
    for it in summaries {
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {:.0} | {} | {} | {} | {:.0} s |",
            it.case,
            it.method,
            it.runs,
            it.completed,
            it.taken_back,
            it.harmed_mean,
            it.harmed_max,
            percent(it.share_after_2s_mean),
            percent(it.share_after_2s_max),
            it.seconds_mean
        )?;
    }
    for method in RolloutMethod::ALL {
        let select = |is_good: bool| {
            summaries.iter().filter(move |it| it.method == method.name() && it.is_good == is_good)
        };
        let runs = |is_good| select(is_good).map(|it| it.runs).sum::<usize>();
        let completed = select(true).map(|it| it.completed).sum::<usize>();
        let taken_back = select(false).map(|it| it.taken_back).sum::<usize>();
        let harmed = select(false).map(|it| it.harmed_mean * it.runs as f64).sum::<f64>()
            / runs(false).max(1) as f64;
        writeln!(
            out,
            "{}: good completed {completed} of {}, bad taken back {taken_back} of {}, harmed per bad version {harmed:.0}",
            method.name(),
            runs(true),
            runs(false)
        )?;
    }
    Ok(())
}
