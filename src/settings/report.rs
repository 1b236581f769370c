//! What a check of the settings found.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use derive_more::{Deref, Display, IntoIterator};
use serde::Serialize;

/// Exit code of a program that was given invalid settings.
pub const INVALID: u8 = 2;

/// One thing wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    path: String,
    fault: String,
    mend: String,
    #[serde(skip)]
    other: Option<&'static str>,
}

impl Problem {
    pub(super) fn new(
        path: impl Into<String>,
        fault: impl Into<String>,
        mend: impl Into<String>,
    ) -> Self {
        Self { path: path.into(), fault: fault.into(), mend: mend.into(), other: None }
    }

    /// Names a second setting that takes part in the problem.
    pub(super) fn beside(self, other: &'static str) -> Self {
        Self { other: Some(other), ..self }
    }

    /// Every setting that takes part in the problem.
    pub(super) fn paths(&self) -> impl Iterator<Item = &str> {
        [self.path.as_str()].into_iter().chain(self.other)
    }

    /// Where it lies, such as `peers[2].address`; empty for the file as a whole.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// What is wrong.
    pub fn fault(&self) -> &str {
        &self.fault
    }

    /// What to do about it.
    pub fn mend(&self) -> &str {
        &self.mend
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.fault, self.mend)
    }
}

/// Everything wrong with the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deref, IntoIterator, Display)]
#[serde(transparent)]
#[display("{} problems", _0.len())]
pub struct Problems(Vec<Problem>);

impl std::error::Error for Problems {}

impl Problems {
    pub(super) fn extend(&mut self, found: impl IntoIterator<Item = Problem>) {
        self.0.extend(found);
    }
}

impl From<Problem> for Problems {
    fn from(only: Problem) -> Self {
        Self(vec![only])
    }
}

/// The outcome of checking one settings file; valid when it lists no problem.
///
/// `Display` is for people; `Serialize` gives the same as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file that was checked.
    pub file: PathBuf,
    /// Whether an instance would start with it.
    pub valid: bool,
    /// Everything wrong with it.
    pub problems: Problems,
}

impl std::error::Error for Report {}

impl Report {
    pub(super) fn new(file: &Path, problems: Problems) -> Self {
        Self { file: file.to_owned(), valid: problems.is_empty(), problems }
    }

    /// Zero when the settings are valid, else [`INVALID`].
    pub fn exit_code(&self) -> ExitCode {
        if self.valid { ExitCode::SUCCESS } else { ExitCode::from(INVALID) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        if self.valid {
            return write!(f, "{file}: valid");
        }
        let count = self.problems.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        write!(f, "{file}: {count} {noun}, nothing was started")?;
        self.problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}
