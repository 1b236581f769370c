//! A cluster scheduler for small regional hosting and mail services.
//!
//! The crate is a library with thin daemons over it. Each folder holds one duty with its own
//! state, messages and errors; `docs/ARCHITECTURE.md` shows how they work together.

pub mod alert;
pub mod api;
pub mod cell;
pub mod cli;
pub mod clock;
pub mod codec;
pub mod config;
pub mod descriptors;
pub mod dev;
pub mod domain;
pub mod entry;
pub mod http;
pub mod intent;
pub mod job;
mod listener;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod owner;
pub mod peer;
pub mod permit;
pub mod placement;
pub mod planted;
pub mod resource;
pub mod runner;
pub mod settings;
pub mod shutdown;
mod slots;
pub mod standin;
pub mod store;
pub mod task;
pub mod telemetry;
pub mod turn;
pub mod waiting;
pub mod worker;
