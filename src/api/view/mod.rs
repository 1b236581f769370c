//! Model types of the interface's requests and responses.
//!
//! Instances forward these types, encoded with `bincode`, to the owner of their failure domain.
//! Their JSON form is defined in [`crate::api::wire`].

pub mod alert;
pub mod job;
pub mod preset;
pub mod quota;
pub mod status;
pub mod worker;

use serde::{Deserialize, Serialize};

use crate::domain;

/// Identity of the responding instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance from its settings.
    pub instance: String,
    /// Random number that the process draws when it starts.
    pub run: u64,
    /// Failure domain of the instance.
    pub domain: domain::Name,
}

/// Whether an instance should receive traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the instance is ready.
    pub ready: bool,
    /// Reasons why the instance is not ready, one sentence each.
    pub reasons: Vec<String>,
}

/// Which page of a list to return.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRequest<C> {
    /// Cursor of the previous page; absent for the first page.
    pub after: Option<C>,
    /// Maximum number of items, at least one.
    pub limit: usize,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page<T, C> {
    /// Items in list order.
    pub items: Vec<T>,
    /// Cursor for the `after` of the next page; absent on the last page.
    pub next: Option<C>,
}
