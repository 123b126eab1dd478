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
    if let Err(err) = logging::install(&options.settings.log) {
        return fail(&err);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail(&err),
    };
    let result = runtime.block_on(daemon::run(options.settings));
    // A second signal must not wait for blocking tasks.
    runtime.shutdown_background();
    match result {
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
