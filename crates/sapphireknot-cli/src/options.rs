//! Options from arguments, environment, options file and defaults.
//!
//! Arguments take precedence over environment variables, these over the options file, and the file over the defaults.

use std::{
    ffi::OsString,
    fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use sapphireknot::{ids::NoteId, time::ClockSpan};
use serde::Deserialize;
use thiserror::Error;

use crate::exit::ExitStatus;

/// Default operator address.
const DEFAULT_HOST: &str = "127.0.0.1:7003";
/// Default timeout of a call.
const DEFAULT_TIMEOUT: ClockSpan = ClockSpan::from_secs(5);

const EXIT_CODES: &str = "\
Exit codes:
  0  done, accepted, or in force on every live host
  1  a file has problems, or the change was refused
  2  the arguments or a file could not be read
  3  the host could not be reached or answered with an error
  4  the outcome is not known yet, or a host has not reported the change yet
  5  an item of the release note was reverted";

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON document.
    Json,
}

/// Subcommand with its arguments.
#[derive(Debug)]
pub enum CliCommand {
    /// Checks a file without calling a host.
    Check {
        /// Configuration document or release note.
        file: PathBuf,
        /// Document that the release note is applied to on trial.
        document: Option<PathBuf>,
    },
    /// Stores the first configuration.
    Init {
        /// Configuration document.
        file: PathBuf,
    },
    /// Submits a release note.
    Apply {
        /// Release note.
        file: PathBuf,
        /// Maximum time to wait until no item is pending.
        wait: Option<ClockSpan>,
    },
    /// Reports the state of a host or a release note.
    Status {
        /// Release note; `None` reports the host.
        note: Option<NoteId>,
    },
    /// Prints the configuration in force.
    Config,
    /// Prints the SHA-256 digest of a key read from standard input.
    Digest,
}

/// Options of one run of the command line.
#[derive(Debug)]
pub struct CliOptions {
    /// Operator address of the host to call.
    pub host: SocketAddr,
    /// File that holds the operators' token.
    pub token_file: Option<PathBuf>,
    /// Timeout of a call.
    pub timeout: ClockSpan,
    /// Output format.
    pub format: OutputFormat,
    /// Command to execute.
    pub command: CliCommand,
}

/// Contents of the options file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OptionsFile {
    host: Option<SocketAddr>,
    token_file: Option<PathBuf>,
    timeout: Option<ClockSpan>,
    output: Option<OutputFormat>,
}

/// Invalid options, or a request for help or the version.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// The arguments are invalid, or ask for help or the version.
    #[error(transparent)]
    Arguments(#[from] clap::Error),
    /// The options file cannot be read or parsed.
    #[error("options file {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        reason: String,
    },
}

impl OptionsError {
    /// Writes the error, or the requested help or version, and returns the exit status.
    pub fn write<O, E>(&self, output: &mut O, errors: &mut E) -> ExitStatus
    where
        O: Write,
        E: Write,
    {
        match self {
            Self::Arguments(err) if !err.use_stderr() => {
                let _ = write!(output, "{err}");
                ExitStatus::Success
            }
            Self::Arguments(err) => {
                let _ = write!(errors, "{err}");
                ExitStatus::Usage
            }
            Self::File { .. } => {
                let _ = writeln!(errors, "error: {self}");
                ExitStatus::Usage
            }
        }
    }
}

impl CliOptions {
    /// Parses the arguments and reads the options file.
    pub fn parse<I>(args: I) -> Result<Self, OptionsError>
    where
        I: IntoIterator<Item = OsString>,
    {
        let matches = build_command().try_get_matches_from(args)?;
        let file = match matches.get_one::<PathBuf>("options") {
            Some(path) => read_options_file(path)?,
            None => OptionsFile::default(),
        };
        let default_host = SocketAddr::from(([127, 0, 0, 1], 7003));
        let format = match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => OutputFormat::Json,
            Some(_) => OutputFormat::Text,
            None => file.output.unwrap_or(OutputFormat::Text),
        };
        Ok(Self {
            host: matches.get_one("host").copied().or(file.host).unwrap_or(default_host),
            token_file: matches.get_one("token-file").cloned().or(file.token_file),
            timeout: matches
                .get_one("timeout")
                .copied()
                .or(file.timeout)
                .unwrap_or(DEFAULT_TIMEOUT),
            format,
            command: parse_command(&matches),
        })
    }
}

fn read_options_file(path: &Path) -> Result<OptionsFile, OptionsError> {
    let failed = |reason: String| OptionsError::File { path: path.display().to_string(), reason };
    let text = fs::read_to_string(path).map_err(|err| failed(err.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|err| failed(err.to_string()))
}

fn parse_command(matches: &ArgMatches) -> CliCommand {
    let path =
        |matches: &ArgMatches, name| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    match matches.subcommand() {
        Some(("check", it)) => {
            CliCommand::Check { file: path(it, "file"), document: it.get_one("document").cloned() }
        }
        Some(("init", it)) => CliCommand::Init { file: path(it, "file") },
        Some(("apply", it)) => {
            CliCommand::Apply { file: path(it, "file"), wait: it.get_one("wait").copied() }
        }
        Some(("status", it)) => CliCommand::Status { note: it.get_one("note").cloned() },
        Some(("digest", _)) => CliCommand::Digest,
        _ => CliCommand::Config,
    }
}

/// Builds the definition of the command line.
pub fn build_command() -> Command {
    Command::new("sapphireknot")
        .about("Configures and observes hosts of sapphireknot")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands([
            Command::new("check")
                .about("Checks a configuration document or a release note and lists every problem")
                .arg(file_arg("file", "Document or release note (YAML)"))
                .arg(
                    Arg::new("document")
                        .long("document")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Document to which the release note is applied on trial"),
                ),
            Command::new("init")
                .about("Stores the first configuration; refused if there is one")
                .arg(file_arg("file", "Configuration document (YAML)")),
            Command::new("apply")
                .about("Submits a release note, which takes effect whole or not at all")
                .arg(file_arg("file", "Release note (YAML)"))
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SPAN")
                        .value_parser(value_parser!(ClockSpan))
                        .help("Waits this long until no item is pending, such as 30s"),
                ),
            Command::new("status")
                .about("Reports the state of the host, or of a release note")
                .arg(
                    Arg::new("note")
                        .value_name("NOTE")
                        .value_parser(value_parser!(NoteId))
                        .help("Identifier of a release note"),
                ),
            Command::new("config").about("Prints the configuration in force on the host"),
            Command::new("digest")
                .about("Reads a key from standard input and prints its SHA-256 for a document"),
        ])
}

fn global_args() -> [Arg; 5] {
    [
        Arg::new("host")
            .long("host")
            .value_name("ADDRESS")
            .env("SAPPHIREKNOT_HOST")
            .value_parser(value_parser!(SocketAddr))
            .help(format!("Operator address of any host, IP and port [default: {DEFAULT_HOST}]")),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .env("SAPPHIREKNOT_TOKEN_FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File that holds the operators' token"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SPAN")
            .value_parser(value_parser!(ClockSpan))
            .help("Time limit of one call [default: 5s]"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .value_parser(PossibleValuesParser::new(["text", "json"]))
            .help("Form of the output [default: text]"),
        Arg::new("options")
            .long("options")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("YAML file with host, token_file, timeout and output"),
    ]
    .map(|it| it.global(true).action(ArgAction::Set))
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").required(true).value_parser(value_parser!(PathBuf)).help(help)
}
