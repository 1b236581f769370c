//! Tests of decision logic and codecs: no sockets, no sleeping.

mod alert;
mod api;
mod cell;
mod cli;
mod codec;
mod config;
mod descriptors;
mod docs;
mod intent;
mod job;
mod logging;
mod logging_sink;
mod membership;
mod memory;
mod owner;
mod owner_session;
mod permit;
mod placement;
mod runner;
mod settings;
mod standin;
mod store;
mod telemetry;
mod world;
