//! What is written of alerts into the domain's stream.

use super::kind::{Id, Key};
use crate::clock::Unix;

/// A person's word that an alert was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The person.
    pub by: String,
    /// When they said so.
    pub at: Unix,
}

/// A change of a board.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An alert was raised.
    Raised {
        /// Its identity.
        id: Id,
        /// What it is about.
        key: Key,
        /// What happened, in a sentence for people.
        message: String,
        /// When.
        at: Unix,
    },
    /// The cause has gone; the alert stays until it is acknowledged.
    Ended {
        /// Its identity.
        id: Id,
        /// When.
        at: Unix,
    },
    /// A person has seen the alert.
    Acknowledged {
        /// Its identity.
        id: Id,
        /// Who and when.
        acknowledgement: Acknowledgement,
    },
}
