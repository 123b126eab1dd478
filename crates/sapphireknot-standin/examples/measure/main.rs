//! Measurements behind `docs/measurements.md` and `docs/CAPACITY.md`.
//!
//! Each subcommand is one measurement with its own file. Results are tables or JSON on the standard output; progress is
//! shown while the standard error is a terminal. Processor times are meaningful in release builds only.

mod config;
mod drain;
mod forward;
mod gossip;
mod lookups;
mod members;
mod report;
mod target;
mod usage;

use std::{
    error::Error,
    io::{Write, stdout},
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use report::{MeasureRun, MeasureTable};

/// Function of a measurement.
type MeasureFn = fn(&MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>>;

/// Subcommands with their help and function.
const MEASUREMENTS: &[(&str, &str, MeasureFn)] = &[
    ("lookups", "Look-ups a second on one core at the target size", lookups::measure),
    ("forward", "Forwarded requests against direct ones", forward::measure),
    ("members", "Control modules of many hosts in one process", members::measure),
    ("config", "Cost of a document and of one change at the target size", config::measure),
    ("gossip", "Messages, processor time and spread of the member table alone", gossip::measure),
    ("drain", "Graceful shutdowns under load", drain::measure),
];

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let (name, matches) = matches.subcommand().ok_or("a subcommand is missing")?;
    let run = MeasureRun::new(value(matches, "seed")?, matches.get_flag("small"));
    let mut tables = Vec::new();
    for (known, _, function) in MEASUREMENTS {
        if name == "all" || name == *known {
            run.start(known);
            tables.extend(function(&run)?);
        }
    }
    run.finish();
    let text = match value::<String>(matches, "output")?.as_str() {
        "json" => serde_json::to_string_pretty(&tables)?,
        _ => tables.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    };
    Ok(writeln!(stdout().lock(), "{text}")?)
}

fn command() -> Command {
    let command = Command::new("measure").about("Measurements").subcommand_required(true);
    let all = options(Command::new("all").about("All measurements"));
    MEASUREMENTS.iter().fold(command.subcommand(all), |command, (name, about, _)| {
        command.subcommand(options(Command::new(*name).about(*about)))
    })
}

fn options(command: Command) -> Command {
    let seed = Arg::new("seed").long("seed").help("Seed of all random choices").default_value("1");
    let small = Arg::new("small").long("small").help("Small sizes, for a quick run");
    let output = Arg::new("output").long("output").help("Form of the results");
    command
        .arg(seed.value_parser(value_parser!(u64)))
        .arg(small.action(ArgAction::SetTrue))
        .arg(output.value_parser(["table", "json"]).default_value("table"))
}

fn value<T>(matches: &ArgMatches, name: &str) -> Result<T, Box<dyn Error>>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).cloned().ok_or_else(|| format!("--{name} is missing").into())
}
