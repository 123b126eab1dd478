//! Measurements of decisions on virtual time, as a table of Markdown.

mod picking;

use std::{
    error::Error,
    io::{Write, stdout},
};

use clap::{Arg, ArgMatches, Command, value_parser};

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("picking" | "all", matches)) => print_picking(matches),
        _ => Ok(()),
    }
}

fn command() -> Command {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .help("Number of seeds, from 1")
        .default_value("5")
        .value_parser(value_parser!(u64).range(1..));
    let seconds = Arg::new("seconds")
        .long("seconds")
        .help("Virtual time of each run, in seconds")
        .default_value("60")
        .value_parser(value_parser!(u64).range(1..));
    let with_arguments = |it: Command| it.arg(seeds.clone()).arg(seconds.clone());
    Command::new("measure")
        .about("Measures decisions on virtual time")
        .subcommand_required(true)
        .subcommand(with_arguments(Command::new("all").about("Every measurement")))
        .subcommand(with_arguments(
            Command::new("picking").about("Policies that choose a backend server"),
        ))
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

/// Prints the mean over the seeds, and the range where it matters for a comparison.
fn print_picking(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let seconds = number(matches, "seconds");
    let runs: Vec<_> =
        (1..=number(matches, "seeds")).map(|seed| picking::measure(seed, seconds)).collect();
    let mut out = stdout().lock();
    writeln!(
        out,
        "| Situation | Policy | p50 ms | p99 ms (range) | refused % | failed % | shed % |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|")?;
    for row in picking::merge(&runs) {
        writeln!(out, "{row}")?;
    }
    Ok(())
}
