//! Counts and logs the clients that have to give way to others.

use derive_more::Display;

use crate::logging::Repeats;
use crate::telemetry::names;

/// What clients hold that others need.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.name())]
pub enum Cause {
    /// Memory for messages.
    Memory,
    /// Connections or descriptors.
    Connections,
}

impl Cause {
    const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// Clients of one server that have given way.
#[derive(Debug)]
pub struct Eviction {
    /// Name of the server's address, for metrics and log lines.
    address: &'static str,
    repeats: Repeats,
}

impl Eviction {
    /// Of the server whose address has this name.
    ///
    /// ```
    /// use oriolefork::memory::{Cause, Eviction};
    /// Eviction::of("api").note(Cause::Memory, 0);
    /// ```
    pub fn of(address: &'static str) -> Self {
        Self { address, repeats: Repeats::default() }
    }

    /// Records the bytes that messages hold.
    pub(super) fn note_in_use(&self, bytes: usize) {
        names::MESSAGE_BYTES.set(bytes as f64, &[("address", self.address)]);
    }

    /// Records that a client has to give way, or is refused, while messages hold `message_bytes`.
    pub fn note(&self, cause: Cause, message_bytes: usize) {
        names::CLIENTS_EVICTED.increment(&[("address", self.address), ("cause", cause.name())]);
        if let Some(count) = self.repeats.due() {
            log::warn!(
                "event=client.evicted address={} cause={cause} count={count} message_bytes={message_bytes}",
                self.address,
            );
        }
    }
}
