//! Tests of the interface for callers and operators.

#[path = "../../support/backend.rs"]
mod backend;
mod service;
mod view;
mod wire;
