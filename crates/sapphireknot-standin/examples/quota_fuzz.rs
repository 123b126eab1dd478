//! Longer run of the quota fuzz test with other seeds.
//!
//! `cargo run --release -p sapphireknot-standin --example quota_fuzz -- --seconds 600`

use std::{
    io::{self, Write},
    panic,
    process::ExitCode,
    time::{Duration, Instant},
};

use arbtest::arbtest;
use clap::{Arg, ArgMatches, Command, value_parser};
use sapphireknot_standin::quota_simulation::check_run;

fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u32));
    Command::new("quota_fuzz")
        .about("Checks quotas under faults and prints the seeds that fail")
        .arg(number("seconds").default_value("60").help("How long new seeds are begun"))
        .arg(number("runs").help("Most seeds; unlimited by default"))
        .arg(number("first").help("First seed; random by default"))
        .arg(number("size").help("Input size in bytes; 512 to 32768 in turn by default"))
}

fn fails(seed: u64) -> bool {
    panic::catch_unwind(|| arbtest(check_run).seed(seed).run()).is_err()
}

fn run(matches: &ArgMatches) -> io::Result<bool> {
    let number = |name: &str| matches.get_one::<u32>(name).copied();
    let end = Instant::now() + Duration::from_secs(number("seconds").unwrap_or(60).into());
    let first = number("first").unwrap_or_else(rand::random);
    let runs = number("runs").unwrap_or(u32::MAX);
    let mut out = io::stdout().lock();
    let (mut done, mut failed) = (0u64, 0u64);
    for step in 0..runs {
        if Instant::now() >= end {
            break;
        }
        let size = number("size").unwrap_or([512, 4_096, 32_768][step as usize % 3]);
        let seed = u64::from(first.wrapping_add(step)) << 32 | u64::from(size);
        done += 1;
        if fails(seed) {
            failed += 1;
            writeln!(out, "failed: seed {seed:#x}")?;
        }
    }
    writeln!(out, "{failed} of {done} seeds failed, first seed {first}")?;
    Ok(failed == 0)
}

fn main() -> io::Result<ExitCode> {
    let is_passed = run(&command().get_matches())?;
    Ok(if is_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
