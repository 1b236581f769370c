//! `oriolefork dev`: a whole small site in one process, to see the scheduler at work.
//!
//! Stand-ins of the platform and of upstreams run on a thread of their own; the entry instances of
//! three failure domains share the calling thread. Sample jobs of every kind run to their end, and
//! the result tells waiting time, packing, control cost and alerts.

mod jobs;
mod report;
mod site;
mod upstreams;

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

pub use report::Summary;

use crate::cli::failure::Failure;
use crate::{entry, telemetry};

/// Longest that the whole may take.
const LIMIT: Duration = Duration::from_secs(90);

/// A trial that could not be carried through.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// The stand-ins could not start.
    #[display("step=dev.upstreams cause={_0}")]
    Upstreams(std::io::Error),
    /// An entry instance could not start.
    #[display("{_0}")]
    Entry(entry::Error),
    /// Metrics could not start.
    #[display("{_0}")]
    Telemetry(telemetry::Error),
    /// A call failed.
    #[display("step=dev.call cause={} ({})", _0.what, _0.means)]
    #[from(ignore)]
    Call(#[error(not(source))] Box<Failure>),
    /// The site or its jobs took longer than they may.
    #[display("step=dev.{_0} cause=not done within {} s", LIMIT.as_secs())]
    #[from(ignore)]
    Late(#[error(not(source))] &'static str),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::Call(Box::new(failure))
    }
}

/// Starts the site, runs the sample jobs and stops the site.
///
/// # Errors
///
/// Fails when a part cannot start, a call fails or the time limit passes.
pub async fn run() -> Result<Summary, Error> {
    let recorder = Rc::new(telemetry::start()?);
    let upstreams = upstreams::start()?;
    let site = site::start(&upstreams, &recorder).await?;
    let summary = monoio::time::timeout(LIMIT, jobs::run(&site)).await;
    site.stop().await;
    upstreams.stop();
    summary.unwrap_or(Err(Error::Late("jobs")))
}
