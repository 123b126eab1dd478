//! Measurements of decisions with small fakes.

mod rollout;

use std::io;

use clap::{Arg, Command, value_parser};

/// Arguments that every measurement takes.
fn common_args(command: Command) -> Command {
    let number = || value_parser!(u64);
    command
        .arg(
            Arg::new("runs")
                .long("runs")
                .default_value("10")
                .value_parser(number())
                .help("Runs of each case"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(number())
                .help("Seed of the first run"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .default_value("table")
                .value_parser(["table", "json"])
                .help("Form of the result"),
        )
}

fn main() -> io::Result<()> {
    let command = Command::new("measure")
        .about("Measures decisions with small fakes")
        .subcommand_required(true)
        .subcommand(common_args(rollout::command()));
    match command.get_matches().subcommand() {
        Some(("rollout", matches)) => rollout::run(matches),
        _ => Ok(()),
    }
}
