//! The operators' command, `oriolefork`.
//!
//! Each subcommand asks an entry instance over HTTP and prints a table for people or, with
//! `--json`, the answer itself. Failures say what happened, what it means and what to do next.

pub mod command;
pub mod entries;
pub mod failure;
pub mod flags;
pub mod output;
pub mod text;

use std::ffi::OsString;
use std::process::ExitCode;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::cli::failure::{Code, Failure};
use crate::cli::flags::Oriolefork;

/// Runs the command with its arguments, without the program's name, to its exit code.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let flags = match Oriolefork::from_vec(arguments) {
        Ok(flags) => flags,
        // Prints the help asked for, or what is wrong with the arguments.
        Err(error) if error.is_help() => return output::help(&error.to_string()),
        Err(error) => return output::failure(&Failure::usage(error.to_string())),
    };
    let json = flags.json;
    match block_on(command::run(flags)) {
        Ok(report) => output::report(&report, json),
        Err(failure) => output::failure(&failure),
    }
}

fn block_on<F>(future: F) -> Result<output::Report, Failure>
where
    F: Future<Output = Result<output::Report, Failure>>,
{
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let broken = |cause| Failure {
        code: Code::Internal,
        what: format!("the runtime cannot start: {cause}"),
        means: "this machine refuses what every program needs; nothing was sent".to_owned(),
        next: "check its limit of open files (ulimit -n) and try again".to_owned(),
        domain: None,
    };
    runtime.map_err(broken)?.block_on(future)
}
