//! Runs one stand-in of the platform or a backend server as a separate process.
//!
//! A stand-in prints its bound addresses as one line of JSON and serves until it is killed. The subcommand `exec`
//! replaces itself with another program that the kernel kills when its parent exits, so that no process outlives a
//! killed test.

use std::{
    error::Error,
    ffi::OsString,
    io::{Write, stdout},
    net::SocketAddr,
    os::unix::process::CommandExt,
    process,
    thread::park,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
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
        Some(("exec", matches)) => exec_program(matches),
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
        .subcommand(
            Command::new("exec")
                .about("Runs a program until it or the parent process ends")
                .arg(
                    Arg::new("parent")
                        .long("parent")
                        .help("Process id of the parent")
                        .required(true)
                        .value_parser(value_parser!(i32)),
                )
                .arg(
                    Arg::new("command")
                        .help("Program with its arguments")
                        .required(true)
                        .num_args(1..)
                        .trailing_var_arg(true)
                        .allow_hyphen_values(true)
                        .value_parser(value_parser!(OsString)),
                ),
        )
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address_arg("listen", "Address of the service"))
        .arg(address_arg("control", "Address for control calls"))
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

fn json_or_empty<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("{}", String::as_str)
}

fn run_store(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let server = StoreServer::start(address(matches, "listen")?, address(matches, "control")?)?;
    print_addresses_and_wait(&server.addresses())
}

fn run_hosts(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let server = HostListServer::start(address(matches, "listen")?, address(matches, "control")?)?;
    print_addresses_and_wait(&server.addresses())
}

fn run_backend(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let plan: BackendPlan = serde_json::from_str(json_or_empty(matches, "plan"))?;
    let faults: BackendFaults = serde_json::from_str(json_or_empty(matches, "faults"))?;
    let (listen, control) = (address(matches, "listen")?, address(matches, "control")?);
    let server = BackendServer::start(plan, listen, control)?;
    server.state().set_faults(faults);
    print_addresses_and_wait(&server.addresses())
}

fn exec_program(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    set_parent_process_death_signal(Some(Signal::KILL))?;
    // The kernel sends no signal if the parent exited before the call above.
    let parent = matches.get_one("parent").copied().and_then(Pid::from_raw);
    if getppid() != parent {
        return Err("the parent process has ended".into());
    }
    let mut args = matches.get_many::<OsString>("command").into_iter().flatten();
    let program = args.next().ok_or("a program is missing")?;
    Err(process::Command::new(program).args(args).exec().into())
}

fn print_addresses_and_wait<T>(addresses: &T) -> Result<(), Box<dyn Error>>
where
    T: Serialize,
{
    let mut out = stdout().lock();
    writeln!(out, "{}", serde_json::to_string(addresses)?)?;
    out.flush()?;
    loop {
        park();
    }
}
