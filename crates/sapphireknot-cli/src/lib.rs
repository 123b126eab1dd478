//! Command line for operators.
//!
//! [`options`] turns arguments, the options file and defaults into one tree, [`commands`] carries it out against a
//! host's operator address with [`client`], and [`report`] writes the result as text or JSON. Results go to standard
//! output, errors to standard error.

pub mod client;
pub mod commands;
pub mod exit;
pub mod options;
pub mod report;

use std::{ffi::OsString, io::Write};

use crate::{exit::ExitStatus, options::CliOptions, report::ReportWriter};

/// Runs one command and says how the process ends.
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
            // Nothing is left to report to if standard error is closed.
            let _ = writeln!(errors, "error: {err}");
            err.exit_status()
        }
    }
}
