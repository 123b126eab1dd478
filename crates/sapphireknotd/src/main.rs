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
    let result = daemon::run_process(options);
    if let Err(err) = &result {
        log::error!(error:% = err; "daemon ended");
    }
    logging::flush();
    result.map_or_else(|err| fail(&err), |()| ExitCode::SUCCESS)
}

fn fail(err: &dyn Error) -> ExitCode {
    eprintln!("sapphireknotd: {err}");
    ExitCode::FAILURE
}
