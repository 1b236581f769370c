//! Reasons for taking a cell over.

use std::net::SocketAddr;

/// Why an instance considers taking a cell over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeoverReason {
    /// It has no owner, or the owner is unknown.
    Unknown,
    /// The owner offers it.
    Offered(SocketAddr),
    /// The store answers the owner slowly.
    Struggling(SocketAddr),
    /// The owner's process is gone: its connection was refused or reset.
    Gone(SocketAddr),
    /// The owner does not answer.
    Silent(SocketAddr),
    /// The instance claimed the cell some time ago and has not started to own it.
    Stalled(SocketAddr),
}

impl TakeoverReason {
    /// The owner that is to be replaced.
    pub(super) const fn replaced(self) -> Option<SocketAddr> {
        match self {
            Self::Unknown => None,
            Self::Offered(peer)
            | Self::Struggling(peer)
            | Self::Gone(peer)
            | Self::Silent(peer)
            | Self::Stalled(peer) => Some(peer),
        }
    }
}
