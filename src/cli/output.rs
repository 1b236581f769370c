//! What the command prints.

use std::io::{self, Write};
use std::process::ExitCode;

use serde::Serialize;

use crate::cli::failure::{Code, Failure};
use crate::cli::text::{clean, clean_json};

/// What a command found.
#[derive(Clone, Debug)]
pub struct Report {
    /// The answer in JSON.
    pub json: serde_json::Value,
    /// The answer for people, cleaned for the terminal.
    pub text: String,
    /// How the process exits.
    pub code: Code,
}

impl Report {
    /// A report of something done.
    pub fn done(answer: &impl Serialize, text: String) -> Self {
        // The wire types have text keys only, so that they always become JSON.
        let json = serde_json::to_value(answer).unwrap_or_default();
        Self { json, text, code: Code::Done }
    }
}

/// Prints a report.
pub fn report(report: &Report, json: bool) -> ExitCode {
    let text = if json { pretty(&report.json) } else { report.text.clone() };
    print(&mut io::stdout().lock(), &text);
    exit(report.code)
}

/// Prints a failure, three lines on the standard error.
pub fn failure(failure: &Failure) -> ExitCode {
    let Failure { code, what, means, next, .. } = failure;
    let [what, means, next] = [what, means, next].map(|text| clean(text.trim_end()));
    print(&mut io::stderr().lock(), &format!("error: {what}\nmeans: {means}\nnext:  {next}\n"));
    exit(*code)
}

/// Prints a note beside the answer.
pub fn note(text: &str) {
    print(&mut io::stderr().lock(), &format!("{}\n", clean(text)));
}

/// Prints the help.
pub fn help(text: &str) -> ExitCode {
    print(&mut io::stdout().lock(), &format!("{text}\n"));
    exit(Code::Done)
}

fn pretty(json: &serde_json::Value) -> String {
    format!("{}\n", clean_json(&format!("{json:#}")))
}

/// Writes all of `text`; a reader that has gone, as `head` does, is no failure.
fn print(to: &mut impl Write, text: &str) {
    let _ = to.write_all(text.as_bytes()).and_then(|()| to.flush());
}

fn exit(code: Code) -> ExitCode {
    ExitCode::from(code as u8)
}
