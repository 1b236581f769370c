//! Alerts: what a person has to see, kept until a person acknowledges it.
//!
//! The owner of a failure domain raises alerts on its [`Board`] and writes the [`Record`]s that the
//! board returns into the domain's stream. Every instance of the domain applies them to a board of
//! its own, and so does the next owner: an alert outlives the process that raised it.

mod board;
mod kind;
mod record;
pub mod wire;

pub use board::{Alert, Board, BoardSnapshot, MAX_OPEN_PER_KIND, UnknownAlert};
pub use kind::{Id, Key, Kind, Subject};
pub use record::{Acknowledgement, Record};
