//! Command line interface for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    sapphireknot_cli::run(std::env::args_os(), &mut std::io::stdout(), &mut std::io::stderr())
        .into()
}
