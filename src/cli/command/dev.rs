//! `dev`.

use crate::cli::failure::{Code, Failure};
use crate::cli::output::Report;
use crate::dev;

/// Runs a small site with sample jobs.
pub async fn run() -> Result<Report, Failure> {
    let summary = dev::run().await.map_err(|error| match error {
        dev::Error::Call(failure) => *failure,
        other => Failure {
            code: Code::Internal,
            what: other.to_string(),
            means: "the trial did not come to its end; nothing outside this process was touched"
                .to_owned(),
            next: "run it again on a machine with less to do".to_owned(),
            domain: None,
        },
    })?;
    let text = summary.to_string();
    let code = if summary.is_as_expected() { Code::Done } else { Code::JobFailed };
    Ok(Report { code, ..Report::done(&summary, text) })
}
