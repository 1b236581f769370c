//! The callers' and operators' interface.

#[path = "../../support/backend.rs"]
mod backend;
mod service;
mod view;
mod wire;
