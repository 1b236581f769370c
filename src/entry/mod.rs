//! The daemon of an entry instance: its tasks and how they are connected.

mod assembly;
pub mod backend;
pub mod binding;
pub mod controller;
pub mod daemon;
pub mod directory;
pub mod forward;
pub mod gauges;
pub mod members;
pub mod peers;
mod policy;
pub mod reachability;
pub mod readiness;
pub mod requests;
pub mod views;

pub use assembly::stream;
pub use daemon::{Daemon, Error, Listening};
