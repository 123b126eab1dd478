//! Execution of the commands.

mod change;
mod check;
mod query;

use std::{fs, io, path::Path};

use thiserror::Error;

use crate::{
    client::{ClientError, HostClient},
    exit::ExitStatus,
    options::{CliCommand, CliOptions},
    report::ReportWriter,
};

/// Failed command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// No token file was specified.
    #[error("no token: name the file that holds it with --token-file or SAPPHIREKNOT_TOKEN_FILE")]
    MissingToken,
    /// A call to the host failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Reading or writing a standard stream failed, or the runtime could not be started.
    #[error("write the result: {0}")]
    Output(#[from] io::Error),
    /// The configuration cannot be encoded as YAML.
    #[error("write the configuration: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
}

impl CommandError {
    /// Exit status for the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. } | Self::MissingToken => ExitStatus::Usage,
            Self::Client(_) | Self::Output(_) | Self::Yaml(_) => ExitStatus::Unreachable,
        }
    }
}

/// Executes the command given in `options`.
pub fn execute(
    options: &CliOptions,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    match &options.command {
        CliCommand::Check { file, document } => check::check(file, document.as_deref(), writer),
        CliCommand::Digest => check::digest(writer),
        command => block_on(execute_remote(options, command, writer))?,
    }
}

/// Executes a command that calls a host.
async fn execute_remote(
    options: &CliOptions,
    command: &CliCommand,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let client = HostClient::new(options.host, read_token(options)?, options.timeout.0);
    match command {
        CliCommand::Init { file } => change::init(&client, file, writer).await,
        CliCommand::Apply { file, wait } => change::apply(&client, file, *wait, writer).await,
        CliCommand::Status { note: Some(note) } => query::note_status(&client, note, writer).await,
        CliCommand::Status { note: None } => query::host_status(&client, writer).await,
        _ => query::config(&client, writer).await,
    }
}

fn block_on<F>(future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.display().to_string(), source })
}

fn read_token(options: &CliOptions) -> Result<String, CommandError> {
    let path = options.token_file.as_deref().ok_or(CommandError::MissingToken)?;
    Ok(read_file(path)?.trim().to_owned())
}
