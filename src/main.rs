//! The `kumquatpost` binary: runs the command of the command line and maps its result to an exit code.

use std::process::ExitCode;

use kumquatpost::cli;

fn main() -> ExitCode {
    match cli::parse(std::env::args_os().skip(1).collect()).and_then(cli::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kumquatpost: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
