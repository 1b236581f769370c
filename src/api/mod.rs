//! The interface for callers and operators: HTTP/1.1 with JSON bodies.
//!
//! The HTTP layer checks what arrives and hands it, as model types, to a [`Backend`]. Everything
//! that the backend answers is a [`view`] or a [`Refusal`] that says whether the work may have run.

pub mod backend;
pub mod configuration;
mod endpoint;
pub mod header;
pub mod query;
pub mod refusal;
pub mod reply;
pub mod route;
pub mod service;
pub mod view;
pub mod wire;

pub use backend::{Backend, BackendFuture, CallContext};
pub use configuration::Configuration;
pub use refusal::{ExecutionStatus, Reason, Refusal};
pub use service::{Options, Service, TokenCheck};
