//! Stand-ins as processes of their own.
//!
//! Prints one line of JSON with the bound addresses and serves until it is killed. With `--end-with-stdin` it also ends
//! when its standard input closes, so that it does not outlive a parent that was killed.

use std::{
    error::Error,
    io::{Write, copy, sink, stdin, stdout},
    net::SocketAddr,
    thread::park,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sapphireknot_standin::{
    backend::{BackendFaults, BackendPlan, BackendServer},
    hosts::HostListServer,
    store::StoreServer,
};
use serde::Serialize;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("store", matches)) => run_store(matches),
        Some(("hosts", matches)) => run_hosts(matches),
        Some(("backend", matches)) => run_backend(matches),
        _ => Err("unknown subcommand".into()),
    }
}

fn command() -> Command {
    Command::new("standin")
        .about("Stand-ins for the platform and backend servers")
        .subcommand_required(true)
        .subcommand(subcommand("store", "Key-value store"))
        .subcommand(subcommand("hosts", "Host list"))
        .subcommand(
            subcommand("backend", "Backend server")
                .arg(json_arg("plan", "Properties as JSON; missing ones take their defaults"))
                .arg(json_arg("faults", "Faults at the start as JSON")),
        )
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address_arg("listen", "Address of the service"))
        .arg(address_arg("control", "Address for control calls"))
        .arg(
            Arg::new("end-with-stdin")
                .long("end-with-stdin")
                .help("End when standard input closes")
                .action(ArgAction::SetTrue),
        )
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(SocketAddr);
    Arg::new(name).long(name).help(help).default_value("127.0.0.1:0").value_parser(parser)
}

fn json_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value("{}")
}

fn address(matches: &ArgMatches, name: &str) -> Result<SocketAddr, Box<dyn Error>> {
    matches.get_one(name).copied().ok_or_else(|| format!("--{name} is missing").into())
}

fn json_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("{}", String::as_str)
}

fn run_store(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let server = StoreServer::start(address(matches, "listen")?, address(matches, "control")?)?;
    announce_and_wait(matches, &server.addresses())
}

fn run_hosts(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let server = HostListServer::start(address(matches, "listen")?, address(matches, "control")?)?;
    announce_and_wait(matches, &server.addresses())
}

fn run_backend(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let plan: BackendPlan = serde_json::from_str(json_text(matches, "plan"))?;
    let faults: BackendFaults = serde_json::from_str(json_text(matches, "faults"))?;
    let (listen, control) = (address(matches, "listen")?, address(matches, "control")?);
    let server = BackendServer::start(plan, listen, control)?;
    server.state().set_faults(faults);
    announce_and_wait(matches, &server.addresses())
}

fn announce_and_wait<T>(matches: &ArgMatches, addresses: &T) -> Result<(), Box<dyn Error>>
where
    T: Serialize,
{
    let mut out = stdout().lock();
    writeln!(out, "{}", serde_json::to_string(addresses)?)?;
    out.flush()?;
    if matches.get_flag("end-with-stdin") {
        copy(&mut stdin().lock(), &mut sink())?;
        return Ok(());
    }
    loop {
        park();
    }
}
