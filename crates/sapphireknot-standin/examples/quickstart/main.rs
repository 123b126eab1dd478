//! Quickstart: three hosts in three regions, with the platform and backend servers, in one process.
//!
//! Callers send requests over loopback while an operator applies a release note; a report of the responses follows. See
//! `docs/running.md` for a setup with separate processes.

mod cluster;

use std::{
    error::Error,
    io::{Write, stdout},
    path::Path,
    sync::Arc,
    time::Duration,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use sapphireknot_cli::exit::ExitStatus;
use sapphireknot_standin::{
    client::HttpCall,
    load::{CallerPlan, LoadPlan, LoadSummary, LookupCaller},
};

use self::cluster::{KEYS, QuickstartCluster, RELEASE_NOTE};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(&matches))
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help).value_parser(value_parser!(u64))
    };
    Command::new("quickstart")
        .about("Runs three hosts with stand-ins on loopback and prints a report")
        .arg(number("seconds", "8", "Time for which callers send requests"))
        .arg(number("rate", "200", "Requests a second of all callers"))
        .arg(number("seed", "1", "Seed of the callers' arrivals"))
}

async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let span = Duration::from_secs(number("seconds"));
    print_line("Starting the platform, 6 backend servers and 3 hosts in 3 regions.")?;
    let cluster = QuickstartCluster::start().await?;
    cluster.command(&["init", &cluster.write_document()?]).await?;
    cluster.wait_ready().await?;

    print_line(&format!("Sending {} requests a second for {span:?}.", number("rate")))?;
    let plan = load_plan(number("rate") as f64, span, number("seed"));
    let callers: Vec<_> = KEYS.iter().map(|(name, key)| caller(&cluster, name, key)).collect();
    let load = tokio::spawn(async move { plan.run(&callers).await });
    tokio::time::sleep(span / 2).await;

    print_line("Applying a release note while the requests run:")?;
    let note = cluster.write_file("note.yaml", RELEASE_NOTE)?;
    let status = cluster.command(&["apply", &note, "--wait", "10s"]).await?;
    let summary = load.await?;
    print_line("\nState of the first host:")?;
    cluster.command(&["status"]).await?;
    report(&summary)?;
    cluster.stop().await;
    if status != ExitStatus::Success {
        return Err("the release note is not in force".into());
    }
    if summary.succeeded() == 0 {
        return Err("no request succeeded".into());
    }
    Ok(())
}

fn print_line(text: &str) -> std::io::Result<()> {
    writeln!(stdout().lock(), "{text}")
}

fn caller(cluster: &QuickstartCluster, organisation: &str, key: &str) -> Arc<LookupCaller> {
    let plan = CallerPlan {
        client: std::net::Ipv4Addr::LOCALHOST.into(),
        organisation: organisation.to_owned(),
        key: Some(key.to_owned()),
        entries: cluster.caller_addresses(),
        direct: false,
    };
    Arc::new(LookupCaller::new(plan, REQUEST_TIMEOUT))
}

/// Both organisations fetch reports and make bookings; the key of the second one is withdrawn halfway.
fn load_plan(rate: f64, span: Duration, seed: u64) -> LoadPlan {
    let fetch = HttpCall::get("/reports/items/42");
    let booking = HttpCall::new(http::Method::POST, "/reports/book");
    let mix = vec![(6, 0, fetch.clone()), (1, 0, booking.clone()), (2, 1, fetch), (1, 1, booking)];
    LoadPlan { rate, span, seed, mix }
}

fn report(summary: &LoadSummary) -> std::io::Result<()> {
    let mut out = stdout().lock();
    writeln!(out, "\nRequests: {} sent, {} succeeded", summary.total(), summary.succeeded())?;
    for (reason, count) in &summary.by_reason {
        writeln!(out, "  refused, {reason}: {count}")?;
    }
    for (step, count) in &summary.by_failure {
        writeln!(out, "  no response, {step}: {count}")?;
    }
    let millis = |quantile| summary.latency.value_at_quantile(quantile) as f64 / 1_000.0;
    writeln!(
        out,
        "Latency from the intended time of sending: p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        millis(0.5),
        millis(0.9),
        millis(0.99),
        summary.latency.max() as f64 / 1_000.0
    )
}

/// Converts a path to a command-line argument.
fn path_arg(path: &Path) -> String {
    path.display().to_string()
}
