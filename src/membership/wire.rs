//! JSON forms of the list of instances.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Role, State};
use crate::domain;

/// JSON form of [`super::Member`].
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

/// An entry of the list that cannot be used.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// An entry without a name.
    #[display("the instance at {_0} has no name")]
    Unnamed(#[error(not(source))] SocketAddr),
    /// A runner that could never serve a request.
    #[display("runner `{_0}` has no slots or no connections")]
    NoCapacity(#[error(not(source))] String),
}

impl From<&super::Member> for Member {
    fn from(member: &super::Member) -> Self {
        Self {
            name: member.name.clone(),
            role: member.role.clone(),
            domain: member.domain.clone(),
            address: member.address,
            state: member.state,
        }
    }
}

impl TryFrom<Member> for super::Member {
    type Error = Error;

    fn try_from(member: Member) -> Result<Self, Error> {
        if member.name.is_empty() {
            return Err(Error::Unnamed(member.address));
        }
        if matches!(
            member.role,
            Role::Runner { slots: 0, .. } | Role::Runner { connections: 0, .. }
        ) {
            return Err(Error::NoCapacity(member.name));
        }
        let Member { name, role, domain, address, state } = member;
        Ok(Self { name, role, domain, address, state })
    }
}
