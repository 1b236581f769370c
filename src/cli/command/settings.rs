//! `check-settings`.

use std::path::Path;

use crate::cli::failure::Code;
use crate::cli::output::Report;
use crate::cli::text::clean;
use crate::settings;

/// Checks a settings file.
pub fn check(path: &Path) -> Report {
    let found = settings::check(path, &[]);
    let lines: Vec<String> =
        found.to_string().lines().map(|line| clean(line).into_owned() + "\n").collect();
    let code = if found.valid { Code::Done } else { Code::Usage };
    Report { code, ..Report::done(&found, lines.concat()) }
}
