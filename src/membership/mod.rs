//! The border to the platform's lagging list of instances, entry and upstream alike.

use std::net::SocketAddr;

use derive_more::Display;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::domain;

pub mod follow;
pub mod http;
pub mod probe;
pub mod seed;
pub mod view;
pub mod wire;

/// What an instance on the list does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Role {
    /// An entry instance of the scheduler; the address is the one for peers.
    Entry,
    /// An upstream that answers the quick requests of one service.
    Runner {
        /// Service whose requests it takes.
        service: String,
        /// Requests it works on at once.
        slots: u32,
        /// Connections it accepts.
        connections: u32,
    },
    /// An upstream that runs tasks under leases.
    Worker {
        /// Rack it stands in.
        rack: String,
    },
}

/// What the list says of an instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In use.
    #[display("live")]
    Live,
    /// About to go; takes no new work.
    #[display("leaving")]
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// Name, unique within its role and failure domain.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Failure domain it stands in.
    pub domain: domain::Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// A list that could not be fetched.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=membership.list peer={peer} cause={cause}")]
pub struct Error {
    /// Address of the list's server.
    pub peer: SocketAddr,
    /// Cause as text.
    pub cause: String,
}

/// Way to fetch the list.
pub trait Source {
    /// Fetches the list as it stands.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer in time or answers with something else than a list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>>;
}
