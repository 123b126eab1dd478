//! A first look: three hosts in three regions with the platform and backend servers in one program.
//!
//! Callers send requests on loopback while an operator applies a release note; the report shows what they were told. The same
//! works with separate processes: `docs/running.md`.

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

use self::cluster::{KEYS, QuickScene, RELEASE_NOTE};

/// Time limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);

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
    say("Starting the platform, 6 backend servers and 3 hosts in 3 regions.")?;
    let scene = QuickScene::start().await?;
    scene.command(&["init", &scene.write_document()?]).await?;
    scene.wait_ready().await?;

    say(&format!("Sending {} requests a second for {span:?}.", number("rate")))?;
    let plan = load_plan(number("rate") as f64, span, number("seed"));
    let callers: Vec<_> = KEYS.iter().map(|(name, key)| caller(&scene, name, key)).collect();
    let load = tokio::spawn(async move { plan.run(&callers).await });
    tokio::time::sleep(span / 2).await;

    say("Applying a release note while the requests run:")?;
    let note = scene.write_file("note.yaml", RELEASE_NOTE)?;
    let status = scene.command(&["apply", &note, "--wait", "10s"]).await?;
    let summary = load.await?;
    say("\nState of the first host:")?;
    scene.command(&["status"]).await?;
    report(&summary)?;
    scene.stop().await;
    if status != ExitStatus::Success {
        return Err("the release note is not in force".into());
    }
    if summary.succeeded() == 0 {
        return Err("no request succeeded".into());
    }
    Ok(())
}

fn say(text: &str) -> std::io::Result<()> {
    writeln!(stdout().lock(), "{text}")
}

fn caller(scene: &QuickScene, organisation: &str, key: &str) -> Arc<LookupCaller> {
    let plan = CallerPlan {
        client: std::net::Ipv4Addr::LOCALHOST.into(),
        organisation: organisation.to_owned(),
        key: Some(key.to_owned()),
        entries: scene.caller_addresses(),
        direct: false,
    };
    Arc::new(LookupCaller::new(plan, REQUEST_LIMIT))
}

/// Both organisations fetch reports and book; the second one loses its key in the middle.
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

/// Text of a path for an argument.
fn path_text(path: &Path) -> String {
    path.display().to_string()
}
