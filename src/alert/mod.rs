//! Alerts for operators, kept open until an operator acknowledges them.
//!
//! The alerts of a failure domain form a [`Board`]. The owner of the domain raises alerts on its
//! board and appends the [`Record`]s that the board returns to the domain's stream. Every instance
//! of the domain, including the next owner, applies these records to its own board, so an alert
//! survives the process that raised it.

mod board;
mod kind;
mod record;
pub mod wire;

pub use board::{Alert, Board, BoardSnapshot, MAX_OPEN_PER_KIND, UnknownAlert};
pub use kind::{Id, Key, Kind, Subject};
pub use record::{Acknowledgement, Record};
