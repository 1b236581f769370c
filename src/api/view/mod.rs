//! What callers and operators are told, and what they ask for, as model types.
//!
//! The types serialise with `bincode` too, so that an instance can pass them on to the owner of its
//! failure domain. Their form in JSON is that of [`crate::api::wire`].

pub mod alert;
pub mod job;
pub mod preset;
pub mod quota;
pub mod status;
pub mod worker;

use serde::{Deserialize, Serialize};

use crate::domain;

/// The instance that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name from the settings.
    pub instance: String,
    /// Random number drawn at start.
    pub run: u64,
    /// Failure domain it stands in.
    pub domain: domain::Name,
}

/// Whether an instance should get traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it should.
    pub ready: bool,
    /// Why not, one sentence each.
    pub reasons: Vec<String>,
}

/// Which part of a list to show.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRequest<C> {
    /// Last item of the page before, absent for the first page.
    pub after: Option<C>,
    /// Largest number of items; at least one.
    pub limit: usize,
}

/// One part of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page<T, C> {
    /// Its items in order.
    pub items: Vec<T>,
    /// What to name as `after` for the next page; absent on the last one.
    pub next: Option<C>,
}
