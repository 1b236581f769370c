//! Quick requests of services, answered by runners.
//!
//! [`Router`] decides and touches nothing outside: requests, answers and the list of instances go
//! in, [`Effect`]s come out, which [`Proxy`] carries out. [`share`] divides the
//! slots of each runner among the entry instances of a failure domain.

pub mod attempt;
pub mod budget;
pub mod demand;
pub mod handler;
pub mod health;
pub mod http;
pub mod latency;
pub mod peer;
pub mod policy;
pub mod proxy;
pub mod queue;
pub mod request;
pub mod router;
pub mod service;
pub mod share;
pub mod transport;
pub mod upstream;
pub mod wire;

pub use policy::Policy;
pub use proxy::Proxy;
pub use request::{Request, RequestOutcome};
pub use router::{Effect, Router};
pub use transport::RunnerTransport;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Name of a runner, unique in its failure domain.
#[derive(
    Clone,
    Debug,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
#[from(&str, String)]
pub struct Name(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
