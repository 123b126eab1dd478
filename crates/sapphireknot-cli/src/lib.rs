//! Command line interface for operators.
//!
//! [`options`] combines arguments, environment, options file and defaults. [`commands`] executes the command and calls
//! a host's operator address with [`client`]. [`report`] writes the result as text or JSON. Results are written to
//! standard output, errors to standard error.

pub mod client;
pub mod commands;
pub mod exit;
pub mod options;
pub mod report;

use std::{ffi::OsString, io::Write};

use crate::{exit::ExitStatus, options::CliOptions, report::ReportWriter};

/// Runs one command and returns the exit status.
pub fn run<I, O, E>(args: I, output: &mut O, errors: &mut E) -> ExitStatus
where
    I: IntoIterator<Item = OsString>,
    O: Write,
    E: Write,
{
    let options = match CliOptions::parse(args) {
        Ok(options) => options,
        Err(err) => return err.write(output, errors),
    };
    let mut writer = ReportWriter::new(options.format, output);
    match commands::execute(&options, &mut writer) {
        Ok(status) => status,
        Err(err) => {
            // The error cannot be reported if standard error is closed.
            let _ = writeln!(errors, "error: {err}");
            err.exit_status()
        }
    }
}
