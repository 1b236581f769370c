//! The platform's list of instances, which may lag: entry instances and upstreams.

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

/// Role of an instance on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Role {
    /// An entry instance of the scheduler; its address is the one for peers.
    Entry,
    /// An upstream that answers the quick requests of one service.
    Runner {
        /// Service whose requests it answers.
        service: String,
        /// Number of requests it runs concurrently.
        slots: u32,
        /// Number of connections it accepts.
        connections: u32,
    },
    /// An upstream that runs tasks under leases.
    Worker {
        /// Rack of the worker.
        rack: String,
    },
}

/// State of an instance on the list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Receives new work.
    #[display("live")]
    Live,
    /// Shutting down; receives no new work.
    #[display("leaving")]
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// Name, unique within its role and failure domain.
    pub name: String,
    /// Role of the instance.
    pub role: Role,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Its state on the list.
    pub state: State,
}

/// Failure to fetch the list.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=membership.list peer={peer} cause={cause}")]
pub struct Error {
    /// Address of the list's server.
    pub peer: SocketAddr,
    /// Cause as text.
    pub cause: String,
}

/// Source of the list.
pub trait Source {
    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer in time or its answer is not a valid list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, Error>>;
}
