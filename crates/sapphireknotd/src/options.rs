//! Command line of the daemon.
//!
//! Arguments override fields of the settings file before validation: the command line takes precedence over the file
//! and the file over the defaults, and all values are validated in the same way.

use std::{ffi::OsString, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sapphireknot::config::ConfigProblem;
use serde_json::Value;
use thiserror::Error;

use crate::{
    entry::settings::EntrySettings,
    settings::{HostSettings, LogSettings},
    settings_file::{FieldOverride, SettingsFile},
};

/// Arguments that override a field: argument name, path in the settings tree, help text.
const OVERRIDES: [(&str, &str, &str); 12] = [
    ("host", "host", "Identifier of this host"),
    ("region", "region", "Region of this host"),
    ("datacentre", "datacentre", "Data centre of this host"),
    ("listen-caller", "listen.caller", "Address to listen at for callers"),
    ("listen-peer", "listen.peer", "Address to listen at for other hosts"),
    ("listen-operator", "listen.operator", "Address to listen at for operators"),
    ("advertise-caller", "advertise.caller", "Address that callers use"),
    ("advertise-peer", "advertise.peer", "Address that other hosts use"),
    ("store", "platform.store", "Address of the key-value store"),
    ("host-list", "platform.host_list", "Address of the host list"),
    ("log-level", "log.level", "Least level of logs: error, warn, info, debug or trace"),
    ("otlp", "telemetry.otlp", "Address of an OTLP receiver"),
];

/// Settings of a host on either kind of platform.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonSettings {
    /// The system manages configuration and membership itself.
    Standalone(Box<HostSettings>),
    /// The platform manages configuration, server registrations and hosts.
    Managed(Box<EntrySettings>),
}

impl DaemonSettings {
    /// Returns the log settings.
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::Standalone(settings) => &settings.log,
            Self::Managed(settings) => &settings.log,
        }
    }

    /// Validates a settings tree; the field `managed` selects the kind of platform.
    pub fn from_tree(tree: Value) -> Result<Self, Vec<ConfigProblem>> {
        if tree.get("managed").is_some() {
            EntrySettings::from_tree(tree).map(|it| Self::Managed(Box::new(it)))
        } else {
            HostSettings::from_tree(tree).map(|it| Self::Standalone(Box::new(it)))
        }
    }
}

/// Parsed command line and settings.
#[derive(Debug)]
pub struct DaemonOptions {
    /// Settings merged from the command line, the file and the defaults.
    pub settings: DaemonSettings,
    /// Settings file that was validated.
    pub file: SettingsFile,
    /// Whether to validate the settings and exit.
    pub check: bool,
}

/// Error while loading the options.
#[derive(Debug, Error)]
pub enum OptionError {
    /// The command line is invalid or requests help.
    #[error("{0}")]
    Arguments(#[from] clap::Error),
    /// The settings file could not be read.
    #[error("read settings file {path}: {source}")]
    File {
        /// Path of the settings file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("check settings: {}", list_problems(.0))]
    Settings(Vec<ConfigProblem>),
}

fn list_problems(problems: &[ConfigProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(|it| format!("\n  {it}")).collect();
    lines.concat()
}

/// Defines the command line.
pub fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in YAML");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and exits");
    let overrides =
        OVERRIDES.map(|(name, _, help)| Arg::new(name).long(name).value_name("VALUE").help(help));
    Command::new("sapphireknotd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Daemon of an entry host")
        .arg(settings)
        .arg(check)
        .args(overrides)
}

/// Parses the command line and loads the settings file.
pub fn load<I, T>(arguments: I) -> Result<DaemonOptions, OptionError>
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = command().try_get_matches_from(arguments)?;
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let file = SettingsFile::open(path.clone(), read_overrides(&matches));
    let file = file.map_err(|source| OptionError::File { path, source })?;
    let settings = file.tree().and_then(DaemonSettings::from_tree);
    let settings = settings.map_err(OptionError::Settings)?;
    Ok(DaemonOptions { settings, file, check: matches.get_flag("check") })
}

/// Collects the fields that the command line overrides.
fn read_overrides(matches: &ArgMatches) -> Vec<FieldOverride> {
    let overrides = OVERRIDES.iter().filter_map(|(name, field, _)| {
        let value = matches.get_one::<String>(name)?.clone();
        Some(FieldOverride { field, value })
    });
    overrides.collect()
}
