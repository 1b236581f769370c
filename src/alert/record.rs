//! Changes of alerts, as recorded in the failure domain's stream.

use super::kind::{Id, Key};
use crate::clock::Unix;

/// An operator's confirmation that an alert was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Name of the operator.
    pub by: String,
    /// Time of the acknowledgement.
    pub at: Unix,
}

/// A change to the alerts of a [`Board`](super::Board).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An alert was raised, or raised again after its cause had gone.
    Raised {
        /// Identity of the alert.
        id: Id,
        /// Kind and subject of the alert.
        key: Key,
        /// Description of the event for operators.
        message: String,
        /// Time at which the alert was raised.
        at: Unix,
    },
    /// The cause of an alert has gone; the alert stays open until it is acknowledged.
    Ended {
        /// Identity of the alert.
        id: Id,
        /// Time at which the cause was found to be gone.
        at: Unix,
    },
    /// An operator acknowledged the alert.
    Acknowledged {
        /// Identity of the alert.
        id: Id,
        /// Operator and time.
        acknowledgement: Acknowledgement,
    },
}
