//! Why an instance wants to take a cell over.

use std::net::SocketAddr;

/// Why an instance wants to take a cell over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeoverReason {
    /// Nobody owns it, or it is not known who does.
    Unknown,
    /// The owner offers it.
    Offered(SocketAddr),
    /// The store keeps the owner waiting.
    Struggling(SocketAddr),
    /// The owner's process is gone: its connection was refused or reset.
    Gone(SocketAddr),
    /// The owner does not answer.
    Silent(SocketAddr),
    /// It claimed the cell a while ago and has not come to own it.
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
