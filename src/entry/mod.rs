//! Assembly of the daemon of an entry instance: which tasks run, and how they reach each other.

pub mod backend;
pub mod binding;
pub mod controller;
pub mod daemon;
pub mod directory;
pub mod forward;
pub mod gauges;
pub mod members;
mod parts;
pub mod peers;
mod policy;
pub mod readiness;
pub mod requests;
pub mod views;
pub mod witness;

pub use daemon::{Daemon, Error, Listening};
pub use parts::stream;
