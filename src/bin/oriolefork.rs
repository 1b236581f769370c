//! The operators' command.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    oriolefork::cli::run(env::args_os().skip(1).collect())
}
