//! Fuzzes rollouts with random seeds.

#[path = "../tests/rollout_fuzz/simulation.rs"]
mod simulation;

use std::{
    io::{self, Write},
    time::Duration,
};

use arbtest::{arbitrary::Unstructured, arbtest};
use clap::{Arg, ArgAction, Command, value_parser};

fn command() -> Command {
    let number = || value_parser!(u64);
    Command::new("fuzz_rollout")
        .about("Fuzzes rollouts with random seeds")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("60")
                .value_parser(number())
                .help("Duration of the search in seconds"),
        )
        .arg(Arg::new("seed").long("seed").value_parser(number()).help("Runs only this seed"))
        .arg(
            Arg::new("bytes")
                .long("bytes")
                .default_value("24576")
                .value_parser(value_parser!(u32))
                .help("Size of an input in bytes"),
        )
        .arg(
            Arg::new("minimize")
                .long("minimize")
                .action(ArgAction::SetTrue)
                .requires("seed")
                .help("Minimizes the failing input"),
        )
}

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or_default();
    let bytes = matches.get_one::<u32>("bytes").copied().unwrap_or_default();
    let mut outcomes = [0_u64; 4];
    let property = |u: &mut Unstructured<'_>| {
        let simulation = simulation::run_simulation(u)?;
        outcomes[0] += 1;
        outcomes[1] += u64::from(simulation.is_done());
        outcomes[2] += u64::from(simulation.is_reverted());
        outcomes[3] += u64::from(simulation.has_trip());
        Ok(())
    };
    let mut search =
        arbtest(property).size_min(bytes).size_max(bytes).budget(Duration::from_secs(seconds));
    if let Some(seed) = matches.get_one::<u64>("seed") {
        search = search.seed(*seed);
    }
    if matches.get_flag("minimize") {
        search = search.minimize();
    }
    search.run();
    let [runs, done, reverted, tripped] = outcomes;
    writeln!(
        io::stdout(),
        "{runs} runs without a violation: {done} done, {reverted} reverted, {tripped} with a trip"
    )
}
