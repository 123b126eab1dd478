//! Daemon of an entry host.

use std::{error::Error, process::ExitCode};

use sapphireknotd::{
    daemon, logging,
    options::{self, OptionError},
};

fn main() -> ExitCode {
    let options = match options::load(std::env::args_os()) {
        Ok(options) => options,
        Err(OptionError::Arguments(err)) => err.exit(),
        Err(err) => return fail(&err),
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    if let Err(err) = logging::install(options.settings.log()) {
        return fail(&err);
    }
    match daemon::run_process(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!(error:% = err; "daemon ended");
            fail(&err)
        }
    }
}

fn fail(err: &dyn Error) -> ExitCode {
    eprintln!("sapphireknotd: {err}");
    ExitCode::FAILURE
}
